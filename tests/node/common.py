"""A node with fakes of the platform, without sockets."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from gooseberryhall.fleet.evacuation import EvacuationRows, EvacuationUpdate
from gooseberryhall.fleet.models import (
    BackendServer,
    Configuration,
    EngineProfile,
    Membership,
    MemberState,
    Model,
    ServedGroup,
    Service,
)
from gooseberryhall.fleet.orders import Lease
from gooseberryhall.gossip.messages import Gossip, ServerTraffic, ZoneAnnouncement
from gooseberryhall.node.directory import (
    ConfigurationListener,
    NodeRecord,
    ServerListener,
)
from gooseberryhall.node.node import Node
from gooseberryhall.node.settings import NodeSettings
from gooseberryhall.transport.address import Address
from tests.fleet.common import server

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
    256_000_000,
    8,
    2.0,
    0.2,
    10,
    130,
)


@dataclass(slots=True)
class FakeDirectory:
    """Directory that passes its listener to the test."""

    listener: ServerListener | None = None
    on_configuration_store_state: Callable[[bool], None] | None = None
    registered: list[NodeRecord] = field(default_factory=list)
    configuration_listener: ConfigurationListener | None = None

    async def async_follow_configuration(self, listener: ConfigurationListener) -> None:
        """Notify the listener of one version."""
        self.on_configuration_store_state = listener.on_store_state
        self.configuration_listener = listener
        listener.on_configuration(CONFIGURATION)

    async def async_read_configuration(self) -> Configuration | None:
        """Return the next version."""
        return replace(CONFIGURATION, version=4)

    async def async_follow_servers(self, listener: ServerListener) -> None:
        """Store the listener."""
        self.listener = listener

    async def async_register(self, record: NodeRecord) -> None:
        """Keep the record."""
        self.registered.append(record)

    async def async_list_nodes(self) -> list[NodeRecord]:
        """Return no peers."""
        return []


@dataclass(slots=True)
class FakeLeases:
    """Lease store that grants every lease."""

    acquired: list[str] = field(default_factory=list)
    owner: str = "n0"
    term: int = 1

    async def async_read_lease(self, zone: str) -> Lease:
        """Return the stored lease, which is another node's at first."""
        return Lease(zone, self.owner, self.term, 5, self.term + 1)

    async def async_acquire_lease(
        self, owner: str, previous: Lease, later_than: int
    ) -> Lease:
        """Store the next term."""
        self.acquired.append(previous.zone)
        self.owner = owner
        self.term = max(previous.next_term, later_than + 1)
        return Lease(previous.zone, owner, self.term, 6, self.term + 1)


class FakeGossip:
    """Gossip service that sends nothing."""

    def send(self, *, urgent: bool = False) -> None:
        """Do nothing."""


@dataclass(slots=True)
class StartedNode:
    """A node and its fakes."""

    node: Node
    directory: FakeDirectory
    leases: FakeLeases
    sequence: int = 0

    def receive(self, node: str = "n0", **changes: Any) -> None:
        """Pass a message of a peer to the node."""
        self.sequence += 1
        gossip = Gossip(node, "z", 1, self.sequence, 7000, **changes)
        now_s = asyncio.get_running_loop().time()
        assert self.node.peers.receive(gossip, "127.0.0.1", now_s)
        self.node.receive_gossip(gossip)

    def list_servers(self, servers: Iterable[BackendServer]) -> None:
        """Pass a snapshot of server records to the node."""
        assert self.directory.listener is not None
        self.directory.listener.on_snapshot(servers, False)

    def read_evacuations(
        self, version: int, *, complete: bool = False, **zones: bool
    ) -> None:
        """Pass rows of evacuations to the node, which exist or were removed."""
        assert self.directory.configuration_listener is not None
        updates = {zone: EvacuationUpdate(version, zones[zone]) for zone in zones}
        rows = EvacuationRows(updates, version, complete)
        self.directory.configuration_listener.on_evacuations(rows)

    def lose_store(self) -> None:
        """Notify the node that the store did not answer."""
        assert self.directory.listener is not None
        self.directory.listener.on_store_state(False)


OPEN_GROUP = [
    server(
        name,
        staged=frozenset({"m"}),
        last_model="m",
        membership=Membership("z-1", 1, rank, state),
    )
    for rank, (name, state) in enumerate(
        [("h1", MemberState.OPEN), ("h2", MemberState.READY)]
    )
]


def create_announcement(term: int, *leaders: str) -> ZoneAnnouncement:
    """Return an announcement of zone z with a plain server and groups by leader."""
    groups = tuple(ServedGroup("m", server(leader)) for leader in leaders)
    traffic = {leader: ServerTraffic(3) for leader in leaders}
    plain = server("p1", service="p")
    return ZoneAnnouncement("z", term, groups, (plain,), traffic)
