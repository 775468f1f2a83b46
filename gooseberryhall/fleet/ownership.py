"""Decides which node owns the groups of each zone."""

from collections.abc import Sequence
from dataclasses import dataclass

from .const import ISOLATED_DELAY_S, OTHER_ZONE_DELAY_S, SETTLE_S


@dataclass(frozen=True, slots=True)
class NodeName:
    """A node and its zone."""

    node: str
    zone: str


@dataclass(frozen=True, slots=True)
class OwnershipFacts:
    """What a node knows when it decides whether to take a zone."""

    own: NodeName
    live_peers: Sequence[NodeName]
    knows_peers: bool
    zone: str
    # Time since a live owner was last known, or since the start.
    ownerless_s: float
    uptime_s: float


def should_take(facts: OwnershipFacts) -> bool:
    """Return whether this node should take the zone's lease now.

    The zone's own node of the lowest name goes first. The lease's term makes two
    owners safe, so there is no need to wait for a lease to run out.
    """
    if facts.uptime_s < SETTLE_S:
        return False
    if facts.knows_peers and not facts.live_peers:
        return facts.own.zone == facts.zone and facts.ownerless_s >= ISOLATED_DELAY_S
    nodes = [facts.own, *facts.live_peers]
    local = [node for node in nodes if node.zone == facts.zone]
    if not local and facts.ownerless_s < OTHER_ZONE_DELAY_S:
        return False
    return min(local or nodes, key=lambda node: node.node) == facts.own
