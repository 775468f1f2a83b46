"""Listeners for requests of callers, readiness checks and metrics."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from aioprometheus import Registry
from aioprometheus.renderer import render

from ..fleet.models import Limits
from ..gateway.caller import CallerConnection
from ..gateway.const import MAX_SERVICE_CONNECTIONS, SEND_BUFFER_BYTES
from ..gateway.intake import Intake, choose_unread
from ..gateway.models import CallerRequest, GatewayResponse
from ..transport.address import Address
from ..transport.exchange import ResponseHead

BACKLOG = 512
TEXT_FORMAT = "text/plain"

Handler = Callable[[CallerConnection, CallerRequest], Awaitable[None]]


@dataclass(slots=True)
class Listener:
    """A listening socket and its open connections."""

    server: asyncio.Server
    connections: set[CallerConnection] = field(default_factory=set)

    def close_idle(self) -> None:
        """Close idle connections now and the others after their current request."""
        for conn in list(self.connections):
            conn.close_when_idle()

    def give_up_unread(self, intake: Intake, idle_timeout_s: float) -> None:
        """Abort the connections whose callers do not take their responses."""
        now_s = asyncio.get_running_loop().time()
        excess_bytes = intake.held.held_bytes - intake.held.limit_bytes
        unread = choose_unread(
            self.connections,
            now_s,
            idle_timeout_s=idle_timeout_s,
            max_unread_s=intake.bounds.max_unread_s,
            excess_bytes=excess_bytes,
        )
        for conn in unread:
            conn.abort_unread()

    def refuse_incomplete(self, response: GatewayResponse) -> None:
        """Refuse the requests that are not completely received."""
        for conn in list(self.connections):
            conn.refuse_incomplete(response)


async def async_listen(
    stack: AsyncExitStack,
    address: Address,
    handler: Handler,
    *,
    limits: Callable[[], Limits],
    intake: Intake,
    max_connections: int = MAX_SERVICE_CONNECTIONS,
) -> Listener:
    """Listen on an address until the stack is closed."""
    loop = asyncio.get_running_loop()
    connections: set[CallerConnection] = set()
    server = await loop.create_server(
        lambda: CallerConnection(handler, limits, connections, intake, max_connections),
        address.host,
        address.port,
        backlog=BACKLOG,
        reuse_address=True,
    )
    stack.callback(server.close)
    for listening in server.sockets:
        # Accepted connections inherit it.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return Listener(server, connections)


def create_readiness_handler(is_ready: Callable[[], bool]) -> Handler:
    """Return a handler that responds with 200 while the node takes requests."""

    async def async_respond(conn: CallerConnection, _: CallerRequest) -> None:
        ready = is_ready()
        response = (
            GatewayResponse(200, "ready")
            if ready
            else GatewayResponse(503, "not ready")
        )
        conn.respond(response, None, b"")

    return async_respond


def create_metrics_handler(registry: Registry) -> Handler:
    """Return a handler that responds with the metrics in text format."""

    async def async_respond(conn: CallerConnection, _: CallerRequest) -> None:
        body, headers = render(registry, [TEXT_FORMAT])
        fields = [(key.lower().encode(), str(headers[key]).encode()) for key in headers]
        conn.begin_response(ResponseHead(200, fields), length=len(body))
        conn.write_body(body)
        conn.end_response()

    return async_respond
