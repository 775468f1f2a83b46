"""Decides which node owns the groups of each zone."""

from dataclasses import dataclass

from .const import (
    CONTENTION_STEP_S,
    ISOLATED_NODE_DELAY_S,
    MAX_CONTENTION_RANK,
    MAX_LOST_ERAS,
    OTHER_ZONE_DELAY_S,
    STARTUP_GRACE_S,
    TERMS_PER_ERA,
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


def next_term(term: int, written_era: int | None, era: int | None) -> int:
    """Return the lowest term of the lease that follows a stored one.

    A store that went back to an earlier copy may have lost later leases, whose terms
    owners, servers and names of groups still have. `written_era` is the era in which
    the stored lease was written; nodes of an earlier build do not state it, and then
    leases of any earlier era may be lost. `era` is the current one, None if the store
    states none.
    """
    if era is None:
        return term + 1
    lost_eras = max(0, era - (written_era or 0))
    return term + 1 + TERMS_PER_ERA * min(lost_eras, MAX_LOST_ERAS)


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
