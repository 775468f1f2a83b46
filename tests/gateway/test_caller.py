"""Tests of callers' connections: bytes that are no request, and a planned stop."""

import asyncio

import pytest

from gooseberryhall.fleet.models import Limits, Target
from gooseberryhall.gateway.const import MAX_READ_BYTES
from tests.gateway.common import (
    Gateway,
    ReceivedRequest,
    ScriptedServer,
    async_gateway,
    async_until,
    encode_response,
    route,
    stream_route,
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


async def _async_read_response(reader: asyncio.StreamReader) -> bytes:
    return await asyncio.wait_for(reader.read(), 5)


async def test_refusal_reaches_a_caller_that_still_sends() -> None:
    """Guards against a reset connection instead of "has not run" and `Retry-After`."""
    server = ScriptedServer("p1", _async_respond_later)
    async with async_gateway((route(),), plain=(server,)) as gateway:
        gateway.held.limit_bytes = 300_000
        reader, writer = await _async_connect(gateway)
        writer.write(
            b"POST /a/1 HTTP/1.1\r\nx-id: 8\r\ncontent-length: 1000000\r\n\r\n"
        )
        writer.write(bytes(999_999))
        response = await _async_read_response(reader)
        writer.close()
        await async_until(lambda: not gateway.callers.connections)
        assert response.startswith(b"HTTP/1.1 503")
        assert b"retry-after" in response
        assert b"x-id: 8\r\n" in response
        assert gateway.held.held_bytes == 0
    assert not server.requests


async def test_request_at_a_server_survives_the_refusal_of_the_next_one() -> None:
    """Guards against giving up a forwarded request for an incomplete one."""
    server = ScriptedServer("p1", _async_respond_later)
    async with async_gateway((route(),), plain=(server,)) as gateway:
        gateway.held.limit_bytes = 300_000
        reader, writer = await _async_connect(gateway)
        writer.write(_request(1))
        await async_until(lambda: bool(server.requests))
        writer.write(b"POST /a/2 HTTP/1.1\r\ncontent-length: 1000000\r\n\r\n")
        writer.write(bytes(200_000))
        response = await _async_read_response(reader)
        writer.close()
    assert response.startswith(b"HTTP/1.1 200")
    assert response.count(b"HTTP/1.1 503") == 1
    assert len(server.requests) == 1


async def test_memory_of_requests_is_released() -> None:
    """Guards against a budget that fills up with requests that have ended."""
    server = ScriptedServer("p1", _async_respond_later)
    async with async_gateway((route(),), plain=(server,)) as gateway:
        reader, writer = await _async_connect(gateway)
        writer.write(b"".join(_request(number) for number in (1, 2, 3)))
        await async_until(lambda: gateway.held.requests.held_bytes > 0)
        writer.write(b"GET /a/4 HTTP/1.1\r\na: ")
        await async_until(lambda: len(server.requests) == 2)
        writer.close()
        await async_until(lambda: not gateway.callers.connections)
        await async_until(lambda: gateway.held.held_bytes == 0)
        del reader


@pytest.mark.parametrize("path", ["/none/1", "/a/1", "/stream/1"])
async def test_answer_to_head_has_no_body(path: str) -> None:
    """Guards against bytes behind an answer to HEAD that belong to no answer (MIXED).

    The next answer on the connection could not be read (review/7).
    """

    async def async_answer(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.request_line.startswith("HEAD "):
            head = f"HTTP/1.1 200 OK\r\nx-id: {request.headers['x-id']}\r\n"
            writer.write(f"{head}x-signature: s\r\ncontent-length: 4\r\n\r\n".encode())
        else:
            writer.write(encode_response(request))

    server = ScriptedServer("s1", async_answer)
    plain = (Target("plain", 1.0),)
    streaming = stream_route(name="stream", prefix=b"/stream/", targets=plain)
    async with async_gateway((route(), streaming), (server,)) as gateway:
        reader, writer = await asyncio.open_connection(
            gateway.address.host, gateway.address.port
        )
        lines = "host: example\r\nx-id: 1\r\nauthorization: Key secret\r\n"
        writer.write(f"HEAD {path} HTTP/1.1\r\n{lines}\r\n".encode())
        first = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
        writer.write(f"GET /a/1 HTTP/1.1\r\n{lines}\r\n".encode())
        second = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
        writer.close()
    assert first.startswith(b"HTTP/1.1 404" if path == "/none/1" else b"HTTP/1.1 200")
    assert b"transfer-encoding" not in first.lower()
    assert second.startswith(b"HTTP/1.1 200")
