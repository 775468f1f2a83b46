"""State of the membership concern."""

from dataclasses import dataclass, field

from .models import Evidence, Node


@dataclass(slots=True)
class PeerState:
    """A live peer and when it was last heard, on the local clock."""

    node: Node
    last_heard_s: float


@dataclass(frozen=True, slots=True)
class EvidenceOrder:
    """What later evidence about a VM is compared with.

    `floor_s` is the newest time of accepted evidence. `received_s` is when evidence
    with `boot_id`, the last boot id seen, was last accepted; the member had that boot
    id at some moment before it.
    """

    floor_s: float
    received_s: float
    boot_id: str


@dataclass(slots=True)
class MembershipState:
    """Live peers by node name and evidence by VM name."""

    peers: dict[str, PeerState] = field(default_factory=dict)
    linked: set[str] = field(default_factory=set)
    evidence: dict[str, Evidence] = field(default_factory=dict)
    order: dict[str, EvidenceOrder] = field(default_factory=dict)
