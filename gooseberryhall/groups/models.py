"""Models of groups and VMs."""

from dataclasses import dataclass
from enum import StrEnum


class GroupPhase(StrEnum):
    """Lifecycle phase of a group, as stored in the table."""

    LOADING = "loading"
    SERVING = "serving"
    DRAINING = "draining"
    RELEASING = "releasing"


@dataclass(frozen=True, slots=True)
class Member:
    """A VM in a group, with the boot id that it had when the group was formed."""

    vm: str
    boot_id: str
    address: str


@dataclass(frozen=True, slots=True)
class Group:
    """A group of VMs that together serve one replica of a model.

    `generation` is the table revision of the transaction that assigned the members. It
    is also the fencing token of the orders that form the group. `members[0]` is the
    leader, which takes requests. `version` is the row version, 0 if unknown.
    """

    group: str
    spec: str
    zone: str
    fabric_domain: str
    model: str
    model_version: str
    generation: int
    phase: GroupPhase
    members: tuple[Member, ...]
    version: int = 0

    @property
    def leader(self) -> Member:
        """Return the member that takes the group's requests."""
        return self.members[0]


class VmState(StrEnum):
    """State of a VM in the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """A backend VM in the platform's VM list; `address` is `http://ip:port`."""

    vm: str
    zone: str
    fabric_domain: str
    address: str
    accelerators: int
    state: VmState
