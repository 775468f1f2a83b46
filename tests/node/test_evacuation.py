"""Tests of a node that learns of evacuations, without sockets."""

import asyncio
import logging

import pytest

from gooseberryhall.fleet.const import PAUSE_LIMIT_S
from gooseberryhall.fleet.evacuation import EvacuationUpdate
from gooseberryhall.fleet.models import ServedGroup
from gooseberryhall.fleet.pause import DRAIN_S
from gooseberryhall.gateway.backends import Attempt
from gooseberryhall.transport.exchange import Exchange
from tests.fleet.common import server
from tests.node.common import OPEN_GROUP, StartedNode, create_announcement

SHIFT_S = 0.2
ACTIVE = EvacuationUpdate(5, active=True, age_s=1.0)
ENDED = EvacuationUpdate(8, active=False)


def _may_send(started: StartedNode, zone: str = "z") -> bool:
    now_s = asyncio.get_running_loop().time()
    return started.node.gateway.may_send(server("h1", zone=zone), now_s)


def _told(started: StartedNode) -> list[dict[str, bool] | None]:
    """Return which zones each message of the node tells, and whether as active."""
    return [
        None
        if gossip.evacuations is None
        else {zone: item.active for zone, item in gossip.evacuations.items()}
        for gossip in started.node.create_messages()
    ]


async def test_evacuation_is_learned_from_the_store_and_told_to_peers(
    with_evacuations: StartedNode,
) -> None:
    """Guards against requests to a zone for which the operator wrote a row."""
    started = with_evacuations
    started.read_evacuations(1, complete=True)
    assert _told(started) == [{}]
    # An owner that knows a leaving server sends two messages.
    started.node.owner.become_owner("z", 2)
    started.node._statements._leaving["s9"] = 1
    started.read_evacuations(5, z=True)
    assert _may_send(started)
    assert started.node._announcement_requested
    assert _told(started) == [{"z": True}, {"z": True}]
    await asyncio.sleep(SHIFT_S + 0.05)
    assert not _may_send(started)
    assert _may_send(started, "y")
    started.read_evacuations(8, z=False)
    assert _may_send(started)
    assert started.node.evacuations.restored_s("z") is not None
    assert _told(started) == [{"z": False}, {"z": False}]


async def test_evacuation_is_learned_from_peers(with_evacuations: StartedNode) -> None:
    """Guards against requests of a node whose watch hangs, or without the store.

    A peer that is late does not bring the evacuation back.
    """
    started = with_evacuations
    started.read_evacuations(1, complete=True)
    started.lose_store()
    started.receive("n2", evacuations={"z": ACTIVE})
    started.receive("n3", evacuations={})
    assert not _may_send(started)
    started.receive("n2", evacuations={"z": ENDED})
    started.receive("n3", evacuations={"z": ACTIVE})
    assert _may_send(started)


@pytest.mark.parametrize("by_store", [False, True])
async def test_restarted_node_serves_only_when_it_knows_the_evacuations(
    with_evacuations: StartedNode, by_store: bool
) -> None:
    """Guards against a node that starts without the store and sends to all zones.

    A peer that has just started, too, knows nothing. The row may be old, so the load is
    not shifted again.
    """
    started = with_evacuations
    started.receive(announcement=create_announcement(2, "h1"))
    started.node.tick()
    assert not started.node.ready
    assert not started.node.gateway.is_started()
    assert not _may_send(started, "y")
    assert _told(started) == [None]
    if by_store:
        started.read_evacuations(5, complete=True, z=True)
    else:
        started.receive(evacuations={"z": ACTIVE})
    assert started.node.ready
    assert started.node.gateway.is_started()
    assert not _may_send(started)
    assert _may_send(started, "y")


async def test_nodes_without_a_limit_serve_as_before(started: StartedNode) -> None:
    """Guards against rows or peers that affect a deployment without evacuations."""
    announcement = create_announcement(2, "h1")
    started.receive(announcement=announcement, evacuations={"z": ACTIVE})
    started.node.tick()
    assert started.node.ready
    started.read_evacuations(9, complete=True, z=True)
    assert _may_send(started)
    assert _told(started) == [None]


async def test_paused_node_sends_nothing_before_it_hears_a_peer(
    with_evacuations: StartedNode, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests to a zone that was evacuated during the pause.

    A change that was written meanwhile, or a shift, may be older than the limit.
    """
    started = with_evacuations
    started.read_evacuations(1, complete=True)
    clock = [100.0]
    monkeypatch.setattr("gooseberryhall.node.evacuation.boot_time_s", lambda: clock[0])
    started.node.tick()
    clock[0] += PAUSE_LIMIT_S + 1
    # Peers learn nothing from what may be as old as the pause.
    assert _told(started) == [None]
    clock[0] = 100.0
    started.read_evacuations(4, y=True)
    assert _may_send(started, "y")
    clock[0] += PAUSE_LIMIT_S + 5
    assert not _may_send(started)
    started.node.tick()
    started.receive("n2", evacuations={})
    assert not _may_send(started)
    started.read_evacuations(5, z=True)
    clock[0] += DRAIN_S + 0.05
    started.receive("n3", evacuations={})
    assert not started.node.gateway.is_held()
    assert not _may_send(started)
    assert not _may_send(started, "y")


async def test_owners_do_not_plan_with_an_evacuated_zone(
    with_evacuations: StartedNode,
) -> None:
    """Guards against orders to an evacuated zone, and against groups that do not serve.

    The other zones would count them and form too few groups of the model.
    """
    started = with_evacuations
    started.list_servers(OPEN_GROUP)
    started.node.owner.become_owner("z", 2)
    zone = started.node.owner.zones["z"]
    started.node.table.groups = [ServedGroup("m", server("y1", zone="y"))]
    assert zone.other_zone_groups() == {"y": {"m": 1}}
    assert not zone.is_evacuated()
    started.read_evacuations(5, y=True, z=True)
    assert zone.other_zone_groups() == {}
    assert zone.is_evacuated()
    assert [group.leader for group in zone.open_groups()] == ["h1"]


async def test_progress_of_an_evacuation_is_logged(
    with_evacuations: StartedNode, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against operators who cannot tell when a zone may be taken down."""
    caplog.set_level(logging.INFO)
    started = with_evacuations
    started.receive(announcement=create_announcement(2, "h1"), evacuations={})
    started.node.tick()
    backends = started.node.gateway.backends
    started.read_evacuations(5, z=True, w=True)
    started.node.tick()
    key = backends.start_attempt("h1", Attempt(Exchange(expected_id=b"1")), 0.0)
    assert started.node.gateway.metrics.evacuated_zones.get({}) == 1
    await asyncio.sleep(SHIFT_S + 0.05)
    # The group is dissolved, but its stream goes on.
    started.receive(announcement=create_announcement(2))
    started.node.tick()
    assert "no more requests" not in caplog.text
    backends.end_attempt("h1", key)
    started.node.tick()
    started.read_evacuations(8, z=False)
    started.node.tick()
    for message in (
        "zone is evacuated",
        "no such zone",
        "no more requests",
        "zone is restored",
    ):
        assert caplog.text.count(message) == 1
    assert started.node.gateway.metrics.evacuated_zones.get({}) == 0
