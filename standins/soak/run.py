"""Run the soak with one seed."""

import asyncio
import random
from collections import Counter
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass
from pathlib import Path

from .callers import Callers, RequestKind
from .const import (
    CRASHING_PART,
    CRASHING_REQUEST_PERIOD_S,
    CRASHING_REQUESTS,
    EARLIER_PARTS,
    FAULTS_S,
    GRACE_PERIOD_S,
    GROUP_SIZE,
    LAPSE_S,
    MAX_PROMPT_CRASHES,
    MIN_SOUND_SHARE,
    MODEL_SERVICE,
    RECOVERY_LIMIT_S,
    SERVER_PAUSE_S,
    SHARED_PART,
    SLOW_GROUP_S,
    STALL_S,
    START_LIMIT_S,
    STOP_INTERVAL_S,
    STOPPED_NODES,
    ZONES,
)
from .environment import Environment
from .faults import Fault, all_parts, async_inject, async_stop_node, plan_faults
from .records import Promise, Records, Violation

POLL_S = 0.1
# Time in which streams begin.
FIRST_EVENTS_S = 0.15


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Injected faults, violations and counted outcomes of one seed."""

    seed: int
    faults: list[Fault]
    violations: list[Violation]
    outcomes: dict[str, int]


async def async_run_seed(
    seed: int, directory: Path, faults_s: float = FAULTS_S
) -> SoakResult:
    """Inject the faults of a seed and check the promises.

    Raises TimeoutError if the system does not serve before the first fault.
    """
    rng = random.Random(seed)
    faults = plan_faults(rng, faults_s)
    async with AsyncExitStack() as stack:
        env = Environment(directory, Records(), stack)
        await env.async_start()
        callers = Callers(env)
        stack.callback(callers.close)
        message = "the system does not serve"
        if not await async_wait_serving(env, callers, START_LIMIT_S):
            raise TimeoutError(message)
        for watch_coro in (env.records.async_watch_lag(), env.async_watch_processor()):
            stack.callback(asyncio.create_task(watch_coro).cancel)
        callers_task = asyncio.create_task(callers.async_run())
        await async_inject(env, callers, faults)
        if not await async_wait_serving(env, callers, RECOVERY_LIMIT_S):
            text = f"not after {RECOVERY_LIMIT_S} s: {env.records.outcomes}"
            env.records.record_violation(Promise.RECOVERY, text)
        callers_task.cancel()
        with suppress(asyncio.CancelledError):
            await callers_task
        await async_check_slow_groups(env, callers)
        await async_check_lapses(env, callers)
        await async_check_stops(env, callers)
        await async_check_crashing_prompts(env, callers)
        env.records.check_not_run()
        outcomes = dict(env.records.outcomes)
        return SoakResult(seed, faults, env.records.violations, outcomes)


async def async_check_slow_groups(env: Environment, callers: Callers) -> None:
    """Pause all groups during streams and check that the streams are not cut."""
    calls = [
        asyncio.create_task(callers.async_call(node, kind))
        for node in env.nodes
        for kind in RequestKind
        if kind.is_stream
    ]
    await asyncio.sleep(FIRST_EVENTS_S)
    for server in env.live_servers(MODEL_SERVICE):
        server.slow_until_s = env.records.now_s() + SLOW_GROUP_S
    outcomes = await asyncio.gather(*calls)
    undisturbed = env.records.is_undisturbed("soak", for_s=SLOW_GROUP_S)
    if undisturbed and any(outcome.startswith("cut") for outcome in outcomes):
        env.records.record_violation(Promise.SLOW_GROUP, f"{outcomes}")


async def async_check_lapses(env: Environment, callers: Callers) -> None:
    """Let the records of members lapse during streams; nothing may be cut by it."""
    # Groups that earlier faults broke are gone then.
    await asyncio.sleep(STALL_S)
    before = _count_cut(env)
    load = asyncio.create_task(callers.async_run())
    for server in env.live_servers(MODEL_SERVICE)[::GROUP_SIZE]:
        server.lapsed_until_s = env.records.now_s() + LAPSE_S
    await asyncio.sleep(LAPSE_S + 1.0)
    load.cancel()
    await asyncio.wait({load})
    undisturbed = env.records.is_undisturbed(*all_parts(env), for_s=LAPSE_S + STALL_S)
    if undisturbed and (cut := _count_cut(env) - before):
        env.records.record_violation(Promise.LAPSE, f"{cut} answers cut")


async def async_check_stops(env: Environment, callers: Callers) -> None:
    """Stop two nodes so that the stops overlap, while all servers pause now and then.

    A pause of the VM on which everything runs silences all servers at the same time.
    """
    before = _count_cut(env)
    pauses = asyncio.create_task(_async_pause_servers(env))
    load = asyncio.create_task(callers.async_run())
    try:
        async with asyncio.TaskGroup() as tasks:
            for node in env.nodes[:STOPPED_NODES]:
                tasks.create_task(async_stop_node(env, callers, node, []))
                await asyncio.sleep(STOP_INTERVAL_S)
    finally:
        pauses.cancel()
        load.cancel()
        await asyncio.wait({load})
    undisturbed = env.records.is_undisturbed("soak", for_s=GRACE_PERIOD_S)
    if undisturbed and (cut := _count_cut(env) - before):
        text = f"{cut} answers cut beside pauses of all servers"
        env.records.record_violation(Promise.SLOW_GROUP, text)
    if not await async_wait_serving(env, callers, RECOVERY_LIMIT_S):
        text = f"not {RECOVERY_LIMIT_S} s after the stops"
        env.records.record_violation(Promise.RECOVERY, text)


async def _async_pause_servers(env: Environment) -> None:
    while True:
        for server in env.servers.values():
            server.paused_until_s = env.records.now_s() + SERVER_PAUSE_S
        await asyncio.sleep(2 * SERVER_PAUSE_S)


def _count_cut(env: Environment) -> int:
    counts = env.records.outcomes.items()
    return sum(count for outcome, count in counts if " cut:" in outcome)


async def async_check_crashing_prompts(env: Environment, callers: Callers) -> None:
    """Send requests that crash servers, and sound ones beside them, to all nodes."""
    bad: list[asyncio.Task[str]] = []
    sound: list[asyncio.Task[str]] = []
    for number in range(CRASHING_REQUESTS):
        crashes = env.records.prompt_crashes
        node = env.nodes[number % len(env.nodes)]
        call = callers.async_call(
            node, RequestKind.CHAT, parts=(SHARED_PART, *EARLIER_PARTS, CRASHING_PART)
        )
        bad.append(asyncio.create_task(call))
        sound.extend(
            asyncio.create_task(callers.async_call(node, RequestKind.CHAT))
            for node in env.nodes
        )
        await asyncio.sleep(CRASHING_REQUEST_PERIOD_S)
        for _ in range(env.records.prompt_crashes - crashes):
            await env.async_add_server(MODEL_SERVICE, random.choice(ZONES))
    await asyncio.gather(*bad)
    outcomes = Counter(await asyncio.gather(*sound))
    crashes = env.records.prompt_crashes
    if crashes > MAX_PROMPT_CRASHES:
        env.records.record_violation(Promise.PROMPT_CRASHES, f"{crashes} crashes")
    undisturbed = env.records.is_undisturbed("soak")
    if undisturbed and outcomes["200"] < MIN_SOUND_SHARE * outcomes.total():
        env.records.record_violation(Promise.SOUND_PROMPTS, f"{outcomes}")


async def async_wait_serving(
    env: Environment, callers: Callers, limit_s: float
) -> bool:
    """Wait until every node serves every kind of request."""
    deadline_s = env.records.now_s() + limit_s
    missing = {(node.name, kind): node for node in env.nodes for kind in RequestKind}
    while missing and env.records.now_s() < deadline_s:
        for (name, kind), node in list(missing.items()):
            if not await node.async_is_ready():
                continue
            if await callers.async_call(node, kind) == "200":
                del missing[name, kind]
        await asyncio.sleep(POLL_S)
    return not missing
