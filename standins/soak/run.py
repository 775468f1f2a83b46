"""Plays one seed."""

import asyncio
import random
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass
from pathlib import Path

from .callers import Callers, Kind
from .const import (
    FAULTS_S,
    MODEL_SERVICE,
    RECOVERY_LIMIT_S,
    SLOW_GROUP_S,
    START_LIMIT_S,
)
from .faults import Fault, async_inject, plan_faults
from .records import Promise, Records, Violation
from .world import World

POLL_S = 0.1
# Time for streams to begin.
FIRST_EVENTS_S = 0.15


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What a seed showed."""

    seed: int
    faults: list[Fault]
    violations: list[Violation]
    outcomes: dict[str, int]


async def async_play(
    seed: int, directory: Path, faults_s: float = FAULTS_S
) -> SoakResult:
    """Play the faults of a seed and check the promises.

    Raises TimeoutError if the system does not serve before the first fault.
    """
    rng = random.Random(seed)
    faults = plan_faults(rng, faults_s)
    async with AsyncExitStack() as stack:
        world = World(directory, Records(), stack)
        await world.async_start()
        callers = Callers(world)
        waiting = "the system does not serve"
        if not await async_wait_serving(world, callers, START_LIMIT_S):
            raise TimeoutError(waiting)
        for watch in (world.records.async_watch_lag(), world.async_watch_processor()):
            stack.callback(asyncio.create_task(watch).cancel)
        calling = asyncio.create_task(callers.async_run())
        await async_inject(world, callers, faults)
        if not await async_wait_serving(world, callers, RECOVERY_LIMIT_S):
            text = f"not after {RECOVERY_LIMIT_S} s: {world.records.outcomes}"
            world.records.violate(Promise.RECOVERY, text)
        calling.cancel()
        with suppress(asyncio.CancelledError):
            await calling
        await async_check_slow_groups(world, callers)
        world.records.check_not_run()
        outcomes = dict(world.records.outcomes)
        return SoakResult(seed, faults, world.records.violations, outcomes)


async def async_check_slow_groups(world: World, callers: Callers) -> None:
    """Let all groups pause during streams; the streams go on afterwards."""
    calls = [
        asyncio.create_task(callers.async_call(node, kind))
        for node in world.nodes
        for kind in Kind
        if kind.is_stream
    ]
    await asyncio.sleep(FIRST_EVENTS_S)
    for server in world.live_servers(MODEL_SERVICE):
        server.slow_until_s = world.records.now_s() + SLOW_GROUP_S
    outcomes = await asyncio.gather(*calls)
    calm = world.records.is_calm("soak", for_s=SLOW_GROUP_S)
    if calm and any(outcome.startswith("cut") for outcome in outcomes):
        world.records.violate(Promise.SLOW_GROUP, f"{outcomes}")


async def async_wait_serving(world: World, callers: Callers, limit_s: float) -> bool:
    """Wait until every node serves every kind of request."""
    deadline_s = world.records.now_s() + limit_s
    missing = {(node.name, kind): node for node in world.nodes for kind in Kind}
    while missing and world.records.now_s() < deadline_s:
        for (name, kind), node in list(missing.items()):
            if not await node.async_is_ready():
                continue
            if await callers.async_call(node, kind) == "200":
                del missing[name, kind]
        await asyncio.sleep(POLL_S)
    return not missing
