"""Non-idempotent commands while servers and entry processes fail (P4, P5)."""

import asyncio

import pytest

from standins.cluster import async_wait_for

from .common import (
    RunningSystem,
    Stopwatch,
    async_claim_state,
    async_inject_service_fault,
    async_read_fan,
    async_run_count,
    async_send_command,
    async_wait_claim,
)

pytestmark = pytest.mark.asyncio(loop_scope="package")

COPIES_PER_NODE = 4
SERVICE_DELAY_MS = 700
SHORT_DEADLINE_MS = 600
RUN_LIMIT_S = 5.0


async def _async_wait_run(system: RunningSystem, key: str) -> None:
    async def async_has_run() -> bool:
        return await async_run_count(system, key) > 0

    await async_wait_for(async_has_run, RUN_LIMIT_S, "the command runs")


async def _async_check_never_runs_again(system: RunningSystem, key: str) -> None:
    """Resend a command of unknown outcome through all nodes, twice; expect no run."""
    for node in (*system.nodes, *system.nodes):
        resent = await async_send_command(
            system, node, key, deadline_ms=SHORT_DEADLINE_MS
        )
        assert (resent.status, resent.ran) == (409, "unknown"), resent
    assert await async_run_count(system, key) == 1


async def test_an_answer_lost_after_the_run_is_unknown_for_good(
    system: RunningSystem,
) -> None:
    """Guards against resending a command that ran and whose response was lost."""
    key = "service-lost-answer"
    await async_inject_service_fault(system, lose_answers=1)
    first = await async_send_command(system, system.nodes[0], key)
    assert (first.status, first.ran) == (409, "unknown"), first
    assert first.error == "outcome_unknown"
    await async_wait_claim(system, key, "unknown")
    await _async_check_never_runs_again(system, key)


async def test_an_unreachable_service_is_reported_and_a_resend_runs(
    system: RunningSystem,
) -> None:
    """Guards against a claim that blocks a command although it was never sent."""
    key = "service-unreachable"
    for proxy in system.service_proxies.values():
        await proxy.async_disconnect()
    refused = await async_send_command(system, system.nodes[0], key)
    assert (refused.status, refused.ran) == (503, "no"), refused
    assert await async_run_count(system, key) == 0
    for proxy in system.service_proxies.values():
        await proxy.async_restore()
    # A node that reads the claim before it is `abandoned` waits until it is.
    for node in system.nodes[1:]:
        assert (await async_send_command(system, node, key)).status == 200
    assert await async_run_count(system, key) == 1


async def test_a_killed_claimer_does_not_lead_to_a_second_run(
    system: RunningSystem,
) -> None:
    """Guards against another node that takes over the claim of a killed process."""
    key, node = "claimer-killed", system.nodes[0]
    await async_inject_service_fault(system, delay_ms=SERVICE_DELAY_MS)
    before = sum(proxy.connections for proxy in system.service_proxies.values())
    first = asyncio.create_task(async_send_command(system, node, key))

    async def async_is_sent() -> bool:
        # The claim is written before the connection to the service is opened.
        return (
            sum(proxy.connections for proxy in system.service_proxies.values()) > before
        )

    await async_wait_for(async_is_sent, RUN_LIMIT_S, "the command is sent")
    assert await async_claim_state(system, key) == "claimed"
    system.cluster.kill(node.name, "entry")
    assert (await first).status == 0
    for other in system.nodes[1:]:
        resent = await async_send_command(
            system, other, key, deadline_ms=SHORT_DEADLINE_MS
        )
        assert (resent.status, resent.ran) == (409, "unknown"), resent
        assert resent.error == "request_in_progress"
    system.cluster.process(node.name, "entry").start()
    await system.cluster.async_wait_accepting()
    await async_inject_service_fault(system, delay_ms=0)
    await _async_check_never_runs_again(system, key)


async def test_copies_through_all_nodes_at_once_run_once(system: RunningSystem) -> None:
    """Guards against two nodes, or two tasks of a node, that both acquire the claim."""
    key = "copies"
    await async_inject_service_fault(system, delay_ms=SERVICE_DELAY_MS)
    copies = [
        async_send_command(system, node, key) for node in system.nodes * COPIES_PER_NODE
    ]
    responses = await asyncio.gather(*copies)
    assert {response.status for response in responses} == {200}, responses
    assert all(response.body == responses[0].body for response in responses)
    assert await async_run_count(system, key) == 1


async def test_a_key_belongs_to_one_request(system: RunningSystem) -> None:
    """Guards against a reused key that replays another response or runs a command."""
    key = "reused"
    first = await async_send_command(system, system.nodes[0], key, body={"speed": 1})
    assert first.status == 200
    for node in system.nodes:
        other_body = await async_send_command(system, node, key, body={"speed": 2})
        assert (other_body.status, other_body.ran) == (422, "no"), other_body
        other_path = await async_send_command(
            system, node, key, path="fans/7/stop", body={"speed": 1}
        )
        assert (other_path.status, other_path.ran) == (422, "no"), other_path
    assert await async_run_count(system, key) == 1


async def test_a_command_without_a_usable_key_is_refused(system: RunningSystem) -> None:
    """Guards against running a command whose retry cannot be recognized."""
    records = [
        await system.cluster.async_records(item.address)
        for item in system.cluster.services
    ]
    for key in (None, "", "x" * 256, "caf\u00e9"):
        refused = await async_send_command(system, system.nodes[1], key)
        assert (refused.status, refused.ran) == (400, "no"), (key, refused)
    assert records == [
        await system.cluster.async_records(item.address)
        for item in system.cluster.services
    ]


async def test_a_command_to_a_paused_server_is_unknown_and_never_resent(
    system: RunningSystem,
) -> None:
    """Guards against `ran: no` and a resend when a paused server may still run it."""
    key, node = "server-paused", system.nodes[0]
    assert (await async_read_fan(system, node)).status == 200
    for item in system.cluster.services:
        system.cluster.pause(item.name)
    first = await async_send_command(system, node, key, deadline_ms=SHORT_DEADLINE_MS)
    assert first.status in (409, 504), first
    assert first.ran == "unknown", first
    for item in system.cluster.services:
        system.cluster.resume(item.name)
    await _async_wait_run(system, key)
    await _async_check_never_runs_again(system, key)


async def test_a_command_avoids_stalled_connections(
    system: RunningSystem,
) -> None:
    """Guards against a command on a stalled pooled connection.

    Its outcome would be unknown.
    """
    key, node = "silent-connections", system.nodes[0]
    reads = await asyncio.gather(*(async_read_fan(system, node) for _ in range(4)))
    assert {read.status for read in reads} == {200}
    stalled_counts = [
        proxy.stall_open_connections() for proxy in system.service_proxies.values()
    ]
    assert sum(stalled_counts) > 0
    stopwatch = Stopwatch()
    response = await async_send_command(system, node, key)
    assert response.status == 200, response
    assert stopwatch.elapsed_s < 2.0
    assert await async_run_count(system, key) == 1
