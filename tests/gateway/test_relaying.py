"""Tests of a node that passes requests on for a peer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

from gooseberryhall.fleet.models import Limits
from gooseberryhall.fleet.statements import ServerStatement
from gooseberryhall.gateway.intake import Intake
from gooseberryhall.gateway.paths import REFUSAL_HEADER
from gooseberryhall.gateway.reach import Reach
from gooseberryhall.gateway.relaying import async_relay_request, relay_limits
from gooseberryhall.gateway.state import GatewayState
from gooseberryhall.node.listeners import async_listen
from gooseberryhall.transport.address import Address
from gooseberryhall.transport.exchange import ResponseHead
from tests.gateway.common import (
    MEMORY_BYTES,
    Gateway,
    ReceivedRequest,
    Script,
    ScriptedServer,
    async_gateway,
    chunk,
    encode_response,
    event,
    route,
    stream_head,
    unframed_head,
)


async def _async_ok(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(request))


async def _async_break(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(stream_head(request) + chunk(event(1)))
    await writer.drain()
    writer.transport.abort()


async def _async_stream(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(unframed_head(request) + event(1) + event(2))
    writer.close()


async def _async_head(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(request, b""))


@asynccontextmanager
async def _async_relay(
    script: Script,
) -> AsyncIterator[tuple[Gateway, ScriptedServer, Address]]:
    """Run a gateway that passes requests on, and one server."""
    server = ScriptedServer("s1", script)
    async with AsyncExitStack() as stack:
        gateway = await stack.enter_async_context(async_gateway((route(),), (server,)))
        intake = Intake(gateway.held, gateway.state.metrics, MEMORY_BYTES)
        relay = await async_listen(
            stack,
            Address("127.0.0.1", 0),
            lambda conn, req: async_relay_request(gateway.state, conn, req),
            limits=lambda: relay_limits(Limits()),
            intake=intake,
        )
        yield gateway, server, Address(*relay.server.sockets[0].getsockname()[:2])


async def _async_ask(
    address: Address, server_id: str = "s1", method: str = "POST"
) -> bytes:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(
        f"{method} /a/1?q=2 HTTP/1.1\r\nhost: example\r\nx-id: 17\r\nx-team: team-a\r\n"
        f"x-server: {server_id}\r\nx-deadline: 900\r\nconnection: close\r\n"
        f"content-length: 4\r\n\r\nbody".encode()
    )
    try:
        return await asyncio.wait_for(reader.read(), 5)
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


async def test_request_of_a_peer_reaches_the_server_unchanged() -> None:
    """Guards against a request that a node changes on its way (UNASKED)."""
    async with _async_relay(_async_ok) as (_, server, address):
        answer = await _async_ask(address)
    (request,) = server.requests
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"x-signature: s1" in answer
    assert request.request_line.startswith("POST /a/1?q=2 ")
    assert request.headers["x-team"] == "team-a"
    assert request.headers["x-server"] == "s1"
    assert request.headers["x-deadline"] == "900"
    assert request.headers["content-length"] == "4"


async def test_answer_that_breaks_off_does_not_look_complete() -> None:
    """Guards against the end of a broken stream that its caller takes for whole."""
    async with _async_relay(_async_break) as (_, _server, address):
        answer = await _async_ask(address)
    assert not answer.endswith(b"0\r\n\r\n")


async def test_answer_without_length_gets_a_visible_end() -> None:
    """Guards against an answer that ends with the process of the node between."""
    async with _async_relay(_async_stream) as (_, _server, address):
        answer = await _async_ask(address)
    assert b"transfer-encoding: chunked" in answer.lower()
    assert answer.endswith(b"0\r\n\r\n")


async def test_server_that_said_to_this_node_that_it_leaves_gets_nothing() -> None:
    """Guards against requests to a leaving server by way of a peer (DRAIN)."""

    def decode(head: ResponseHead) -> ServerStatement:
        return ServerStatement(leaving=head.get(b"x-leaving") is not None)

    async def async_leave(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(encode_response(request, extra="x-leaving: 1\r\n"))

    async with _async_relay(async_leave) as (gateway, server, address):
        gateway.state.decode_statement = decode
        assert (await _async_ask(address)).startswith(b"HTTP/1.1 200")
        assert REFUSAL_HEADER + b": server" in await _async_ask(address)
    assert len(server.requests) == 1


async def test_node_that_is_partitioned_itself_passes_nothing_on() -> None:
    """Guards against requests that go round among nodes that are partitioned."""
    async with _async_relay(_async_ok) as (gateway, server, address):
        _partition(gateway.state)
        assert REFUSAL_HEADER + b": unavailable" in await _async_ask(address)
    assert not server.requests


async def test_answer_to_head_is_passed_on_without_a_body() -> None:
    """Guards against a HEAD request that waits for a body."""
    async with _async_relay(_async_head) as (_, _server, address):
        answer = await _async_ask(address, method="HEAD")
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"\r\n\r\n")


async def test_unknown_server_is_refused() -> None:
    """Guards against a node that connects to whatever a peer names."""
    async with _async_relay(_async_ok) as (_, server, address):
        assert REFUSAL_HEADER + b": server" in await _async_ask(address, "other")
    assert not server.requests


def _partition(state: GatewayState) -> None:
    state.reach.state = Reach.PARTITIONED
