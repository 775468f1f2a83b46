"""Ejection of a group that is much slower than the others."""

import asyncio
import itertools

import pytest

from standins.cluster import async_wait_for

from .common import (
    CallerStream,
    RunningSystem,
    Stopwatch,
    async_chat,
    async_leaders,
    async_set_speed,
)

pytestmark = pytest.mark.asyncio(loop_scope="package")

SLOW_FACTOR = 10
CALLERS = 6
TOKENS = 10
# Without ejection, the slow group gets new work when one of its requests ends, which
# takes 0.7 s.
QUIET_S = 3.0
# A group is ejected after being slow for 10 s; the rest allows for sampling.
EJECTED_LIMIT_S = 13.0 + QUIET_S
SERVED_LIMIT_S = 10.0


async def _async_started(system: RunningSystem, vm: str) -> int:
    """Return the number of requests that an engine has started."""
    records = await system.cluster.async_records(system.cluster.engine_address(vm))
    return int(records["started"])


async def _async_wait_ejected(system: RunningSystem, vm: str) -> None:
    """Wait until an engine that had work gets no more of it."""
    first = last = await _async_started(system, vm)
    stopwatch = Stopwatch()

    async def async_is_quiet() -> bool:
        nonlocal last, stopwatch
        started = await _async_started(system, vm)
        if started != last:
            last, stopwatch = started, Stopwatch()
        return last > first and stopwatch.elapsed_s > QUIET_S

    await async_wait_for(async_is_quiet, EJECTED_LIMIT_S, f"{vm} gets no new work")


async def test_a_straggler_loses_new_work_and_the_others_keep_theirs(
    system: RunningSystem,
) -> None:
    """Guards against a slow group that delays callers and against ejecting them all."""
    straggler, *others = await async_leaders(system)
    streams: list[CallerStream] = []

    async def async_call(caller: int) -> None:
        for number in itertools.count():
            prompt = f"straggler {caller} {number}"
            streams.append(await async_chat(system, system.nodes[0], prompt, TOKENS))

    await async_set_speed(system, SLOW_FACTOR, [straggler])
    callers = [asyncio.create_task(async_call(item)) for item in range(CALLERS)]
    try:
        await _async_wait_ejected(system, straggler)
        # Now all groups are slow and must keep serving.
        await async_set_speed(system, SLOW_FACTOR)
        count = len(streams)
        before = [await _async_started(system, vm) for vm in others]

        async def async_is_served() -> bool:
            return len(streams) >= count + 2 * CALLERS

        await async_wait_for(async_is_served, SERVED_LIMIT_S, "slow groups serve")
        after = [await _async_started(system, vm) for vm in others]
        assert all(new > old for old, new in zip(before, after, strict=True))
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
    assert [stream for stream in streams if not stream.is_complete] == []
