"""Requests that crash servers, and other requests in flight at the same time."""

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
    async_busy_leader,
    async_chat,
    async_set_speed,
    async_wait_recovered,
    start_chat,
)

pytestmark = pytest.mark.asyncio(loop_scope="package")

REFUSED_CODE = "request_crashes_servers"
CRASHES_TO_REFUSE = 2
# No response for 2 s, two probes and their reports.
CONFIRMATION_LIMIT_S = 5.0
# The first token takes 1.3 s, so other requests have no content yet at the crash.
SLOW_FACTOR = 60


def _crashed(system: RunningSystem) -> dict[int, str]:
    """Return the names of the ended engines by process id."""
    processes = [system.cluster.process(item.vm) for item in system.cluster.vms]
    return {item.pid: item.name for item in processes if not item.is_running}


async def _async_restart_crashed(system: RunningSystem) -> None:
    """Restart the ended engines, as the platform does with its VMs."""
    for vm in _crashed(system).values():
        system.cluster.process(vm).start()
    await async_wait_recovered(system)


async def _async_timeline(
    system: RunningSystem, node: NodeLayout, after: int
) -> list[dict[str, Any]]:
    """Return the events of an entry program after a sequence number."""
    events: list[dict[str, Any]] = []
    while True:
        url = f"{node.ops_address('entry')}/timeline?after={after}"
        _, page = await system.cluster.async_get(url)
        events += page["entries"]
        if not page["more"]:
            return events
        after = events[-1]["seq"]


async def _async_wait_suspected(
    system: RunningSystem, node: NodeLayout, vm: str, after: int
) -> None:
    """Wait until a node has recorded the crash of a server for a request."""

    async def async_is_suspected() -> bool:
        return any(
            event["kind"] == "request_suspected" and event["fields"]["vm"] == vm
            for event in await _async_timeline(system, node, after)
        )

    limit_s = CONFIRMATION_LIMIT_S
    await async_wait_for(async_is_suspected, limit_s, f"crash of {vm} confirmed")


async def _async_assert_refused(system: RunningSystem, prompt: str) -> None:
    """Check that every node refuses a request."""
    for node in system.nodes:
        stream = await async_chat(system, node, prompt)
        assert (stream.status, stream.error.get("code")) == (422, REFUSED_CODE), stream
        assert stream.error["ran"] == "unknown"


@asynccontextmanager
async def _async_send_harmless_requests(
    system: RunningSystem,
) -> AsyncIterator[list[CallerStream]]:
    """Send harmless requests continuously and yield the list of their responses."""
    responses: list[CallerStream] = []

    async def async_send(offset: int) -> None:
        for number in itertools.count():
            node = system.nodes[(number + offset) % len(system.nodes)]
            prompt = f"harmless {offset} {number}"
            responses.append(await async_chat(system, node, prompt, 5))

    senders = [asyncio.create_task(async_send(item)) for item in range(2)]
    try:
        yield responses
    finally:
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)


async def test_a_request_that_crashes_servers_is_refused_everywhere(
    system: RunningSystem,
) -> None:
    """Guards against a request that crashes another group on each resend."""
    prompt = f"{CRASH_MARKER} again and again"
    crashes: dict[int, str] = {}
    async with _async_send_harmless_requests(system) as harmless_streams:
        for node in (*system.nodes, *system.nodes):
            stream = await async_chat(system, node, prompt)
            assert not stream.is_complete
            crashes |= _crashed(system)
            # Restarted servers would crash again if the request reached them.
            await _async_restart_crashed(system)
        assert len(crashes) == CRASHES_TO_REFUSE, crashes
        await system.cluster.async_control(system.cluster.platform_address, down=True)
        await _async_assert_refused(system, prompt)
    assert _crashed(system) == {}
    assert [item for item in harmless_streams if item.status == 422] == []
    complete_count = sum(item.is_complete for item in harmless_streams)
    assert complete_count > len(harmless_streams) / 2, (
        complete_count,
        len(harmless_streams),
    )


async def test_a_crashed_server_that_stays_down_counts(system: RunningSystem) -> None:
    """Guards against a crash that is detected only after the server restarts."""
    prompt = f"{CRASH_MARKER} and stay down"
    for node in system.nodes[:CRASHES_TO_REFUSE]:
        before = _crashed(system)
        events = await _async_timeline(system, node, 0)
        last = events[-1]["seq"] if events else 0
        assert not (await async_chat(system, node, prompt)).is_complete
        (vm,) = set(_crashed(system).values()) - set(before.values())
        await _async_wait_suspected(system, node, vm, last)
    await _async_assert_refused(system, prompt)
    assert len(_crashed(system)) == CRASHES_TO_REFUSE


async def test_a_request_resent_at_once_crashes_two_groups_at_most(
    system: RunningSystem,
) -> None:
    """Guards against a client that resends before the crash is confirmed."""
    prompt = f"{CRASH_MARKER} at once"
    for node in (*system.nodes, *system.nodes):
        assert not (await async_chat(system, node, prompt)).is_complete
    assert len(_crashed(system)) == CRASHES_TO_REFUSE, _crashed(system)
    await _async_assert_refused(system, prompt)


async def test_harmless_requests_in_flight_at_a_crash_are_answered(
    system: RunningSystem,
) -> None:
    """Guards against refusing or losing a request because another crashed a server."""
    await async_set_speed(system, SLOW_FACTOR)
    crashing_stream = start_chat(
        system, system.nodes[0], f"{CRASH_MARKER} beside harmless requests"
    )
    leader = await async_busy_leader(system)
    prompts = [
        (node, f"beside {number}") for node in system.nodes for number in range(3)
    ]
    # They have no content yet, so other groups rerun them within the retry budget.
    harmless_streams = [start_chat(system, node, prompt, 3) for node, prompt in prompts]
    await crashing_stream.async_wait_ended()
    assert leader in _crashed(system).values()
    for stream in harmless_streams:
        assert (await stream.async_wait_ended()).is_complete, stream
    others = [item.vm for item in system.cluster.vms if item.vm != leader]
    await async_set_speed(system, 1, others)
    for node, prompt in prompts:
        assert (await async_chat(system, node, prompt, 3)).is_complete
