"""Requests that crash servers, and innocent requests beside them."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from standins.cluster import async_wait_for
from standins.engine.chat import CRASH_MARKER
from standins.layout import NodeLayout

from .common import (
    CallerStream,
    RunningSystem,
    async_busy_lead,
    async_chat,
    async_set_speed,
    async_wait_whole,
    start_chat,
)

pytestmark = pytest.mark.asyncio(loop_scope="package")

REFUSED = "request_crashes_servers"
CRASHES_TO_REFUSE = 2
# Silence of 2 s, two probes and their reports.
CONFIRMATION_LIMIT_S = 5.0
# The first token takes 1.3 s, so that the others have no content at the crash.
SLOW_FACTOR = 60


def _crashed(bed: RunningSystem) -> dict[int, str]:
    """Return process ids and names of the engines that have ended."""
    processes = [bed.cluster.process(item.vm) for item in bed.cluster.vms]
    return {item.pid: item.name for item in processes if not item.is_running}


async def _async_restart_crashed(bed: RunningSystem) -> None:
    """Start ended engines again, as the platform does with its VMs."""
    for vm in _crashed(bed).values():
        bed.cluster.process(vm).start()
    await async_wait_whole(bed)


async def _async_timeline(
    bed: RunningSystem, node: NodeLayout, after: int
) -> list[dict[str, Any]]:
    """Return the events of an entry process after a sequence number."""
    entries: list[dict[str, Any]] = []
    while True:
        url = f"{node.ops_address('entry')}/timeline?after={after}"
        _, page = await bed.cluster.async_get(url)
        entries += page["entries"]
        if not page["more"]:
            return entries
        after = entries[-1]["seq"]


async def _async_wait_suspected(
    bed: RunningSystem, node: NodeLayout, vm: str, after: int
) -> None:
    """Wait until a node has confirmed the crash of a server."""

    async def async_is_suspected() -> bool:
        return any(
            entry["kind"] == "request_suspected" and entry["fields"]["vm"] == vm
            for entry in await _async_timeline(bed, node, after)
        )

    limit_s = CONFIRMATION_LIMIT_S
    await async_wait_for(async_is_suspected, limit_s, f"crash of {vm} confirmed")


async def _async_assert_refused(bed: RunningSystem, prompt: str) -> None:
    """Send a request through every node, each of which must refuse it."""
    for node in bed.nodes:
        stream = await async_chat(bed, node, prompt)
        assert (stream.status, stream.error.get("code")) == (422, REFUSED), stream
        assert stream.error["ran"] == "unknown"


@asynccontextmanager
async def _innocent_callers(bed: RunningSystem) -> AsyncIterator[list[CallerStream]]:
    """Send innocent requests all the time; give their responses."""
    responses: list[CallerStream] = []

    async def async_send(offset: int) -> None:
        for number in itertools.count():
            node = bed.nodes[(number + offset) % len(bed.nodes)]
            prompt = f"innocent {offset} {number}"
            responses.append(await async_chat(bed, node, prompt, 5))

    senders = [asyncio.create_task(async_send(item)) for item in range(2)]
    try:
        yield responses
    finally:
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)


async def test_a_request_that_crashes_servers_is_refused_everywhere(
    bed: RunningSystem,
) -> None:
    """Guards against a request that takes down group after group on each resend."""
    prompt = f"{CRASH_MARKER} again and again"
    crashes: dict[int, str] = {}
    async with _innocent_callers(bed) as innocents:
        for node in (*bed.nodes, *bed.nodes):
            stream = await async_chat(bed, node, prompt)
            assert not stream.is_whole
            crashes |= _crashed(bed)
            # Crashed servers come back and would crash again.
            await _async_restart_crashed(bed)
        assert len(crashes) == CRASHES_TO_REFUSE, crashes
        await bed.cluster.async_control(bed.cluster.platform_address, down=True)
        await _async_assert_refused(bed, prompt)
    assert _crashed(bed) == {}
    assert [item for item in innocents if item.status == 422] == []
    whole = sum(item.is_whole for item in innocents)
    assert whole > len(innocents) / 2, (whole, len(innocents))


async def test_a_crashed_server_that_stays_down_counts(bed: RunningSystem) -> None:
    """Guards against a crash that is seen only when the server comes back."""
    prompt = f"{CRASH_MARKER} and stay down"
    for node in bed.nodes[:CRASHES_TO_REFUSE]:
        before = _crashed(bed)
        entries = await _async_timeline(bed, node, 0)
        last = entries[-1]["seq"] if entries else 0
        assert not (await async_chat(bed, node, prompt)).is_whole
        (vm,) = set(_crashed(bed).values()) - set(before.values())
        await _async_wait_suspected(bed, node, vm, last)
    await _async_assert_refused(bed, prompt)
    assert len(_crashed(bed)) == CRASHES_TO_REFUSE


async def test_a_request_resent_at_once_takes_down_two_groups_at_most(
    bed: RunningSystem,
) -> None:
    """Guards against a client that resends faster than a crash is confirmed."""
    prompt = f"{CRASH_MARKER} at once"
    for node in (*bed.nodes, *bed.nodes):
        assert not (await async_chat(bed, node, prompt)).is_whole
    assert len(_crashed(bed)) == CRASHES_TO_REFUSE, _crashed(bed)
    await _async_assert_refused(bed, prompt)


async def test_innocent_requests_in_flight_at_a_crash_are_answered(
    bed: RunningSystem,
) -> None:
    """Guards against refusing or losing a request for the crash of another one."""
    await async_set_speed(bed, SLOW_FACTOR)
    guilty = start_chat(bed, bed.nodes[0], f"{CRASH_MARKER} beside innocent requests")
    lead = await async_busy_lead(bed)
    prompts = [(node, f"beside {number}") for node in bed.nodes for number in range(3)]
    # Without content so far they run again elsewhere, within the retry budget.
    innocents = [start_chat(bed, node, prompt, 3) for node, prompt in prompts]
    await guilty.async_wait_ended()
    assert lead in _crashed(bed).values()
    for stream in innocents:
        assert (await stream.async_wait_ended()).is_whole, stream
    others = [item.vm for item in bed.cluster.vms if item.vm != lead]
    await async_set_speed(bed, 1, others)
    for node, prompt in prompts:
        assert (await async_chat(bed, node, prompt, 3)).is_whole
