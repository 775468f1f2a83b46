"""Tests of the decision which node contends for a zone."""

from dataclasses import replace

from gooseberryhall.fleet.const import (
    CONTENTION_STEP_S,
    ISOLATED_NODE_DELAY_S,
    MAX_CONTENTION_RANK,
    OTHER_ZONE_DELAY_S,
    STARTUP_GRACE_S,
)
from gooseberryhall.fleet.ownership import OwnershipFacts, should_acquire_lease

# The first node of a zone that has just lost its owner.
FIRST = OwnershipFacts(
    is_local=True,
    rank=0,
    is_isolated=False,
    may_adopt=False,
    without_owner_s=0.0,
    uptime_s=10.0,
)
REMOTE = replace(FIRST, is_local=False)


def test_nodes_of_the_zone_contend_one_after_the_other() -> None:
    """Guards against several contenders, which cost store calls and conflicts."""
    second = replace(FIRST, rank=1)
    assert should_acquire_lease(FIRST)
    assert not should_acquire_lease(second)
    late_s = CONTENTION_STEP_S + 0.01
    assert should_acquire_lease(replace(second, without_owner_s=late_s))
    assert not should_acquire_lease(replace(FIRST, rank=2, without_owner_s=late_s))


def test_any_node_of_the_zone_contends_in_the_end() -> None:
    """Guards against a zone without owner because many nodes are gone for good."""
    late_s = MAX_CONTENTION_RANK * CONTENTION_STEP_S + 0.01
    assert should_acquire_lease(replace(FIRST, rank=38, without_owner_s=late_s))


def test_node_that_just_started_waits_for_its_peers() -> None:
    """Guards against contention between nodes that start at the same time.

    They have not discovered each other yet.
    """
    assert not should_acquire_lease(replace(FIRST, uptime_s=STARTUP_GRACE_S / 2))


def test_other_zones_contend_late() -> None:
    """Guards against acquiring a zone that is cut off together with its servers."""
    late_s = OTHER_ZONE_DELAY_S + 0.1
    adopter = replace(REMOTE, may_adopt=True)
    assert not should_acquire_lease(adopter)
    assert should_acquire_lease(replace(adopter, without_owner_s=late_s))
    assert not should_acquire_lease(replace(REMOTE, without_owner_s=late_s))


def test_node_that_hears_nobody_waits() -> None:
    """Guards against a node that is cut off and acquires zones that have an owner."""
    isolated = replace(FIRST, is_isolated=True)
    late_s = ISOLATED_NODE_DELAY_S + 0.1
    assert not should_acquire_lease(
        replace(isolated, without_owner_s=ISOLATED_NODE_DELAY_S / 2)
    )
    assert should_acquire_lease(replace(isolated, without_owner_s=late_s))
    # A node in a zone that was cut off acquired the other zones too (inc-0fc6).
    late_s = OTHER_ZONE_DELAY_S + 0.1
    adopter = replace(REMOTE, is_isolated=True, may_adopt=True)
    assert not should_acquire_lease(replace(adopter, without_owner_s=late_s))
