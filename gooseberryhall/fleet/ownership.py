"""Decides which node owns the groups of each zone."""

from collections.abc import Sequence
from dataclasses import dataclass

from .const import ISOLATED_NODE_DELAY_S, OTHER_ZONE_DELAY_S, STARTUP_GRACE_S


@dataclass(frozen=True, slots=True)
class NodeName:
    """A node and its zone."""

    name: str
    zone: str


@dataclass(frozen=True, slots=True)
class OwnershipFacts:
    """State of a node for its decision whether to acquire the lease of a zone."""

    node: NodeName
    live_peers: Sequence[NodeName]
    has_peers: bool
    zone: str
    # Time since the zone last had a live owner, or since the node started.
    without_owner_s: float
    uptime_s: float


def should_acquire_lease(facts: OwnershipFacts) -> bool:
    """Return whether this node should acquire the lease of the zone now.

    The node with the lowest name in the zone contends first. The term of the lease
    makes two owners safe, so nodes need not wait until a lease expires.
    """
    if facts.uptime_s < STARTUP_GRACE_S:
        return False
    if facts.has_peers and not facts.live_peers:
        return (
            facts.node.zone == facts.zone
            and facts.without_owner_s >= ISOLATED_NODE_DELAY_S
        )
    nodes = [facts.node, *facts.live_peers]
    local = [node for node in nodes if node.zone == facts.zone]
    if not local and facts.without_owner_s < OTHER_ZONE_DELAY_S:
        return False
    return min(local or nodes, key=lambda node: node.name) == facts.node
