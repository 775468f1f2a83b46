"""Effects of the membership concern."""

from dataclasses import dataclass
from enum import StrEnum

from ..core.effects import Effect


class PeerChange(StrEnum):
    """What happened to a peer."""

    UP = "up"
    DOWN = "down"


class MemberChange(StrEnum):
    """What happened to a member, as seen by the evidence."""

    UP = "up"
    DOWN = "down"
    RESTARTED = "restarted"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True, slots=True)
class PeerChanged(Effect):
    """Report that a peer came or went; its probes move."""

    node: str
    incarnation: str
    change: PeerChange


@dataclass(frozen=True, slots=True)
class MemberChanged(Effect):
    """Report that a member changed.

    `WITHDRAWN` says that it answers, but left its group or is leaving.
    """

    vm: str
    boot_id: str
    change: MemberChange
