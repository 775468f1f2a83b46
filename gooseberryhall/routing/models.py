"""Data models of the routing package."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Target:
    """The group that a request is sent to.

    `vm`, `boot_id` and `address` are those of the group's leader. `boot_ids` holds the
    VM name and boot id of each member, by which a crash is detected later.
    """

    group: str
    generation: int
    vm: str
    boot_id: str
    address: str
    boot_ids: tuple[tuple[str, str], ...] = ()
