"""Data of routing."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Target:
    """The group that a request is sent to.

    `boot_ids` holds the boot id of each member by VM name, by which a crash of a member
    is recognised later.
    """

    group: str
    generation: int
    vm: str
    boot_id: str
    address: str
    boot_ids: tuple[tuple[str, str], ...] = ()
