"""Tests of a node and its peers, without sockets."""

import asyncio
from dataclasses import replace

import pytest

from gooseberryhall.fleet.statements import NO_STATEMENT, ServerStatements
from gooseberryhall.gossip.messages import ServerTraffic
from gooseberryhall.node import registration
from gooseberryhall.node.directory import PlatformAdapter
from gooseberryhall.node.node import Node
from gooseberryhall.node.options import HedgingOptions, NodeOptions
from tests.fleet.common import FakeEngines, server
from tests.gateway.common import HEADER_NAMES
from tests.node.common import (
    SETTINGS,
    FakeDirectory,
    FakeLeases,
    StartedNode,
    create_announcement,
)


async def test_announcement_of_the_owner_defines_the_routes(
    started: StartedNode,
) -> None:
    """Guards against a node without routes because it does not read the records."""
    started.receive(announcement=create_announcement(2, "h1"))
    started.node.tick()
    assert started.node.table.leaders() == {"h1"}
    assert set(started.node.table.servers) == {"h1", "p1"}
    assert started.node.gateway.backends.load("h1") == 3
    assert started.node.ready


async def test_routes_are_built_once_for_each_announcement(
    started: StartedNode,
) -> None:
    """Guards against building the same routes in each tick on all nodes."""
    started.receive(announcement=create_announcement(2, "h1"))
    started.node.tick()
    table = started.node.table
    started.node.tick()
    assert started.node.table is table
    started.receive(announcement=create_announcement(2, "h2"))
    started.node.tick()
    assert started.node.table.leaders() == {"h2"}


async def test_routes_of_an_announcement_that_expires_are_used_last(
    started: StartedNode,
) -> None:
    """Guards against routes that are kept as they are when their owner falls silent."""
    started.receive(announcement=create_announcement(2, "h1"))
    started.node.tick()
    received = started.node.peers.announcements["z"]
    started.node.peers.announcements["z"] = replace(
        received, received_s=received.received_s - 5
    )
    started.node.tick()
    assert started.node.table.groups[0].leaving


async def test_local_requests_are_not_counted_twice(started: StartedNode) -> None:
    """Guards against counting local traffic twice; the owner's figure includes it."""
    started.node._reported_traffic = {"h1": ServerTraffic(2)}
    started.receive(announcement=create_announcement(2, "h1"))
    started.node.tick()
    assert started.node.gateway.backends.load("h1") == 1


async def test_leaving_servers_are_noticed_if_the_owner_lost_the_store(
    started: StartedNode,
) -> None:
    """Guards against requests to a leaving server that its owner cannot see.

    Requests reached a server 2.3 s after it had announced that it leaves, as the store
    refused the owner's calls (DRAIN on trouble-1, cuotas-unidas).
    """
    started.list_servers([server("h1"), server("h2", leaving=True)])
    started.receive(
        announcement=create_announcement(2, "h1", "h2", "h3"), store_lost=True
    )
    started.node.tick()
    assert started.node.table.leaders() == {"h1"}


async def test_groups_of_a_lost_owner_are_used_last(started: StartedNode) -> None:
    """Guards against a node without groups when owner and store are lost.

    Groups that served a moment ago probably still do.
    """
    started.receive(announcement=create_announcement(2, "h1"))
    received = started.node.peers.announcements["z"]
    started.node.peers.announcements["z"] = replace(
        received, received_s=received.received_s - 5
    )
    started.node.tick()
    (group,) = started.node.table.groups
    assert group.leaving


async def test_newer_version_of_a_peer_is_read(started: StartedNode) -> None:
    """Guards against an old version that stays in force because a watch hangs."""
    started.receive(config_version=4)
    for _ in range(100):
        cfg = started.node.configuration.current
        if cfg is not None and cfg.version == 4:
            return
        await asyncio.sleep(0.02)
    raise AssertionError("the new version is not in force")


async def test_leaving_servers_of_other_zones_get_no_requests_of_an_owner(
    started: StartedNode,
) -> None:
    """Guards against requests to a server that this node knows to be leaving.

    An owner reads the records of all zones, but sent requests to whatever the slow
    owner of another zone announced: 2.08 s after the server had announced that it
    leaves (DRAIN, two of 40 hunted days of altiplano-obra).
    """
    started.node.settings = replace(SETTINGS, zones=("z", "y"))
    leaving = replace(server("p1", service="p"), leaving=True, zone="y")
    started.list_servers([server("h1"), server("h2", leaving=True), leaving])
    started.node.owner.become_owner("z", 2)
    announcement = replace(create_announcement(2, "h1", "h2", "h3"), zone="y")
    started.receive("m1", announcement=announcement)
    started.node.tick()
    assert started.node.table.leaders() == {"h1"}
    assert "p1" not in started.node.table.servers


async def test_requests_are_hedged_only_with_the_option() -> None:
    """Guards against an option without effect, and against an effect without it."""
    adapter = PlatformAdapter(
        HEADER_NAMES,
        FakeDirectory(),
        FakeLeases(),
        FakeEngines(),
        ServerStatements(),
        lambda _: NO_STATEMENT,
    )
    assert Node(SETTINGS, adapter, incarnation=1).gateway.hedging is None
    options = NodeOptions(HedgingOptions(max_share=0.1, quantile=0.9))
    settings = replace(SETTINGS, options=options)
    hedging = Node(settings, adapter, incarnation=1).gateway.hedging
    assert hedging is not None
    assert (hedging.max_share, hedging.quantile) == (0.1, 0.9)


async def test_table_is_kept_while_the_groups_are_unchanged(
    started: StartedNode,
) -> None:
    """Guards against a new table of all servers for each datagram of an owner."""
    node = started.node
    announcement = create_announcement(1, "h1", "h2")
    started.receive("n9", announcement=announcement)
    node.tick()
    table = node.table
    traffic = {"h1": ServerTraffic(7)}
    started.receive("n9", announcement=replace(announcement, traffic=traffic))
    node.tick()
    assert node.table is table
    assert node.gateway.backends.load("h1") == 7
    assert node.gateway.backends.load("h2") == 0


async def test_traffic_is_known_from_the_first_announcement_with_traffic(
    started: StartedNode,
) -> None:
    """Guards against groups that look half full for good as they never changed.

    Announcements before the first request hold no traffic.
    """
    node = started.node
    announcement = create_announcement(1, "h1", "h2")
    started.receive("n9", announcement=replace(announcement, traffic={}))
    node.tick()
    assert not node.gateway.backends.traffic_known
    started.receive("n9", announcement=announcement)
    node.tick()
    assert node.gateway.backends.traffic_known


async def test_node_registers_again_after_the_store_went_back(
    started: StartedNode, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a node that new ones do not find, as its record is lost."""
    monkeypatch.setattr(registration, "REGISTRATION_SPREAD_S", 0.0)
    before = len(started.directory.registered)
    assert started.directory.configuration_listener is not None
    started.directory.configuration_listener.on_went_back(1, 2)
    await asyncio.sleep(0.01)
    assert len(started.directory.registered) == before + 1
    assert started.directory.registered[-1].node == "n1"
