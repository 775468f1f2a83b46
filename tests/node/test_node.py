"""Tests of a node among its peers, without sockets."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from gooseberryhall.fleet.models import (
    BackendServer,
    Configuration,
    EngineProfile,
    Model,
    ServedGroup,
    Service,
)
from gooseberryhall.fleet.orders import Lease
from gooseberryhall.gossip.messages import Gossip, ServerTraffic, ZoneAnnouncement
from gooseberryhall.node.directory import (
    ConfigurationListener,
    PlatformParts,
    ServerListener,
)
from gooseberryhall.node.node import Node
from gooseberryhall.node.settings import NodeSettings
from gooseberryhall.transport.pool import Address
from tests.fleet.common import FakeEngines, server
from tests.gateway.common import WIRE

PROFILE = EngineProfile(4, (Model("m", 2, 1.0, 1.0, 9.0, 1.0),), 0.1, 6)
CONFIGURATION = Configuration(
    version=3, services={"engine": Service("engine", PROFILE), "p": Service("p")}
)
ADDRESS = Address("127.0.0.1", 1)
SETTINGS = NodeSettings(
    "n1",
    "z",
    ("z",),
    ADDRESS,
    ADDRESS,
    ADDRESS,
    "127.0.0.1",
    1,
    ADDRESS,
    8,
    0.2,
    10,
    130,
)


@dataclass(slots=True)
class FakeDirectory:
    """Hands its listener to the test."""

    listener: ServerListener | None = None
    on_configuration_store: Callable[[bool], None] | None = None

    async def async_follow_configuration(self, listener: ConfigurationListener) -> None:
        """Pass on one version."""
        self.on_configuration_store = listener.on_store
        listener.on_configuration(CONFIGURATION)

    async def async_read_configuration(self) -> Configuration | None:
        """Return the next version."""
        return replace(CONFIGURATION, version=4)

    async def async_follow_servers(self, listener: ServerListener) -> None:
        """Keep the listener."""
        self.listener = listener

    async def async_register(self, node: str, address: Address) -> None:
        """Do nothing."""

    async def async_nodes(self) -> dict[str, Address]:
        """Return no peers."""
        return {}


@dataclass(slots=True)
class FakeLeases:
    """Gives every lease."""

    taken: list[str] = field(default_factory=list)

    async def async_read_lease(self, zone: str) -> Lease | None:
        """Return a lease of another node."""
        return Lease(zone, "n0", 1, 5)

    async def async_take_lease(
        self, zone: str, owner: str, after: Lease | None
    ) -> Lease:
        """Return the next term."""
        self.taken.append(zone)
        return Lease(zone, owner, (after.term if after else 0) + 1, 6)


class FakeGossip:
    """Sends nothing."""

    def send(self) -> None:
        """Do nothing."""


@dataclass(slots=True)
class Started:
    """A node and its fakes."""

    node: Node
    directory: FakeDirectory
    leases: FakeLeases
    sequence: int = 0

    def hear(self, node: str = "n0", **changes: Any) -> None:
        """Let the node receive a datagram."""
        self.sequence += 1
        gossip = Gossip(node, "z", 1, self.sequence, 7000, **changes)
        now_s = asyncio.get_running_loop().time()
        assert self.node.peers.receive(gossip, "127.0.0.1", now_s)
        self.node.take_gossip(gossip)

    def list_servers(self, servers: Iterable[BackendServer]) -> None:
        """Let the store list servers."""
        assert self.directory.listener is not None
        self.directory.listener.on_snapshot(servers, False)

    def lose_store(self) -> None:
        """Let the store stop to answer."""
        assert self.directory.listener is not None
        self.directory.listener.on_store(False)


@pytest.fixture
async def started() -> AsyncIterator[Started]:
    """Return a started node without peers."""
    directory = FakeDirectory()
    leases = FakeLeases()
    parts = PlatformParts(WIRE, directory, leases, FakeEngines())
    node = Node(SETTINGS, parts, incarnation=1)
    node.gossip = FakeGossip()  # type: ignore[assignment]
    node.start()
    await asyncio.sleep(0.01)
    yield Started(node, directory, leases)
    await node.tasks.async_cancel()


def _announcement(term: int, *leaders: str) -> ZoneAnnouncement:
    groups = tuple(ServedGroup("m", server(leader)) for leader in leaders)
    traffic = {leader: ServerTraffic(3) for leader in leaders}
    plain = server("p1", service="p")
    return ZoneAnnouncement("z", term, groups, (plain,), traffic)


async def test_owner_decides_what_is_served(started: Started) -> None:
    """A node that does not read the entries routes by its zone's owner."""
    started.hear(announcement=_announcement(2, "h1"))
    started.node.tick()
    assert started.node.table.leaders() == {"h1"}
    assert set(started.node.table.servers) == {"h1", "p1"}
    assert started.node.gateway.backends.load("h1") == 3
    assert started.node.ready


