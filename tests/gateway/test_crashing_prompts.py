"""Tests of prompts with a part that crashes the servers that answer them."""

import asyncio

from gooseberryhall.gateway.const import MAX_CRASHED_SERVERS
from tests.gateway.common import (
    Gateway,
    ReceivedRequest,
    ScriptedServer,
    async_gateway,
    async_until,
    chunk,
    event,
    stream_head,
    stream_route,
)

_BAD_PART = "bad"


async def _async_crash_on_bad_part(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Break off when the answer begins if the prompt has the bad part."""
    writer.write(stream_head(request, "s1"))
    await writer.drain()
    if _has_bad_part(request):
        writer.transport.abort()
        return
    writer.write(chunk(event(1)) + chunk(b""))


def _has_bad_part(request: ReceivedRequest) -> bool:
    return f"{_BAD_PART}:" in request.headers["x-prompt"]


def _create_leaders(count: int) -> tuple[ScriptedServer, ...]:
    return tuple(
        ScriptedServer(f"h{number}", _async_crash_on_bad_part)
        for number in range(count)
    )


def _count_crashes(leaders: tuple[ScriptedServer, ...]) -> int:
    return sum(_has_bad_part(req) for leader in leaders for req in leader.requests)


def _remove_crashed(gateway: Gateway, leaders: tuple[ScriptedServer, ...]) -> None:
    """Remove the groups whose leaders crashed, as their zone's owner does."""
    crashed = {
        leader.server_id
        for leader in leaders
        if any(_has_bad_part(req) for req in leader.requests)
    }
    gateway.groups[:] = [
        group for group in gateway.groups if group.leader.server_id not in crashed
    ]


async def _async_ask(gateway: Gateway, parts: str, number: int) -> bytes:
    """Send a request whose last prompt part and body are its own."""
    return await gateway.async_request(
        f"x-prompt: {parts},own{number}:50\r\n", method="POST", body=f"q{number}"
    )


async def test_requests_with_a_crashing_prompt_part_are_refused() -> None:
    """Guards against servers that crash one after the other.

    No two of the requests are alike, but all have one prompt part that crashes each
    server that begins to answer.
    """
    leaders = _create_leaders(12)
    async with async_gateway((stream_route(),), leaders=leaders) as gateway:
        for number in range(12):
            last = await _async_ask(gateway, f"shared:40,{_BAD_PART}:20", number)
            _remove_crashed(gateway, leaders)
            sound = await _async_ask(gateway, "shared:40", 100 + number)
            assert sound.startswith(b"HTTP/1.1 200"), number
    assert last.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in last
    assert _count_crashes(leaders) <= MAX_CRASHED_SERVERS + 1


async def test_request_in_progress_crashes_at_most_three_servers() -> None:
    """Guards against one request that is sent on from crash to crash.

    It was checked only on arrival, so its own retries crashed all servers. It may have
    run, so the caller must not be told that it did not.
    """
    leaders = _create_leaders(8)
    async with async_gateway((stream_route(),), leaders=leaders) as gateway:
        response = await _async_ask(gateway, f"{_BAD_PART}:20", 1)
    assert _count_crashes(leaders) == MAX_CRASHED_SERVERS
    assert response.startswith(b"HTTP/1.1 502")


async def test_waiting_request_leaves_its_server_when_the_cause_is_found() -> None:
    """Guards against crashes by requests that were sent before the cause was known.

    They wait at servers, which crash when they begin to answer them. The answer of a
    sound request that waits there, too, is not disturbed.
    """
    release = asyncio.Event()

    async def _async_wait(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        await _async_crash_on_bad_part(request, writer)

    slow = ScriptedServer("slow", _async_wait)
    async with async_gateway(
        (stream_route(timeout_s=5.0),), leaders=(slow,)
    ) as gateway:
        crashes = gateway.state.crashes
        gateway.state.on_crash = lambda: gateway.state.backends.abort_crashing(
            crashes.is_blocked
        )
        waiting = asyncio.create_task(_async_ask(gateway, f"{_BAD_PART}:20", 1))
        sound = asyncio.create_task(_async_ask(gateway, "shared:40", 2))
        await async_until(lambda: len(slow.requests) == 2)
        for number in range(MAX_CRASHED_SERVERS):
            crashes.record_crash(f"q{number}", f"s{number}", 0.0, (_BAD_PART,))
        gateway.state.on_crash()
        response = await asyncio.wait_for(waiting, 1)
        release.set()
        sound_response = await sound
    assert response.startswith(b"HTTP/1.1 502")
    assert sound_response.startswith(b"HTTP/1.1 200")
