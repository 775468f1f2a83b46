"""State of the membership concern."""

from dataclasses import dataclass, field

from .models import Evidence, Node


@dataclass(slots=True)
class PeerState:
    """A live peer and when it was last heard, on the local clock."""

    node: Node
    last_heard_s: float


@dataclass(slots=True)
class MembershipState:
    """Live peers by node name and evidence by VM name."""

    peers: dict[str, PeerState] = field(default_factory=dict)
    evidence: dict[str, Evidence] = field(default_factory=dict)
