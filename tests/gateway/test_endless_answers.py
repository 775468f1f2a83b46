"""Tests of servers that send bytes without end, beside sound ones."""

import asyncio

import pytest

from gooseberryhall.transport.memory import HeldBytes
from tests.gateway.common import (
    ReceivedRequest,
    Script,
    ScriptedServer,
    async_gateway,
    async_until,
    encode_response,
    route,
    unframed_head,
)

PIECE = bytes(64 * 1024)
LIMIT_BYTES = 1024 * 1024
CALLERS = 8
BODY = bytes(4096)


async def _async_send_endless(writer: asyncio.StreamWriter, start: bytes) -> None:
    writer.write(start)
    while True:
        writer.write(PIECE)
        await writer.drain()


async def _async_endless_body(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a body with neither a length nor an end."""
    await _async_send_endless(writer, unframed_head(request))


async def _async_endless_head(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send a header without end."""
    await _async_send_endless(writer, b"HTTP/1.1 200 OK\r\nx: ")


async def _async_large(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send a body in two parts, and wait between them."""
    response = encode_response(request, BODY)
    writer.write(response[:-8])
    await asyncio.sleep(0.5)
    writer.write(response[-8:])


@pytest.mark.parametrize("script", [_async_endless_body, _async_endless_head])
async def test_answers_without_end_leave_those_of_sound_servers(script: Script) -> None:
    """Guards against a node that runs out of memory and loses other requests."""
    endless = ScriptedServer("endless", script)
    sound = ScriptedServer("sound", _async_large)
    unsafe = route(idempotent=False, attempts=1, timeout_s=5.0)
    async with async_gateway((unsafe,), plain=(endless, sound)) as gateway:
        memory = gateway.state.memory = HeldBytes(LIMIT_BYTES)
        in_trouble = gateway.servers.pop("endless")
        good = [asyncio.create_task(gateway.async_request()) for _ in range(3)]
        await async_until(lambda: len(sound.requests) == 3)
        gateway.servers["endless"] = in_trouble
        del gateway.servers["sound"]
        bad = [asyncio.create_task(gateway.async_request()) for _ in range(CALLERS)]
        most_bytes = 0
        while not all(task.done() for task in good):
            most_bytes = max(most_bytes, memory.held_bytes)
            await asyncio.sleep(0.01)
        responses = [task.result() for task in good]
        for task in bad:
            task.cancel()
        await asyncio.gather(*bad, return_exceptions=True)
        assert endless.requests
        await async_until(lambda: memory.held_bytes == 0)
    assert all(response.endswith(BODY) for response in responses)
    assert most_bytes <= LIMIT_BYTES


async def test_idle_connection_keeps_no_body() -> None:
    """Guards against the memory of the last bodies of idle connections (LOST)."""

    async def async_respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(encode_response(request))

    server = ScriptedServer("p1", async_respond)
    async with async_gateway((route(),), plain=(server,)) as gateway:
        reader, writer = await asyncio.open_connection(
            gateway.address.host, gateway.address.port
        )
        head = (
            "POST /a/1 HTTP/1.1\r\nhost: example\r\nx-id: 1\r\n"
            f"authorization: Key secret\r\ncontent-length: {len(PIECE)}\r\n\r\n"
        )
        writer.write(head.encode() + PIECE)
        await reader.readuntil(b"done")
        (conn,) = gateway.callers.connections
        assert conn.received_bytes == 0
        writer.close()
