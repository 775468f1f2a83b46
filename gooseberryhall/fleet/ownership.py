"""Decides which node owns the groups of each zone."""

from dataclasses import dataclass

from .const import (
    CONTENTION_STEP_S,
    ISOLATED_NODE_DELAY_S,
    MAX_CONTENTION_RANK,
    OTHER_ZONE_DELAY_S,
    STARTUP_GRACE_S,
)


@dataclass(frozen=True, slots=True)
class OwnershipFacts:
    """State of a node for its decision whether to acquire the lease of a zone."""

    # Whether the zone is the node's own.
    is_local: bool
    # Number of nodes of the zone that contend before this node.
    rank: int
    # Whether the node has peers but hears none of them.
    is_isolated: bool
    # Whether the node owns another zone, has the lowest name of those that do, and
    # hears no node of this zone.
    may_adopt: bool
    # Time since the zone last had a live owner, or since the node started.
    without_owner_s: float
    uptime_s: float


def should_acquire_lease(facts: OwnershipFacts) -> bool:
    """Return whether this node should acquire the lease of the zone now.

    The nodes of the zone contend one after the other, so that the loss of the owner and
    of the nodes that go first delays a zone only by a few steps. None of them needs to
    know which of the others are live. The term of the lease makes two owners safe, so
    nodes need not wait until a lease expires.
    """
    if facts.uptime_s < STARTUP_GRACE_S:
        return False
    if facts.is_isolated:
        return facts.is_local and facts.without_owner_s >= ISOLATED_NODE_DELAY_S
    if not facts.is_local:
        return facts.may_adopt and facts.without_owner_s >= OTHER_ZONE_DELAY_S
    rank = min(facts.rank, MAX_CONTENTION_RANK)
    return facts.without_owner_s >= rank * CONTENTION_STEP_S
