"""Several nodes in one process, some of which are partitioned from all servers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from contextvars import ContextVar
from dataclasses import dataclass, field, replace
from enum import StrEnum

import pytest

from gooseberryhall.fleet.models import BackendServer, Configuration, Service, Team
from gooseberryhall.fleet.statements import NO_STATEMENT, ServerStatements
from gooseberryhall.node.directory import (
    ConfigurationListener,
    NodeRecord,
    PlatformAdapter,
    ServerListener,
)
from gooseberryhall.node.program import async_run
from gooseberryhall.node.settings import NodeSettings
from gooseberryhall.transport.address import Address
from gooseberryhall.transport.client import ClientConnection
from gooseberryhall.transport.exceptions import ConnectFailedError
from gooseberryhall.transport.pool import ConnectionPool
from tests.entry.conftest import free_port
from tests.fleet.common import FakeEngines
from tests.gateway.common import HEADER_NAMES, ScriptedServer, route
from tests.node.common import SETTINGS, FakeDirectory, FakeLeases

HOST = "127.0.0.1"
STORE_PERIOD_S = 0.1
START_LIMIT_S = 10.0
ANSWER_LIMIT_S = 5.0
# Name of the node whose code runs.
_NODE: ContextVar[str] = ContextVar("node", default="")


class Cut(StrEnum):
    """What happens to the connections of a node to the servers."""

    # Open ones are reset, new ones are refused.
    RESET = "reset"
    # Open ones fall silent, new ones are not established.
    HANG = "hang"
    # Open ones go on, new ones are refused.
    LIVE_ON = "live on"


@dataclass(slots=True)
class SharedDirectory(FakeDirectory):
    """Directory that lists the same servers and nodes to several nodes."""

    cfg: Configuration = field(default_factory=lambda: Configuration(1))
    servers: list[BackendServer] = field(default_factory=list)
    nodes: dict[str, NodeRecord] = field(default_factory=dict)

    async def async_follow_configuration(self, listener: ConfigurationListener) -> None:
        """Notify the listener of the only version."""
        listener.on_configuration(self.cfg)

    async def async_follow_servers(self, listener: ServerListener) -> None:
        """List the servers again and again."""
        while True:
            listener.on_snapshot(self.servers, False)
            listener.on_store_state(True)
            await asyncio.sleep(STORE_PERIOD_S)

    async def async_register(self, record: NodeRecord) -> None:
        """Add the node."""
        self.nodes[record.node] = record

    async def async_list_nodes(self) -> list[NodeRecord]:
        """Return all nodes."""
        return list(self.nodes.values())


@dataclass(slots=True)
class Cluster:
    """Nodes by name, and servers that all of them list."""

    settings: dict[str, NodeSettings]
    servers: tuple[ScriptedServer, ...]
    # Nodes that are partitioned from all servers.
    cut: dict[str, Cut] = field(default_factory=dict)
    _open: list[tuple[str, ClientConnection]] = field(default_factory=list)

    def partition(self, how: Cut, *names: str) -> None:
        """Cut nodes off from all servers."""
        self.cut = dict.fromkeys(names, how)
        for name, conn in self._open:
            if name in names and conn._transport is not None:
                if how is Cut.RESET:
                    conn._transport.abort()
                elif how is Cut.HANG and not conn._transport.is_closing():
                    conn._transport.pause_reading()

    async def async_connect(
        self, pool: ConnectionPool, address: Address, timeout_s: float
    ) -> ClientConnection:
        """Connect as the pool does, unless the node is partitioned from the address."""
        name = _NODE.get()
        is_server = address in {server.address for server in self.servers}
        how = self.cut.get(name)
        if is_server and how is not None:
            if how is Cut.HANG:
                await asyncio.sleep(timeout_s)
            raise ConnectFailedError(f"{name} is partitioned from {address}")
        conn = await _async_connect(pool, address, timeout_s)
        if is_server:
            self._open.append((name, conn))
        return conn

    async def async_ask(
        self, name: str, path: str = "/a/1", *, method: str = "GET", body: str = ""
    ) -> bytes:
        """Send a request to a node and return all bytes of its answer."""
        callers = self.settings[name].callers
        reader, writer = await asyncio.open_connection(callers.host, callers.port)
        writer.write(
            f"{method} {path} HTTP/1.1\r\nhost: example\r\nx-id: 17\r\n"
            f"authorization: Key secret\r\nconnection: close\r\n"
            f"content-length: {len(body)}\r\n\r\n{body}".encode()
        )
        try:
            return await asyncio.wait_for(reader.read(), ANSWER_LIMIT_S)
        except (ConnectionError, TimeoutError):
            return b""
        finally:
            writer.close()

    async def async_count_served(self, name: str, count: int, **request: str) -> int:
        """Send requests at the same time; return how many were served."""
        calls = [self.async_ask(name, **request) for _ in range(count)]
        answers = await asyncio.gather(*calls)
        return sum(answer.startswith(b"HTTP/1.1 200") for answer in answers)


_async_connect = ConnectionPool._async_connect


@asynccontextmanager
async def async_cluster(
    monkeypatch: pytest.MonkeyPatch,
    zones: dict[str, str],
    *servers: ScriptedServer,
) -> AsyncIterator[Cluster]:
    """Run nodes of the given zones by name, and servers in the first zone."""
    cfg = Configuration(
        version=1,
        routes=(
            route(),
            route(name="once", prefix=b"/once/", idempotent=False),
            route(name="stream", prefix=b"/stream/", streaming=True, resumable=True),
        ),
        services={"plain": Service("plain")},
        teams_by_key={b"secret": Team("team-a", 2)},
        has_teams=True,
    )
    names = tuple(sorted(set(zones.values())))
    directory = SharedDirectory(cfg=cfg)
    settings = {name: _create_settings(name, zones[name], names) for name in zones}
    cluster = Cluster(settings, servers)

    async def async_connect(
        pool: ConnectionPool, address: Address, timeout_s: float
    ) -> ClientConnection:
        return await cluster.async_connect(pool, address, timeout_s)

    monkeypatch.setattr(ConnectionPool, "_async_connect", async_connect)
    async with AsyncExitStack() as stack:
        for number, scripted in enumerate(servers):
            listener = await asyncio.start_server(
                scripted.async_serve, HOST, 0, limit=1 << 20
            )
            stack.callback(listener.close)
            scripted.address = Address(*listener.sockets[0].getsockname()[:2])
            zone = names[number % len(names)]
            record = BackendServer(
                scripted.server_id, "plain", scripted.address, zone, False, 8
            )
            directory.servers.append(record)
        for name in zones:
            task = asyncio.create_task(_async_run_node(settings[name], directory))
            stack.push_async_callback(_async_cancel, task)
        for name in zones:
            await _async_wait_serving(cluster, name)
        yield cluster


def _create_settings(name: str, zone: str, zones: tuple[str, ...]) -> NodeSettings:
    callers, readiness, metrics, internal = (free_port() for _ in range(4))
    return replace(
        SETTINGS,
        node=name,
        zone=zone,
        zones=zones,
        callers=Address(HOST, callers),
        readiness=Address(HOST, readiness),
        metrics=Address(HOST, metrics),
        host=HOST,
        internal_port=internal,
    )


async def _async_run_node(settings: NodeSettings, directory: SharedDirectory) -> None:
    _NODE.set(settings.node)
    adapter = PlatformAdapter(
        HEADER_NAMES,
        directory,
        FakeLeases(),
        FakeEngines(),
        ServerStatements(),
        lambda _: NO_STATEMENT,
    )
    await async_run(settings, lambda: settings, adapter)


async def _async_cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def _async_wait_serving(cluster: Cluster, name: str) -> None:
    async with asyncio.timeout(START_LIMIT_S):
        while True:
            with contextlib.suppress(OSError):
                if await cluster.async_count_served(name, 1):
                    return
            await asyncio.sleep(0.05)
