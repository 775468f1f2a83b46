"""Tests of admission with scripted servers."""

import asyncio

import pytest

from tests.gateway.common import (
    ReceivedRequest,
    ScriptedServer,
    async_gateway,
    chunk,
    encode_response,
    event,
    route,
    stream_head,
    stream_route,
)


async def _async_ok(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(request))


async def _async_stream(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(stream_head(request) + chunk(event(1)) + chunk(b""))


@pytest.mark.parametrize(
    ("extra", "expected"),
    [
        ("x-deadline: 1000\r\n", "2"),
        ("x-deadline: 700\r\n", "6"),
        ("x-deadline: 700\r\nx-priority: 0\r\n", "6"),
    ],
)
async def test_late_request_is_sent_with_a_less_urgent_priority(
    extra: str, expected: str
) -> None:
    """Guards against late requests that a server starts before others.

    After the loss of all nodes, callers come back when their objective has passed.
    """
    server = ScriptedServer("s1", _async_ok)
    async with async_gateway((route(),), (server,)) as gateway:
        await gateway.async_request("x-deadline: 1000\r\n")
        await gateway.async_request(extra)
    assert server.requests[-1].headers["x-priority"] == expected


async def test_resumed_stream_is_not_late() -> None:
    """Guards against a broken stream that waits behind requests without events."""

    async def async_break(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(request) + chunk(event(1)))
        await writer.drain()
        await asyncio.sleep(0.25)
        writer.transport.abort()

    async def async_go_on(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(request) + chunk(event(2)) + chunk(b""))

    leaders = (ScriptedServer("a", async_break), ScriptedServer("b", async_go_on))
    async with async_gateway((stream_route(),), (), leaders) as gateway:
        gateway.prefer("a")
        response = await gateway.async_request()
    assert response.endswith(b"0\r\n\r\n")
    assert leaders[1].requests[0].headers["x-priority"] == "2"
