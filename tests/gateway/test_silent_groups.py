"""Tests of streams whose group is silent for a while, although it is whole."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from gooseberryhall.fleet.models import ServedGroup
from gooseberryhall.gateway.budget import RetryBudget
from gooseberryhall.gateway.const import GROUP_STALL_TIMEOUT_S
from gooseberryhall.transport.address import Address
from tests.gateway.common import (
    Gateway,
    ReceivedRequest,
    Script,
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
_CHECK_PERIOD_S = 0.02
_PAUSE_S = 2 * GROUP_STALL_TIMEOUT_S
_UNUSED_PORT = Address("127.0.0.1", 1)
_COMPLETE = list(range(1, _LAST + 1))


async def _async_slow(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Pause between two events for longer than the stall timeout."""
    writer.write(stream_head(request, "slow"))
    writer.write(chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(_PAUSE_S)
    for number in _COMPLETE[1:]:
        writer.write(chunk(event(number)))
    writer.write(chunk(b""))


async def _async_slow_start(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Pause before the first byte for longer than the stall timeout."""
    await asyncio.sleep(_PAUSE_S)
    writer.write(stream_head(request, "slow"))
    for number in _COMPLETE:
        writer.write(chunk(event(number)))
    writer.write(chunk(b""))


async def _async_go_on(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send all events after the last one that the caller received."""
    first = int(request.headers.get("last-event-id", 0)) + 1
    writer.write(stream_head(request, "other"))
    for number in _COMPLETE[first - 1 :]:
        writer.write(chunk(event(number)))
    writer.write(chunk(b""))


async def _async_full(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(request, status=503, extra="x-not-run: 1\r\n"))


async def _async_fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(request, status=500))


async def _async_break_off(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def _async_slow_break(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send one event, pause, and break off soon after the stall timeout."""
    writer.write(stream_head(request, "broken"))
    writer.write(chunk(event(1)))
    await asyncio.sleep(GROUP_STALL_TIMEOUT_S + 0.1)
    writer.transport.abort()


async def _async_late(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Go on with a stream after a pause below the stall timeout."""
    await asyncio.sleep(0.3)
    await _async_go_on(request, writer)


async def _async_break_before_head(
    _: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Break off without a byte, long after the stall timeout."""
    await asyncio.sleep(3 * GROUP_STALL_TIMEOUT_S)
    writer.transport.abort()


async def _async_hang(_: ReceivedRequest, __: asyncio.StreamWriter) -> None:
    await asyncio.sleep(60)


@asynccontextmanager
async def _async_two_groups(
    silent: ScriptedServer, *others: ScriptedServer, attempts: int = 2
) -> AsyncIterator[Gateway]:
    """Run a gateway that knows only the first group and checks for silent groups."""
    routes = (stream_route(timeout_s=5.0, attempts=attempts),)
    async with async_gateway(routes, leaders=(silent, *others)) as gateway:
        gateway.groups[:] = [gateway.groups[0]]
        loop = asyncio.get_running_loop()

        async def async_check() -> None:
            while True:
                leaders = set(gateway.servers)
                gateway.state.backends.check_stalls(leaders, loop.time())
                await asyncio.sleep(_CHECK_PERIOD_S)

        checks = asyncio.create_task(async_check())
        try:
            yield gateway
        finally:
            checks.cancel()


async def _async_send(
    gateway: Gateway, silent: ScriptedServer, count: int = 1
) -> list[asyncio.Task[bytes]]:
    """Start streams at the only group, then make the other one known."""
    callers = [asyncio.create_task(gateway.async_request()) for _ in range(count)]
    await async_until(lambda: len(silent.requests) == count)
    gateway.groups.append(ServedGroup("large", gateway.servers["other"]))
    return callers


@pytest.mark.parametrize("silent_script", [_async_slow, _async_slow_start])
@pytest.mark.parametrize("script", [_async_full, _async_break_off, _async_fail])
async def test_stream_stays_at_a_silent_group_if_another_does_not_take_it(
    script: Script, silent_script: Script
) -> None:
    """Guards against streams given up for silence and then cut (issue 35, LOST)."""
    silent = ScriptedServer("silent", silent_script)
    other = ScriptedServer("other", script)
    async with _async_two_groups(silent, other) as gateway:
        (caller,) = await _async_send(gateway, silent)
        response = await caller
    assert other.requests
    assert event_ids(response) == _COMPLETE
    assert response.endswith(b"0\r\n\r\n")


async def test_stream_stays_at_a_silent_group_if_another_is_unreachable() -> None:
    """Guards against streams given up for silence and then cut (issue 35, LOST)."""
    silent = ScriptedServer("silent", _async_slow)
    other = ScriptedServer("other", _async_go_on)
    async with _async_two_groups(silent, other) as gateway:
        unreachable = replace(gateway.servers["other"], address=_UNUSED_PORT)
        gateway.servers["other"] = unreachable
        (caller,) = await _async_send(gateway, silent)
        response = await caller
    assert event_ids(response) == _COMPLETE
    assert response.endswith(b"0\r\n\r\n")


async def test_stream_goes_on_at_the_group_that_answers_first() -> None:
    """Guards against a stream that waits for a second silent group."""
    silent = ScriptedServer("silent", _async_slow)
    other = ScriptedServer("other", _async_hang)
    async with _async_two_groups(silent, other) as gateway:
        (caller,) = await _async_send(gateway, silent)
        response = await asyncio.wait_for(caller, 3 * _PAUSE_S)
    assert event_ids(response) == _COMPLETE
    assert response.endswith(b"0\r\n\r\n")


async def test_streams_that_exceed_the_retry_budget_stay_at_a_silent_group() -> None:
    """Guards against a check of the budget that many streams pass at once."""
    silent = ScriptedServer("silent", _async_slow)
    other = ScriptedServer("other", _async_go_on)
    async with _async_two_groups(silent, other) as gateway:
        gateway.state.budgets["engine"] = RetryBudget(0.0, 2, 10)
        callers = await _async_send(gateway, silent, 8)
        responses = await asyncio.gather(*callers)
    assert [event_ids(response) for response in responses] == [_COMPLETE] * 8
    assert all(response.endswith(b"0\r\n\r\n") for response in responses)
    assert len(other.requests) == 2


async def test_stream_goes_on_if_the_silent_group_breaks_off() -> None:
    """Guards against a stream that is lost with its group while another is asked."""
    silent = ScriptedServer("silent", _async_slow_break)
    other = ScriptedServer("other", _async_late)
    async with _async_two_groups(silent, other) as gateway:
        (caller,) = await _async_send(gateway, silent)
        response = await caller
    assert event_ids(response) == _COMPLETE
    assert response.endswith(b"0\r\n\r\n")
    assert len(other.requests) == 1


async def test_both_groups_are_released_when_the_caller_leaves() -> None:
    """Guards against servers that go on with a stream whose caller has left (GONE)."""
    silent = ScriptedServer("silent", _async_hang)
    other = ScriptedServer("other", _async_hang)
    async with _async_two_groups(silent, other) as gateway:
        (caller,) = await _async_send(gateway, silent)
        await async_until(lambda: bool(other.requests))
        caller.cancel()
        await async_until(lambda: not gateway.state.backends.local_load())
        await async_until(lambda: not gateway.callers.connections)


async def _async_drip(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send one event, then bytes that complete no event."""
    writer.write(stream_head(request, "drip"))
    writer.write(chunk(event(1)))
    while True:
        await asyncio.sleep(0.05)
        writer.write(chunk(b"x"))


async def test_group_that_drips_bytes_does_not_keep_the_stream() -> None:
    """Guards against a stalled stream that never ends, as each byte seemed progress."""
    silent = ScriptedServer("silent", _async_drip)
    other = ScriptedServer("other", _async_late)
    async with _async_two_groups(silent, other) as gateway:
        (caller,) = await _async_send(gateway, silent)
        response = await asyncio.wait_for(caller, 3 * _PAUSE_S)
    assert event_ids(response) == _COMPLETE
    assert response.endswith(b"0\r\n\r\n")


async def _async_all_but_the_end(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send all events and stall before the end of the response."""
    writer.write(stream_head(request, "silent"))
    for number in _COMPLETE:
        writer.write(chunk(event(number)))
    await asyncio.sleep(60)


async def test_stream_that_lacks_only_its_end_is_completed() -> None:
    """Guards against taking an empty rest of a stream for a failure."""
    silent = ScriptedServer("silent", _async_all_but_the_end)
    other = ScriptedServer("other", _async_go_on)
    async with _async_two_groups(silent, other) as gateway:
        (caller,) = await _async_send(gateway, silent)
        response = await asyncio.wait_for(caller, 3 * _PAUSE_S)
    assert event_ids(response) == _COMPLETE
    assert response.endswith(b"0\r\n\r\n")


async def _async_break_later(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send two events and break off."""
    writer.write(stream_head(request, "broken") + chunk(event(1)) + chunk(event(2)))
    await asyncio.sleep(0.1)
    writer.transport.abort()


async def test_resumed_stream_moves_on_from_a_silent_group() -> None:
    """Guards against a third group that is asked for events that were relayed."""
    broken = ScriptedServer("broken", _async_break_later)
    silent = ScriptedServer("silent", _async_hang)
    other = ScriptedServer("other", _async_go_on)
    async with _async_two_groups(broken, silent, other, attempts=3) as gateway:
        caller = asyncio.create_task(gateway.async_request())
        await async_until(lambda: bool(broken.requests))
        gateway.groups.append(ServedGroup("large", gateway.servers["silent"]))
        await async_until(lambda: bool(silent.requests))
        gateway.groups.append(ServedGroup("large", gateway.servers["other"]))
        response = await asyncio.wait_for(caller, 3 * _PAUSE_S)
    assert other.requests[0].headers["last-event-id"] == "2"
    assert event_ids(response) == _COMPLETE
    assert response.endswith(b"0\r\n\r\n")


async def test_request_runs_on_no_third_server_after_two_silent_ones() -> None:
    """Guards against more servers than the route's attempts around a silent group.

    The silent group breaks off after another one, which was silent, too, was asked.
    """
    silent = ScriptedServer("s1", _async_break_before_head)
    second, third = (
        ScriptedServer("s2", _async_hang),
        ScriptedServer("s3", _async_go_on),
    )
    async with _async_two_groups(silent, second, third) as gateway:
        request = asyncio.create_task(gateway.async_request())
        await async_until(lambda: bool(silent.requests))
        gateway.groups.append(ServedGroup("large", gateway.servers["s2"]))
        await async_until(lambda: bool(second.requests))
        gateway.groups.append(ServedGroup("large", gateway.servers["s3"]))
        response = await request
    assert third.requests == []
    assert response.startswith(b"HTTP/1.1 502")
