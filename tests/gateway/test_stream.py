"""Tests of event streams from groups that fail, stall or are full."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from gooseberryhall.fleet.models import ServedGroup
from gooseberryhall.gateway.const import GROUP_STALL_TIMEOUT_S
from tests.gateway.common import (
    Gateway,
    ReceivedRequest,
    ScriptedServer,
    async_gateway,
    async_until,
    chunk,
    encode_response,
    event,
    event_ids,
    stream_head,
    stream_route,
)

_LAST = 5


async def _async_whole(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send all events after the last one that the caller received."""
    first = int(request.headers.get("last-event-id", 0)) + 1
    writer.write(stream_head(request, "whole"))
    for number in range(first, _LAST + 1):
        writer.write(chunk(event(number)))
    writer.write(chunk(b""))


async def _async_break(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Abort the connection within the third event."""
    writer.write(stream_head(request, "broken"))
    writer.write(chunk(event(1)) + chunk(event(2)) + chunk(event(3)[:9]))
    await writer.drain()
    writer.transport.abort()


async def _async_stalled(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send one event and stall, like a leader that lost a member."""
    writer.write(stream_head(request, "silent"))
    writer.write(chunk(event(1)))
    await asyncio.sleep(10)


async def _async_slow(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Pause between two events for longer than the stall timeout."""
    writer.write(stream_head(request, "slow"))
    writer.write(chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(2 * GROUP_STALL_TIMEOUT_S)
    for number in range(2, _LAST + 1):
        writer.write(chunk(event(number)))
    writer.write(chunk(b""))


async def _async_full(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(request, status=503, extra="x-not-run: 1\r\n"))


async def test_complete_stream_is_relayed() -> None:
    """Guards against losing events or the server's signature."""
    leader = ScriptedServer("h1", _async_whole)
    async with async_gateway((stream_route(),), leaders=(leader,)) as gateway:
        response = await gateway.async_request("x-model: large\r\n")
    assert event_ids(response) == [1, 2, 3, 4, 5]
    assert b"x-signature: whole" in response
    assert response.endswith(b"0\r\n\r\n")


async def test_broken_stream_is_resumed_at_another_group() -> None:
    """Guards against lost or repeated events when a leader crashes within an event."""
    leaders = (ScriptedServer("h1", _async_break), ScriptedServer("h2", _async_whole))
    async with async_gateway((stream_route(),), leaders=leaders) as gateway:
        gateway.prefer("h1")
        response = await gateway.async_request("x-model: large\r\n")
    assert event_ids(response) == [1, 2, 3, 4, 5]
    assert b"x-signature: broken" in response
    assert leaders[1].requests[0].headers["last-event-id"] == "2"
    assert response.endswith(b"0\r\n\r\n")


async def test_broken_stream_that_may_not_be_resumed_is_aborted() -> None:
    """Guards against an incomplete stream that appears complete or is run twice."""
    leaders = (ScriptedServer("h1", _async_break), ScriptedServer("h2", _async_whole))
    once = stream_route(resumable=False, idempotent=False, attempts=1)
    async with async_gateway((once,), leaders=leaders) as gateway:
        gateway.prefer("h1")
        response = await gateway.async_request("x-model: large\r\n")
    assert not response.endswith(b"0\r\n\r\n")
    assert leaders[1].requests == []


async def test_stream_that_may_have_run_is_not_refused() -> None:
    """Guards against a 503, which says that a request has not run, after it was sent.

    The only group breaks off before its first event.
    """

    async def async_break(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(request))
        await writer.drain()
        writer.transport.abort()

    leader = ScriptedServer("h1", async_break)
    async with async_gateway((stream_route(),), leaders=(leader,)) as gateway:
        response = await gateway.async_request("x-model: large\r\n")
    assert len(leader.requests) == 1
    assert response.startswith(b"HTTP/1.1 502")


@asynccontextmanager
async def _stall_checks(gateway: Gateway) -> AsyncIterator[None]:
    """Check for stalled groups as the node program does."""
    loop = asyncio.get_running_loop()

    async def async_check() -> None:
        while True:
            gateway.state.backends.check_stalls(set(gateway.servers), loop.time())
            await asyncio.sleep(0.02)

    checks = asyncio.create_task(async_check())
    try:
        yield
    finally:
        checks.cancel()


async def test_streams_of_a_stalled_group_fail_over_immediately() -> None:
    """Guards against streams that wait at a group that lost a member.

    They must be resumed at another group before their callers disconnect.
    """
    leaders = (ScriptedServer("h1", _async_stalled), ScriptedServer("h2", _async_whole))
    async with async_gateway(
        (stream_route(timeout_s=5.0),), leaders=leaders
    ) as gateway:
        gateway.prefer("h1")
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        async with _stall_checks(gateway):
            response = await gateway.async_request("x-model: large\r\n")
        took_s = loop.time() - started_s
        suspected = gateway.state.backends.is_suspected("h1", loop.time())
    assert event_ids(response) == [1, 2, 3, 4, 5]
    assert took_s < GROUP_STALL_TIMEOUT_S + 0.5
    assert suspected


async def test_slow_stream_that_may_not_be_retried_is_not_aborted() -> None:
    """Guards against aborting the streams of a slow group.

    This happened to routes with one attempt (LOST during a configuration change, mix of
    tks-aeration, seed 447155926863).
    """
    leaders = (ScriptedServer("h1", _async_slow), ScriptedServer("h2", _async_whole))
    for route in (
        stream_route(timeout_s=5.0, attempts=1),
        stream_route(timeout_s=5.0, resumable=False, idempotent=False, attempts=1),
    ):
        async with async_gateway((route,), leaders=leaders) as gateway:
            gateway.prefer("h1")
            async with _stall_checks(gateway):
                response = await gateway.async_request("x-model: large\r\n")
        assert b"x-signature: slow" in response
        assert event_ids(response) == [1, 2, 3, 4, 5]
        assert response.endswith(b"0\r\n\r\n")


async def test_slow_stream_without_another_group_is_not_aborted() -> None:
    """Guards against aborting a stream that finds no other group or no retry."""
    slow = ScriptedServer("h1", _async_slow)
    route = stream_route(timeout_s=5.0)
    async with (
        async_gateway((route,), leaders=(slow,)) as gateway,
        _stall_checks(gateway),
    ):
        response = await gateway.async_request("x-model: large\r\n")
    assert event_ids(response) == [1, 2, 3, 4, 5]
    assert response.endswith(b"0\r\n\r\n")


async def test_full_group_is_skipped() -> None:
    """Guards against refusing a request that a group rejected without running it."""
    leaders = (ScriptedServer("h1", _async_full), ScriptedServer("h2", _async_whole))
    once = stream_route(resumable=False, idempotent=False, attempts=1)
    async with async_gateway((once,), leaders=leaders) as gateway:
        gateway.prefer("h1")
        response = await gateway.async_request("x-model: large\r\n")
    assert event_ids(response) == [1, 2, 3, 4, 5]


async def test_request_for_a_model_without_group_is_refused_immediately() -> None:
    """Guards against holding a request that cannot be served until its deadline."""
    leader = ScriptedServer("h1", _async_whole)
    async with async_gateway((stream_route(),), leaders=(leader,)) as gateway:
        gateway.groups.clear()
        started_s = asyncio.get_running_loop().time()
        response = await gateway.async_request("x-model: large\r\n")
        waited_s = asyncio.get_running_loop().time() - started_s
    assert response.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in response
    assert waited_s < 0.2
    assert leader.requests == []


async def test_request_that_crashes_servers_is_blocked() -> None:
    """Guards against a request that crashes more than three leaders.

    Leaders are sampled at random, so one may be lost several times before.
    """
    leaders = tuple(ScriptedServer(f"h{n}", _async_break) for n in range(6))
    async with async_gateway((stream_route(attempts=1),), leaders=leaders) as gateway:
        for _ in range(40):
            response = await gateway.async_request("x-model: large\r\n")
            if response.startswith(b"HTTP/1.1 503"):
                break
    assert response.startswith(b"HTTP/1.1 503")
    assert sum(1 for leader in leaders if leader.requests) == 3


async def _async_drip(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send one event, then a byte now and then that completes no event."""
    writer.write(stream_head(request, "drip"))
    writer.write(chunk(event(1)))
    while True:
        await asyncio.sleep(0.05)
        writer.write(chunk(b"x"))


async def test_stream_that_drips_bytes_counts_as_stalled() -> None:
    """Guards against a stalled stream that never ends, as each byte seemed progress."""
    drip = ScriptedServer("drip", _async_drip)
    whole = ScriptedServer("whole", _async_whole)
    routes = (stream_route(timeout_s=5.0),)
    async with async_gateway(routes, leaders=(drip, whole)) as gateway:
        gateway.groups[:] = [gateway.groups[0]]
        request = asyncio.create_task(gateway.async_request())
        await async_until(lambda: bool(drip.requests))
        gateway.groups.append(ServedGroup("large", gateway.servers["whole"]))
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while not request.done() and loop.time() < started_s + 3:
            await asyncio.sleep(0.05)
            gateway.state.backends.check_stalls({"drip", "whole"}, loop.time())
        response = await request
    assert b"piece 5" in response
    assert response.endswith(b"0\r\n\r\n")


async def _async_endless_event(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send one event that never ends."""
    writer.write(stream_head(request, "endless"))
    while True:
        writer.write(chunk(b"x" * 65536))
        await writer.drain()


async def test_event_without_end_moves_the_stream_to_another_group() -> None:
    """Guards against memory that grows with an event until the deadline."""
    endless = ScriptedServer("endless", _async_endless_event)
    whole = ScriptedServer("whole", _async_whole)
    routes = (stream_route(timeout_s=5.0),)
    async with async_gateway(routes, leaders=(endless, whole)) as gateway:
        gateway.groups[:] = [gateway.groups[0]]
        request = asyncio.create_task(gateway.async_request())
        await async_until(lambda: bool(endless.requests))
        gateway.groups.append(ServedGroup("large", gateway.servers["whole"]))
        response = await request
    assert b"piece 5" in response
    assert response.endswith(b"0\r\n\r\n")