async def test_own_requests_are_not_counted_twice(started: Started) -> None:
    """The owner's figure contains what this node told it."""
    started.node._reported = {"h1": ServerTraffic(2)}
    started.hear(announcement=_announcement(2, "h1"))
    started.node.tick()
    assert started.node.gateway.backends.load("h1") == 1


async def test_servers_that_left_are_known_though_the_owner_is_not(
    started: Started,
) -> None:
    """An owner that the store turns away does not see a server leave.

    Requests reached a server 2.3 s after it had said that it leaves (DRAIN on
    trouble-1, cuotas-unidas).
    """
    started.list_servers([server("h1"), server("h2", leaving=True)])
    started.hear(announcement=_announcement(2, "h1", "h2", "h3"), store_lost=True)
    started.node.tick()
    assert started.node.table.leaders() == {"h1"}


async def test_zone_is_taken_from_an_owner_without_store(started: Started) -> None:
    """Another node of the zone that reaches the store goes on."""
    started.list_servers([server("h1")])
    started.node.owner.started_s -= 10
    started.hear(announcement=_announcement(1, "h1"), store_lost=True)
    started.node.owner.contend()
    await asyncio.sleep(0.01)
    assert started.leases.taken == ["z"]
    assert set(started.node.owner.zones) == {"z"}


async def test_owner_steps_down_though_it_has_no_store(started: Started) -> None:
    """Two owners would give orders against each other."""
    started.list_servers([server("h1")])
    started.node.owner.own("z", 2)
    started.lose_store()
    started.hear(announcement=_announcement(2, "h1"))
    started.node.owner.contend()
    assert set(started.node.owner.zones) == {"z"}
    started.hear(announcement=_announcement(3, "h1"))
    started.node.owner.contend()
    assert started.node.owner.zones == {}


async def test_zone_is_not_taken_the_moment_its_owner_falls_silent(
    started: Started,
) -> None:
    """The time without an owner counts from the owner's last datagram.

    A node that did not read the entries counted it from its start, and took zones
    that were cut off for a moment (incident inc-0fc6).
    """
    started.node.owner.started_s -= 100
    started.hear("n9", announcement=_announcement(1, "h1"))
    received = started.node.peers.announcements["z"]
    started.node.owner.settings = replace(SETTINGS, zone="y")
    started.node.owner.contend()
    started.node.peers.announcements["z"] = replace(
        received, heard_s=received.heard_s - 5
    )
    started.node.peers.peers["n9"].heard_s -= 5
    started.list_servers([server("h1")])
    started.node.owner.contend()
    await asyncio.sleep(0.01)
    assert started.leases.taken == []


async def test_lost_question_for_the_configuration_keeps_the_zone(
    started: Started,
) -> None:
    """The entries are followed on a connection of their own.

    The owner stopped to trust its view for good, and another node took the zone.
    """
    started.list_servers([server("h1")])
    started.node.owner.own("z", 2)
    assert started.directory.on_configuration_store is not None
    started.directory.on_configuration_store(False)
    (gossip,) = started.node.compose_gossip()
    assert not gossip.store_lost
    started.lose_store()
    (gossip,) = started.node.compose_gossip()
    assert gossip.store_lost
    started.list_servers([server("h1")])
    assert started.directory.listener is not None
    started.directory.listener.on_store(True)
    (gossip,) = started.node.compose_gossip()
    assert not gossip.store_lost


async def test_node_that_the_store_refuses_does_not_ask_for_entries(
    started: Started,
) -> None:
    """Entries are not needed while an owner that reaches the store tells its groups.

    Each node that the store turned away read two tables every 0.4 s.
    """
    assert started.directory.listener is not None
    started.hear(announcement=_announcement(2, "h1"))
    started.lose_store()
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(started.directory.listener.async_wait_wanted(), 0.2)
    (gossip,) = started.node.compose_gossip()
    assert not gossip.store_lost


async def test_last_groups_of_a_lost_owner_are_used_last(started: Started) -> None:
    """Without owner and store, what was served a moment ago probably still is."""
    started.hear(announcement=_announcement(2, "h1"))
    received = started.node.peers.announcements["z"]
    started.node.peers.announcements["z"] = replace(
        received, heard_s=received.heard_s - 5
    )
    started.node.tick()
    (group,) = started.node.table.groups
    assert group.leaving


async def test_version_of_a_peer_is_read(started: Started) -> None:
    """A question for changes that hangs must not keep an old version in force."""
    started.hear(config_version=4)
    for _ in range(100):
        cfg = started.node.configuration.current
        if cfg is not None and cfg.version == 4:
            return
        await asyncio.sleep(0.02)
    raise AssertionError("the new version is not in force")


async def test_many_entries_that_go_at_once_are_kept_for_a_while(
    started: Started,
) -> None:
    """Entries lapse together when the store was away for a moment."""
    started.list_servers([server(f"s{number}") for number in range(6)])
    assert started.directory.listener is not None
    started.directory.listener.on_removed([f"s{number}" for number in range(4)])
    assert len(started.node.servers.view.servers) == 6
    started.directory.listener.on_removed(["s5"])
    assert len(started.node.servers.view.servers) == 5
