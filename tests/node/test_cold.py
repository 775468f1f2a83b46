"""Tests of a cold server behind the nodes of a zone, with fakes of the platform."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace

from gooseberryhall.fleet.models import BackendServer, Service, Team
from gooseberryhall.fleet.statements import ServerStatements
from gooseberryhall.gateway.app import async_handle_request
from gooseberryhall.gossip.service import GossipService
from gooseberryhall.node.directory import ConfigurationListener, PlatformAdapter
from gooseberryhall.node.listeners import async_listen
from gooseberryhall.node.node import Node
from gooseberryhall.platform.directory import _decode_server
from gooseberryhall.platform.statements import decode_statement
from gooseberryhall.platform.store import Row
from gooseberryhall.transport.address import Address
from tests.fleet.common import FakeEngines
from tests.gateway.common import (
    HEADER_NAMES,
    ReceivedRequest,
    ScriptedServer,
    encode_response,
    route,
)
from tests.node.common import CONFIGURATION, SETTINGS, FakeDirectory, FakeLeases

PER_S = 14.0
OVERRUN = 1.5
SLACK = 5.0
COLD_S = 30.0
COLD_CONFIGURATION = replace(
    CONFIGURATION,
    routes=(route(),),
    teams_by_key={b"secret": Team("team-a", 2)},
    has_teams=True,
    services={
        **CONFIGURATION.services,
        "plain": Service("plain", None, cold_start_s=3.0, cold_requests_per_s=PER_S),
    },
)


class ColdDirectory(FakeDirectory):
    """Directory with a service whose servers are cold after a start."""

    async def async_follow_configuration(self, listener: ConfigurationListener) -> None:
        """Notify the listener of one version."""
        listener.on_configuration(COLD_CONFIGURATION)


@dataclass(slots=True)
class Network:
    """Carries datagrams between nodes, by port, without sockets."""

    services: dict[int, GossipService] = field(default_factory=dict)

    def connect(self, node: Node) -> None:
        """Connect a node under its internal port."""
        network = self

        class Transport(asyncio.DatagramTransport):
            def is_closing(self) -> bool:
                return False

            def sendto(self, data: object, addr: object = None) -> None:
                assert isinstance(data, bytes)
                assert isinstance(addr, tuple)
                receiver = network.services.get(addr[1])
                if receiver is not None:
                    receiver.datagram_received(data, ("127.0.0.1", addr[1]))

        service = GossipService(node.peers, node.create_messages, node.receive_gossip)
        service.connection_made(Transport())
        node.gossip = service
        self.services[node.settings.internal_port] = service


@dataclass(slots=True)
class Zone:
    """Nodes in front of one plain server; the first node owns the zone."""

    nodes: list[Node]
    directories: list[ColdDirectory]
    addresses: list[Address]
    network: Network
    # Times at which the server received requests.
    received_s: list[float]

    def list_server(self, server: BackendServer) -> None:
        """Pass the server's record to the nodes that may become owners."""
        for directory in self.directories[:2]:
            assert directory.listener is not None
            directory.listener.on_snapshot([server], False)

    async def async_run(self, seconds: float, requests_per_node: int) -> None:
        """Run the periodic tasks of all nodes and send requests to each of them."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + seconds
        sent = 0
        async with asyncio.TaskGroup() as group:
            while loop.time() < ends_s:
                for directory in self.directories[:2]:
                    # An owner whose store does not answer is not followed.
                    assert directory.listener is not None
                    directory.listener.on_store_state(True)
                for node in self.nodes:
                    node.tick()
                    node.gossip.send()
                left = (ends_s - loop.time()) / seconds
                while sent < requests_per_node * (1 - left):
                    sent += 1
                    for address in self.addresses:
                        group.create_task(_async_request(address))
                await asyncio.sleep(0.02)

    def most_in_a_second(self) -> int:
        """Return the largest number of requests that arrived within a second."""
        times_s = self.received_s
        return max(
            (sum(1 for t in times_s if start <= t < start + 1) for start in times_s),
            default=0,
        )


async def _async_request(address: Address) -> None:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(
        b"GET /a/1 HTTP/1.1\r\nhost: example\r\nx-id: 17\r\nconnection: close\r\n"
        b"authorization: Key secret\r\ncontent-length: 0\r\n\r\n"
    )
    await reader.read()
    writer.close()


def _record(address: Address, sequence: int, **changes: object) -> BackendServer:
    values = {
        "service": "plain",
        "address": str(address),
        "zone": "z",
        "state": "ready",
        "slots": 200,
        "sequence": sequence,
        "born": 5,
        **changes,
    }
    server = _decode_server(Row("s1", json.dumps(values).encode(), sequence))
    assert server is not None
    return server


@asynccontextmanager
async def _async_zone(size: int) -> AsyncIterator[tuple[Zone, ScriptedServer]]:
    """Run a server and nodes of one zone, whose first node owns the zone."""
    loop = asyncio.get_running_loop()

    async def async_script(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        zone.received_s.append(loop.time())
        writer.write(encode_response(request))

    zone = Zone([], [], [], Network(), [])
    server = ScriptedServer("s1", async_script)
    async with AsyncExitStack() as stack:
        listener = await asyncio.start_server(server.async_serve, "127.0.0.1", 0)
        stack.callback(listener.close)
        server.address = Address(*listener.sockets[0].getsockname()[:2])
        for number in range(size):
            directory = ColdDirectory()
            statements = ServerStatements()
            adapter = PlatformAdapter(
                HEADER_NAMES,
                directory,
                FakeLeases(),
                FakeEngines(),
                statements,
                decode_statement,
            )
            settings = replace(
                SETTINGS,
                node=f"n{number}",
                internal_port=7000 + number,
                cold_overrun=OVERRUN,
                cold_slack=SLACK,
            )
            node = Node(settings, adapter, incarnation=1)
            zone.network.connect(node)
            stack.push_async_callback(node.tasks.async_cancel)
            stack.callback(node.gateway.pool.close)
            node.start()
            callers = await async_listen(
                stack,
                Address("127.0.0.1", 0),
                lambda conn, req, node=node: async_handle_request(  # type: ignore[misc]
                    node.gateway, conn, req
                ),
                limits=lambda node=node: node.configuration.limits,  # type: ignore[misc]
                intake=node.intake,
            )
            zone.nodes.append(node)
            zone.directories.append(directory)
            zone.addresses.append(Address(*callers.server.sockets[0].getsockname()[:2]))
        for node in zone.nodes:
            for other in range(size):
                address = Address("127.0.0.1", 7000 + other)
                node.peers.add(f"n{other}", "z", address, loop.time())
        await asyncio.sleep(0.01)
        yield zone, server


async def test_nodes_together_stay_within_the_bound_of_a_cold_server() -> None:
    """Guards against the requests of all nodes to a server that has just started.

    The zone changes its owner meanwhile.
    """
    async with _async_zone(4) as (zone, server):
        zone.list_server(_record(server.address, 1, cold_remaining_ms=COLD_S * 1000))
        zone.nodes[0].owner.become_owner("z", 1)
        await zone.async_run(1.0, 30)
        assert zone.received_s
        zone.nodes[1].owner.become_owner("z", 2)
        await zone.async_run(1.0, 30)
        assert 0 < zone.most_in_a_second() <= PER_S * OVERRUN + SLACK
        withheld = zone.most_in_a_second()
        # A later record tells that it is warm.
        zone.list_server(_record(server.address, 2, cold_remaining_ms=0))
        zone.received_s.clear()
        await zone.async_run(1.0, 60)
    assert zone.most_in_a_second() > withheld


async def test_server_is_cold_for_nodes_without_an_owner() -> None:
    """Guards against requests to a cold server while nobody grants them."""
    async with _async_zone(3) as (zone, server):
        zone.list_server(_record(server.address, 1, cold_remaining_ms=COLD_S * 1000))
        owner = zone.nodes[0]
        owner.owner.become_owner("z", 1)
        for _ in range(20):
            await zone.async_run(0.3, 6)
            if zone.received_s:
                break
        assert zone.received_s
        assert owner.gateway.metrics.cold_servers.get({}) == 1
        # The owner is lost; its grants end.
        zone.nodes.remove(owner)
        await owner.tasks.async_cancel()
        await zone.async_run(1.3, 0)
        zone.received_s.clear()
        zone.addresses.pop(0)
        await zone.async_run(0.4, 20)
    assert zone.received_s == []


async def test_owner_that_a_peer_superseded_grants_nothing() -> None:
    """Guards against a frozen owner that goes on to select nodes when it wakes up."""
    async with _async_zone(2) as (zone, server):
        zone.list_server(_record(server.address, 1, cold_remaining_ms=COLD_S * 1000))
        first, second = zone.nodes
        first.owner.become_owner("z", 1)
        assert _announced(first).cold_grant is not None
        second.owner.become_owner("z", 2)
        second.gossip.send(urgent=True)
        withheld = _announced(first)
    assert withheld.cold_grant is None
    assert withheld.cold_remaining_s


def _announced(node: Node) -> BackendServer:
    return node._announce_owned_zone("z").servers[0]
