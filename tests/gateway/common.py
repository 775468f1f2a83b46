"""Scripted backend servers and a gateway in front of them."""

import asyncio
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

from gooseberryhall.fleet.models import (
    BackendServer,
    Configuration,
    EngineProfile,
    Limits,
    Model,
    Route,
    ServedGroup,
    Service,
    Target,
    Team,
)
from gooseberryhall.gateway.app import async_handle_request
from gooseberryhall.gateway.backends import Backends
from gooseberryhall.gateway.budget import RetryBudget
from gooseberryhall.gateway.const import MIN_HEDGE_ANSWERS
from gooseberryhall.gateway.header_names import HeaderNames
from gooseberryhall.gateway.hedging import Hedging
from gooseberryhall.gateway.held import NodeBudget, create_budget
from gooseberryhall.gateway.intake import Intake
from gooseberryhall.gateway.metrics import GatewayMetrics
from gooseberryhall.gateway.state import GatewayState
from gooseberryhall.node.listeners import Listener, async_listen
from gooseberryhall.transport.address import Address
from gooseberryhall.transport.pool import ConnectionPool

HEADER_NAMES = HeaderNames(
    request_id=b"x-id",
    deadline_ms=b"x-deadline",
    expected_server=b"x-server",
    signature=b"x-signature",
    not_run=b"x-not-run",
    team=b"x-team",
    priority=b"x-priority",
    model=b"x-model",
    prompt_parts=b"x-prompt",
    last_event_id=b"last-event-id",
    key_scheme=b"Key ",
    token_count=b"x-tokens",
)
MEMORY_BYTES = 256_000_000
MAX_CONNECTIONS = 1000
MODEL = Model("large", 2, 1.0, 1.0, 16.0, 1.6)
ENGINE = EngineProfile(4, (MODEL,), 0.3, 6)


@dataclass(slots=True)
class ReceivedRequest:
    """A request as received by a server; headers are converted to lower case."""

    request_line: str
    headers: dict[str, str]
    body: bytes


Script = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


@dataclass(slots=True)
class ScriptedServer:
    """A server that handles each request with a script."""

    server_id: str
    script: Script
    address: Address = field(default_factory=lambda: Address("127.0.0.1", 0))
    requests: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle the requests of one connection."""
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.strip().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in lines)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                request = ReceivedRequest(first, headers, body)
                self.requests.append(request)
                await self.script(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def async_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition. Raises `TimeoutError` after about five seconds."""
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise TimeoutError("condition did not come true")


def encode_response(
    request: ReceivedRequest,
    body: bytes = b"done",
    *,
    status: int = 200,
    extra: str = "x-signature: s1\r\n",
    request_id: str | None = None,
) -> bytes:
    """Return a complete response."""
    echoed = request_id or request.headers["x-id"]
    head = f"HTTP/1.1 {status} X\r\nx-id: {echoed}\r\n{extra}"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


def stream_head(request: ReceivedRequest, signature: str = "s1") -> bytes:
    """Return the head of a response with chunked transfer encoding."""
    return (
        f"HTTP/1.1 200 OK\r\nx-id: {request.headers['x-id']}\r\n"
        f"x-signature: {signature}\r\ntransfer-encoding: chunked\r\n\r\n"
    ).encode()


def unframed_head(request: ReceivedRequest) -> bytes:
    """Return the head of a success with neither a length nor chunks."""
    request_id = request.headers["x-id"]
    return f"HTTP/1.1 200 OK\r\nx-id: {request_id}\r\nx-signature: s\r\n\r\n".encode()


def event_ids(response: bytes) -> list[int]:
    """Return the ids of the events in a response."""
    return [int(number) for number in re.findall(rb"(?<!x-)id: (\d+)", response)]


