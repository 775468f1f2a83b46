"""Tests of who contends for a zone."""

from gooseberryhall.fleet.const import (
    ISOLATED_DELAY_S,
    OTHER_ZONE_DELAY_S,
    SETTLE_S,
)
from gooseberryhall.fleet.ownership import NodeName, OwnershipFacts, should_take

A1 = NodeName("a1", "a")
A2 = NodeName("a2", "a")
B1 = NodeName("b1", "b")


def _facts(own: NodeName, *peers: NodeName, ownerless_s: float = 1.0) -> OwnershipFacts:
    return OwnershipFacts(own, peers, True, "a", ownerless_s, 10.0)


def test_one_node_of_the_zone_contends() -> None:
    """Several contenders would cost calls and conflicts."""
    assert should_take(_facts(A1, A2, B1))
    assert not should_take(_facts(A2, A1, B1))
    assert not should_take(_facts(B1, A1, A2))


def test_node_that_just_started_waits_for_its_peers() -> None:
    """All nodes start at once and do not know each other yet."""
    facts = OwnershipFacts(A1, (), False, "a", 0.1, SETTLE_S / 2)
    assert not should_take(facts)


def test_other_zones_contend_late() -> None:
    """A zone without live nodes is mostly cut off together with its servers."""
    late_s = OTHER_ZONE_DELAY_S + 0.1
    assert not should_take(_facts(B1, NodeName("c1", "c")))
    assert should_take(_facts(B1, NodeName("c1", "c"), ownerless_s=late_s))


def test_node_that_hears_nobody_waits() -> None:
    """A node that is cut off must not take zones that are owned."""
    assert not should_take(_facts(A1, ownerless_s=ISOLATED_DELAY_S / 2))
    assert should_take(_facts(A1, ownerless_s=ISOLATED_DELAY_S + 0.1))
    # A node of a zone that is cut off took the other zones too (incident inc-0fc6).
    assert not should_take(_facts(B1, ownerless_s=OTHER_ZONE_DELAY_S + 0.1))
