"""Tests of callers' connections: bytes that are no request, and a planned stop."""

import asyncio

import pytest

from gooseberryhall.fleet.models import Limits
from gooseberryhall.gateway.const import MAX_READ_BYTES
from tests.gateway.common import (
    Gateway,
    ReceivedRequest,
    ScriptedServer,
    async_gateway,
    async_until,
    encode_response,
    route,
)

PIECE = b"x" * 16384
# Buffers of the sockets of both sides.
SOCKET_BYTES = 8 * 1024 * 1024


@pytest.mark.parametrize(
    "start",
    [
        pytest.param(b"GET /", id="target"),
        pytest.param(b"GET / HTTP/1.1\r\nhost: ", id="header"),
        pytest.param(
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1;",
            id="chunk extension",
        ),
    ],
)
async def test_endless_request_is_refused(start: bytes) -> None:
    """Guards against memory that grows with a header until the timeout of the head."""
    sent = 0
    limit = Limits().max_header_bytes + MAX_READ_BYTES + SOCKET_BYTES
    async with async_gateway((route(),)) as gateway:
        _, writer = await asyncio.open_connection(
            gateway.address.host, gateway.address.port
        )
        try:
            writer.write(start)
            while True:
                writer.write(PIECE)
                await asyncio.wait_for(writer.drain(), 1)
                sent += len(PIECE)
                assert sent <= limit
        except ConnectionError:
            pass
        finally:
            writer.close()
    assert sent <= limit


def _request(number: int) -> bytes:
    return (
        f"GET /a/{number} HTTP/1.1\r\nhost: example\r\nx-id: {number}\r\n"
        "authorization: Key secret\r\n\r\n"
    ).encode()


async def _async_respond_later(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(0.1)
    writer.write(encode_response(request))


async def _async_connect(
    gateway: Gateway,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(gateway.address.host, gateway.address.port)


async def test_requests_sent_at_once_are_all_answered_by_a_stop() -> None:
    """Guards against a request that is read and dropped without an answer (LOST).

    The stop closed the connection after the answer to the first one.
    """
    server = ScriptedServer("p1", _async_respond_later)
    async with async_gateway((route(),), plain=(server,)) as gateway:
        reader, writer = await _async_connect(gateway)
        writer.write(b"".join(_request(number) for number in (1, 2, 3)))
        await async_until(lambda: bool(server.requests))
        gateway.callers.close_idle()
        response = await asyncio.wait_for(reader.read(), 5)
        writer.close()
    assert response.count(b"HTTP/1.1 200") == 3
    # Only the last answer tells the caller that nothing more is answered.
    assert response.count(b"Connection: close") == 1
    assert response.index(b"Connection: close") > response.index(b"x-id: 3")


async def test_connection_accepted_during_a_stop_is_served() -> None:
    """Guards against closing a connection whose first request is on its way.

    The accept queue is read at a stop so that these requests are answered.
    """
    server = ScriptedServer("p1", _async_respond_later)
    async with async_gateway((route(),), plain=(server,)) as gateway:
        reader, writer = await _async_connect(gateway)
        await async_until(lambda: bool(gateway.callers.connections))
        gateway.callers.close_idle()
        await asyncio.sleep(0.05)
        gateway.callers.close_idle()
        writer.write(_request(1))
        response = await asyncio.wait_for(reader.read(), 5)
        writer.close()
    assert response.startswith(b"HTTP/1.1 200")
    assert b"Connection: close" in response