def chunk(data: bytes) -> bytes:
    """Return a chunk; an empty chunk ends the response."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return a server-sent event."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def route(**changes: object) -> Route:
    """Return a route to the plain service with some fields replaced."""
    values: dict[str, object] = {
        "name": "r",
        "host": b"example",
        "prefix": b"/a/",
        "idempotent": True,
        "streaming": False,
        "resumable": False,
        "anonymous": False,
        "priority": 1,
        "timeout_s": 1.0,
        "latency_objective_s": 0.2,
        "attempts": 2,
        "targets": (Target("plain", 1.0),),
    }
    return Route(**{**values, **changes})  # type: ignore[arg-type]


def stream_route(**changes: object) -> Route:
    """Return a resumable route to the model service with some fields replaced."""
    values: dict[str, object] = {
        "streaming": True,
        "resumable": True,
        "targets": (Target("engine", 1.0),),
    }
    return route(**{**values, **changes})


@dataclass(slots=True)
class Gateway:
    """A gateway that listens on the loopback interface."""

    state: GatewayState
    address: Address
    servers: dict[str, BackendServer]
    groups: list[ServedGroup]
    callers: Listener
    held: NodeBudget

    def prefer(self, server_id: str) -> None:
        """Make one server look less loaded than the others."""
        self.state.backends.peer_load = {
            key: 0 if key == server_id else 1 for key in self.servers
        }

    async def async_request(
        self,
        extra: str = "",
        *,
        method: str = "GET",
        path: str = "/a/1",
        body: str = "",
    ) -> bytes:
        """Send one request and return all bytes until the connection closes."""
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        writer.write(
            f"{method} {path} HTTP/1.1\r\nhost: example\r\nx-id: 17\r\n"
            f"authorization: Key secret\r\nconnection: close\r\n{extra}"
            f"content-length: {len(body)}\r\n\r\n{body}".encode()
        )
        try:
            return await asyncio.wait_for(reader.read(), 5)
        except ConnectionResetError:
            return b""
        finally:
            writer.close()


@asynccontextmanager
async def async_gateway(
    routes: tuple[Route, ...],
    plain: tuple[ScriptedServer, ...] = (),
    leaders: tuple[ScriptedServer, ...] = (),
) -> AsyncIterator[Gateway]:
    """Run scripted servers and a gateway in front of them."""
    cfg = Configuration(
        version=1,
        routes=routes,
        services={
            "plain": Service("plain"),
            "engine": Service("engine", ENGINE),
        },
        teams_by_key={b"secret": Team("team-a", 2)},
        has_teams=True,
    )
    async with AsyncExitStack() as stack:
        servers = {}
        for scripted, service in [
            *((server, "plain") for server in plain),
            *((server, "engine") for server in leaders),
        ]:
            listener = await asyncio.start_server(
                scripted.async_serve, "127.0.0.1", 0, limit=1 << 20
            )
            stack.callback(listener.close)
            scripted.address = Address(*listener.sockets[0].getsockname()[:2])
            servers[scripted.server_id] = BackendServer(
                scripted.server_id, service, scripted.address, "z", False, 4
            )
        groups = [
            ServedGroup("large", servers[scripted.server_id]) for scripted in leaders
        ]
        state = GatewayState(
            zone="z",
            header_names=HEADER_NAMES,
            pool=ConnectionPool(HEADER_NAMES.request_id),
            backends=Backends(lambda _: None),
            metrics=GatewayMetrics(),
            configuration=lambda: cfg,
            servers=lambda: servers,
            groups=lambda: groups,
            create_budget=lambda: RetryBudget(0.2, 10, 10),
        )
        stack.callback(state.pool.close)
        intake = Intake(
            create_budget(MEMORY_BYTES),
            state.metrics,
            MEMORY_BYTES,
            id_header=HEADER_NAMES.request_id,
        )
        callers = await async_listen(
            stack,
            Address("127.0.0.1", 0),
            lambda conn, request: async_handle_request(state, conn, request),
            limits=Limits,
            intake=intake,
            max_connections=MAX_CONNECTIONS,
        )
        address = Address(*callers.server.sockets[0].getsockname()[:2])
        yield Gateway(state, address, servers, groups, callers, intake.held)


@asynccontextmanager
async def async_hedging_gateway(
    used: Route, first: Script, second: Script
) -> AsyncIterator[tuple[Gateway, ScriptedServer, ScriptedServer]]:
    """Run a gateway that sends a second copy to the second server after 20 ms."""
    servers = ScriptedServer("s1", first), ScriptedServer("s2", second)
    grouped = used.targets[0].service == "engine"
    plain, leaders = ((), servers) if grouped else (servers, ())
    async with async_gateway((used,), plain, leaders) as gateway:
        hedging = gateway.state.hedging = Hedging(1.0, 0.95)
        now_s = asyncio.get_running_loop().time()
        for _ in range(MIN_HEDGE_ANSWERS):
            hedging.latencies["r"].record(0.02, now_s)
        gateway.prefer("s1")
        yield gateway, *servers


def hedge_events(gateway: Gateway) -> list[float]:
    """Return how many second copies were sent, won and were cancelled."""
    values = gateway.state.metrics.hedges.values
    return [
        float(values.get({"route": "r", "event": name}, 0))
        for name in ("sent", "won", "cancelled")
    ]
