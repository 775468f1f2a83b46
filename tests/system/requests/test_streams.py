"""Complete responses despite failing engines and connections (P3)."""

import asyncio

import pytest

from standins.cluster import async_wait_for

from .common import (
    CHUNK_LIMIT_S,
    FIRST_TOKEN_LIMIT_S,
    RunningSystem,
    async_busy_leader,
    async_chat,
    async_engine_total,
    async_set_speed,
    start_chat,
)

pytestmark = pytest.mark.asyncio(loop_scope="package")

# With this factor, the first token takes 0.4 s and each later one 0.1 s.
SLOW_FACTOR = 20
LONG_TOKENS = 600
RESUMES = 2
CALLERS_PER_NODE = 8
DELAYS_S = (0.3, 0.0, 0.1)
CANCEL_LIMIT_S = 2.0


async def test_a_leader_killed_before_the_first_content_is_replaced(
    system: RunningSystem,
) -> None:
    """Guards against failing a request before its caller has received content."""
    await async_set_speed(system, SLOW_FACTOR)
    stream = start_chat(system, system.nodes[0], "killed before the first content")
    leader = await async_busy_leader(system)
    assert not stream.started.is_set()
    system.cluster.kill(leader)
    await stream.async_wait_ended()
    assert stream.is_complete, stream


async def test_a_leader_killed_in_mid_stream_is_a_visible_error(
    system: RunningSystem,
) -> None:
    """Guards against a cut response that looks complete or mixes two texts."""
    stream = start_chat(system, system.nodes[1], "killed in mid-stream", LONG_TOKENS)
    await stream.async_wait_started()
    system.cluster.kill(await async_busy_leader(system))
    await stream.async_wait_ended()
    assert stream.is_visibly_incomplete, stream
    assert stream.error["ran"] == "unknown"
    assert stream.error["code"]


async def test_a_stalled_stream_connection_is_resumed(system: RunningSystem) -> None:
    """Guards against lost or repeated chunks when a connection stalls for good."""
    started = await async_engine_total(system, "started")
    stream = start_chat(system, system.nodes[2], "silent connection", LONG_TOKENS)
    await stream.async_wait_started()
    leader = await async_busy_leader(system)
    assert system.cluster.engine_proxies[leader].stall_open_connections() > 0
    await stream.async_wait_ended()
    assert stream.is_complete, stream
    assert await async_engine_total(system, "started") == started + 1


async def test_a_short_pause_of_the_engine_ends_in_a_complete_response(
    system: RunningSystem,
) -> None:
    """Guards against failing a stream for a pause that a resume can bridge."""
    stream = start_chat(system, system.nodes[0], "short pause", LONG_TOKENS)
    await stream.async_wait_started()
    address = system.cluster.engine_address(await async_busy_leader(system))
    await system.cluster.async_control(address, pause_s=1.5 * CHUNK_LIMIT_S)
    await stream.async_wait_ended()
    assert stream.is_complete, stream


async def test_an_engine_paused_in_mid_stream_is_a_visible_error(
    system: RunningSystem,
) -> None:
    """Guards against callers that wait forever for a paused engine."""
    stream = start_chat(system, system.nodes[1], "long pause", LONG_TOKENS)
    await stream.async_wait_started()
    system.cluster.pause(await async_busy_leader(system))
    async with asyncio.timeout((RESUMES + 2) * CHUNK_LIMIT_S + 1.0):
        await stream.async_wait_ended()
    assert stream.is_visibly_incomplete, stream


async def test_an_engine_paused_before_the_first_content_is_replaced(
    system: RunningSystem,
) -> None:
    """Guards against failing a request that another group can still serve."""
    await async_set_speed(system, SLOW_FACTOR)
    stream = start_chat(system, system.nodes[2], "paused before the first content")
    system.cluster.pause(await async_busy_leader(system))
    assert not stream.started.is_set()
    async with asyncio.timeout((RESUMES + 2) * FIRST_TOKEN_LIMIT_S + 4.0):
        await stream.async_wait_ended()
    assert stream.is_complete, stream


async def test_concurrent_callers_get_their_own_response(system: RunningSystem) -> None:
    """Guards against mixed-up responses when data arrives late and out of order."""
    proxies = list(system.cluster.engine_proxies.values())
    streams = [
        start_chat(system, node, f"caller {number}", 60)
        for node in system.nodes
        for number in range(CALLERS_PER_NODE)
    ]
    for delay_s in DELAYS_S:
        for index, proxy in enumerate(proxies):
            proxy.delay_s = delay_s * (index % 3)
        await asyncio.sleep(0.1)
    for stream in streams:
        await stream.async_wait_ended()
    broken = [
        (stream.status, stream.error, stream.broken, len(stream.texts))
        for stream in streams
        if not stream.is_complete
    ]
    assert broken == []


async def test_a_client_that_disconnects_cancels_the_engine(
    system: RunningSystem,
) -> None:
    """Guards against engines that keep working for callers that disconnected."""
    cancelled = await async_engine_total(system, "cancelled")
    stream = start_chat(system, system.nodes[0], "caller leaves", LONG_TOKENS)
    await stream.async_wait_started()
    assert stream.task is not None
    stream.task.cancel()

    async def async_is_cancelled() -> bool:
        return await async_engine_total(system, "cancelled") > cancelled

    await async_wait_for(async_is_cancelled, CANCEL_LIMIT_S, "the engine's cancel")
    assert (await async_chat(system, system.nodes[0], "the next caller")).is_complete
