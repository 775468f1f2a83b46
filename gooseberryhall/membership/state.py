"""State of the membership package."""

from dataclasses import dataclass, field

from .models import Evidence, Node


@dataclass(slots=True)
class PeerState:
    """A live peer and the time of its last heartbeat, on the local clock."""

    node: Node
    last_heartbeat_s: float


@dataclass(frozen=True, slots=True)
class EvidenceOrder:
    """Values with which later evidence about a VM is compared.

    `newest_observed_s` is the newest date of accepted evidence. `boot_id` is the last
    boot id, and `boot_id_received_s` is when evidence with it was last accepted; the
    member had that boot id at some time before.
    """

    newest_observed_s: float
    boot_id_received_s: float
    boot_id: str


@dataclass(slots=True)
class MembershipState:
    """Live peers and linked nodes by node name, and evidence by VM name."""

    peers: dict[str, PeerState] = field(default_factory=dict)
    linked: set[str] = field(default_factory=set)
    evidence: dict[str, Evidence] = field(default_factory=dict)
    evidence_order: dict[str, EvidenceOrder] = field(default_factory=dict)
