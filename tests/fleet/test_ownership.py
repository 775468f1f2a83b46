"""Tests of the decision which node contends for a zone."""

from gooseberryhall.fleet.const import (
    ISOLATED_NODE_DELAY_S,
    OTHER_ZONE_DELAY_S,
    STARTUP_GRACE_S,
)
from gooseberryhall.fleet.ownership import (
    NodeName,
    OwnershipFacts,
    should_acquire_lease,
)

A1 = NodeName("a1", "a")
A2 = NodeName("a2", "a")
B1 = NodeName("b1", "b")


def _facts(
    own: NodeName, *peers: NodeName, without_owner_s: float = 1.0
) -> OwnershipFacts:
    return OwnershipFacts(own, peers, True, "a", without_owner_s, 10.0)


def test_one_node_of_the_zone_contends() -> None:
    """Guards against several contenders, which cost store calls and conflicts."""
    assert should_acquire_lease(_facts(A1, A2, B1))
    assert not should_acquire_lease(_facts(A2, A1, B1))
    assert not should_acquire_lease(_facts(B1, A1, A2))


def test_node_that_just_started_waits_for_its_peers() -> None:
    """Guards against contention between nodes that start at the same time.

    They have not discovered each other yet.
    """
    facts = OwnershipFacts(A1, (), False, "a", 0.1, STARTUP_GRACE_S / 2)
    assert not should_acquire_lease(facts)


def test_other_zones_contend_late() -> None:
    """Guards against acquiring a zone that is cut off together with its servers."""
    late_s = OTHER_ZONE_DELAY_S + 0.1
    assert not should_acquire_lease(_facts(B1, NodeName("c1", "c")))
    assert should_acquire_lease(_facts(B1, NodeName("c1", "c"), without_owner_s=late_s))


def test_node_that_hears_nobody_waits() -> None:
    """Guards against a node that is cut off and acquires zones that have an owner."""
    assert not should_acquire_lease(
        _facts(A1, without_owner_s=ISOLATED_NODE_DELAY_S / 2)
    )
    assert should_acquire_lease(_facts(A1, without_owner_s=ISOLATED_NODE_DELAY_S + 0.1))
    # A node in a zone that was cut off acquired the other zones too (inc-0fc6).
    assert not should_acquire_lease(
        _facts(B1, without_owner_s=OTHER_ZONE_DELAY_S + 0.1)
    )
