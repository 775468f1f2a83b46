"""Effects of the membership package."""

from dataclasses import dataclass
from enum import StrEnum

from ..core.effects import Effect


class PeerChange(StrEnum):
    """Kind of change of a peer."""

    UP = "up"
    DOWN = "down"


class MemberChange(StrEnum):
    """Kind of change of a member, according to the evidence."""

    UP = "up"
    DOWN = "down"
    RESTARTED = "restarted"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True, slots=True)
class PeerChanged(Effect):
    """A peer went up or down; the VMs to probe are reassigned."""

    node: str
    incarnation: str
    change: PeerChange


@dataclass(frozen=True, slots=True)
class MemberChanged(Effect):
    """A member changed.

    `WITHDRAWN` members respond, but have left their group or are leaving it.
    """

    vm: str
    boot_id: str
    change: MemberChange
