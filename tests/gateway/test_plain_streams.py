"""Tests of event streams from servers of a plain service."""

import asyncio

import pytest

from gooseberryhall.fleet.models import Route, Target
from tests.gateway.common import (
    ReceivedRequest,
    ScriptedServer,
    async_gateway,
    chunk,
    event,
    event_ids,
    stream_head,
    stream_route,
    unframed_head,
)

_LAST = 5
_LAST_CHUNK = b"0\r\n\r\n"


def _plain_stream_route(**changes: object) -> Route:
    return stream_route(**{"targets": (Target("plain", 1.0),), **changes})


async def _async_whole(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send the events after the last one that the caller has; close the connection."""
    writer.write(unframed_head(request))
    first = int(request.headers.get("last-event-id", 0)) + 1
    for number in range(first, _LAST + 1):
        writer.write(event(number))
    await writer.drain()
    writer.close()


async def _async_break_unframed(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection within the third event."""
    writer.write(unframed_head(request))
    writer.write(event(1) + event(2) + event(3)[:9])
    await writer.drain()
    writer.close()


async def _async_break_chunked(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """End the body within the third event, with a final chunk."""
    writer.write(stream_head(request, "s"))
    writer.write(chunk(event(1) + event(2) + event(3)[:9]) + chunk(b""))


@pytest.mark.parametrize("script", [_async_break_unframed, _async_break_chunked])
async def test_stream_that_ends_within_an_event_does_not_look_complete(
    script: object,
) -> None:
    """Guards against a truncated stream of a plain server that is told as success."""
    server = ScriptedServer("s1", script)  # type: ignore[arg-type]
    once = _plain_stream_route(resumable=False, idempotent=False, attempts=1)
    async with async_gateway((once,), (server,)) as gateway:
        response = await gateway.async_request(method="POST", body="x")
    assert b"content-length" not in response.lower()
    assert not response.endswith(_LAST_CHUNK)
    assert len(server.requests) == 1


async def test_broken_stream_is_resumed_at_another_plain_server() -> None:
    """Guards against lost or repeated events when a plain server breaks off."""
    servers = (
        ScriptedServer("s1", _async_break_unframed),
        ScriptedServer("s2", _async_whole),
    )
    async with async_gateway((_plain_stream_route(),), servers) as gateway:
        gateway.prefer("s1")
        response = await gateway.async_request(method="POST", body="x")
    assert event_ids(response) == [1, 2, 3, 4, 5]
    assert servers[1].requests[0].headers["last-event-id"] == "2"
    assert response.endswith(_LAST_CHUNK)


async def test_stream_that_ends_with_its_connection_is_complete() -> None:
    """Guards against cutting a sound stream that has neither a length nor chunks."""
    server = ScriptedServer("s1", _async_whole)
    async with async_gateway((_plain_stream_route(),), (server,)) as gateway:
        response = await gateway.async_request(method="POST", body="x")
    assert event_ids(response) == [1, 2, 3, 4, 5]
    assert response.endswith(_LAST_CHUNK)


async def test_events_of_a_plain_server_are_relayed_as_they_arrive() -> None:
    """Guards against a stream that is held back until it has ended."""
    released = asyncio.Event()

    async def async_pause(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(request, "s") + chunk(event(1)))
        await released.wait()
        writer.write(chunk(event(2)) + chunk(b""))

    server = ScriptedServer("s1", async_pause)
    async with async_gateway((_plain_stream_route(),), (server,)) as gateway:
        reader, writer = await asyncio.open_connection(
            gateway.address.host, gateway.address.port
        )
        writer.write(
            b"GET /a/1 HTTP/1.1\r\nhost: example\r\nx-id: 17\r\n"
            b"authorization: Key secret\r\nconnection: close\r\n\r\n"
        )
        first = await asyncio.wait_for(reader.readuntil(event(1)), 1)
        released.set()
        rest = await reader.read()
        writer.close()
    assert first.endswith(event(1))
    assert event_ids(rest) == [2]


async def test_silent_plain_server_leaves_time_for_another() -> None:
    """Guards against a resumable stream that waits at a server until its deadline."""

    async def async_silent(_: ReceivedRequest, __: asyncio.StreamWriter) -> None:
        await asyncio.sleep(5)

    servers = (ScriptedServer("s1", async_silent), ScriptedServer("s2", _async_whole))
    async with async_gateway((_plain_stream_route(),), servers) as gateway:
        gateway.prefer("s1")
        response = await gateway.async_request(method="POST", body="x")
    assert event_ids(response) == [1, 2, 3, 4, 5]
