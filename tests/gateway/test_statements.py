"""Tests of servers that leave or ask for a pause in their answers."""

import asyncio
from dataclasses import replace

import pytest

from gooseberryhall.fleet.models import Route
from gooseberryhall.fleet.statements import ServerStatement
from gooseberryhall.platform.statements import decode_statement
from gooseberryhall.transport.address import Address
from gooseberryhall.transport.client import ClientConnection
from gooseberryhall.transport.pool import ConnectionPool
from tests.gateway.common import (
    Gateway,
    ReceivedRequest,
    Script,
    ScriptedServer,
    async_gateway,
    chunk,
    encode_response,
    event,
    route,
    stream_route,
)

_PAUSE = "x-not-run: 1\r\nretry-after: 0.4\r\n"
_PAUSE_S = 0.4


async def _async_ok(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(request))


async def _async_leaving(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    extra = "x-signature: s1\r\nserver-leaving: 1\r\n"
    writer.write(encode_response(request, extra=extra))


async def _async_pause(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(request, status=503, extra=_PAUSE))


async def _async_leaving_stream(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Say that the server leaves in the head of a stream."""
    head = f"HTTP/1.1 200 OK\r\nx-id: {request.headers['x-id']}\r\nx-signature: s\r\n"
    writer.write(f"{head}server-leaving: 1\r\n".encode())
    writer.write(b"transfer-encoding: chunked\r\n\r\n")
    writer.write(chunk(event(1)) + chunk(b""))


def _listen_to_servers(gateway: Gateway) -> None:
    gateway.state.decode_statement = decode_statement


@pytest.mark.parametrize(
    ("tested", "grouped", "script"),
    [
        pytest.param(route(attempts=1), False, _async_leaving, id="plain"),
        pytest.param(stream_route(), True, _async_leaving_stream, id="group"),
    ],
)
async def test_leaving_server_gets_no_request_after_its_answer(
    tested: Route, grouped: bool, script: Script
) -> None:
    """Guards against requests to a server that says in answers only that it leaves."""
    leaving = ScriptedServer("s1", script)
    servers = (leaving,)
    async with async_gateway(
        (tested,), () if grouped else servers, servers if grouped else ()
    ) as gateway:
        _listen_to_servers(gateway)
        first = await gateway.async_request()
        later = [await gateway.async_request() for _ in range(5)]
        gateway.servers["s1"] = replace(gateway.servers["s1"], started_at_ms=9)
        if grouped:
            gateway.groups[0] = replace(gateway.groups[0], leader=gateway.servers["s1"])
        await gateway.async_request()
    assert first.startswith(b"HTTP/1.1 200")
    assert all(response.startswith(b"HTTP/1.1 503") for response in later)
    # Its next incarnation gets requests again.
    assert len(leaving.requests) == 2


async def test_paused_server_gets_nothing_while_others_serve() -> None:
    """Guards against requests to a server in its pause, and refusals meanwhile."""
    paused = ScriptedServer("s1", _async_pause)
    others = tuple(ScriptedServer(f"s{n}", _async_ok) for n in (2, 3, 4))
    async with async_gateway((route(),), (paused, *others)) as gateway:
        _listen_to_servers(gateway)
        gateway.state.backends.peer_load = {"s2": 1, "s3": 1, "s4": 1}
        responses = [await gateway.async_request() for _ in range(60)]
    assert all(response.startswith(b"HTTP/1.1 200") for response in responses)
    assert len(paused.requests) == 1


@pytest.mark.parametrize("grouped", [False, True])
async def test_refusal_tells_when_the_first_pause_ends(grouped: bool) -> None:
    """Guards against callers that return during the pause, or all at its end."""
    servers = (ScriptedServer("s1", _async_pause),)
    tested = stream_route() if grouped else route()
    async with async_gateway(
        (tested,), () if grouped else servers, servers if grouped else ()
    ) as gateway:
        _listen_to_servers(gateway)
        await gateway.async_request()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        response = await gateway.async_request()
        waited_s = loop.time() - started_s
        await asyncio.sleep(_PAUSE_S + 0.05)
        await gateway.async_request()
    retry_after = response.lower().partition(b"retry-after: ")[2].partition(b"\r\n")[0]
    assert response.startswith(b"HTTP/1.1 503")
    assert 0.2 <= float(retry_after) <= _PAUSE_S * 1.5 + 0.1
    assert waited_s < 0.2
    assert len(servers[0].requests) == 2


async def test_statement_is_checked_when_the_connection_is_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request to a server that said that it leaves meanwhile."""
    server = ScriptedServer("s1", _async_ok)
    connect = ConnectionPool._async_connect
    async with async_gateway((route(idempotent=False),), (server,)) as gateway:

        async def async_connect(
            pool: ConnectionPool, address: Address, timeout_s: float
        ) -> ClientConnection:
            conn = await connect(pool, address, timeout_s)
            statement = ServerStatement(leaving=True)
            gateway.state.statements.record(gateway.servers["s1"], statement, 0.0)
            return conn

        monkeypatch.setattr(ConnectionPool, "_async_connect", async_connect)
        response = await gateway.async_request(method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 503")
    assert server.requests == []


async def test_answer_of_another_server_says_nothing() -> None:
    """Guards against a statement of the server that uses the address now."""

    async def async_other(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        extra = "x-not-run: 1\r\nserver-leaving: 1\r\n"
        writer.write(encode_response(request, status=421, extra=extra))

    server = ScriptedServer("s1", async_other)
    async with async_gateway((route(),), (server,)) as gateway:
        _listen_to_servers(gateway)
        for _ in range(2):
            await gateway.async_request()
    assert len(server.requests) == 2
