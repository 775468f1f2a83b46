"""Non-idempotent commands while servers and entry processes fail (P4, P5)."""

import asyncio

import pytest

from standins.cluster import async_wait_for

from .common import (
    RunningSystem,
    Stopwatch,
    async_claim_state,
    async_command,
    async_control_services,
    async_read_fan,
    async_runs,
    async_wait_claim,
)

pytestmark = pytest.mark.asyncio(loop_scope="package")

COPIES_PER_NODE = 4
SERVICE_DELAY_MS = 700
SHORT_DEADLINE_MS = 600
RUN_LIMIT_S = 5.0


async def _async_wait_run(bed: RunningSystem, key: str) -> None:
    async def async_has_run() -> bool:
        return await async_runs(bed, key) > 0

    await async_wait_for(async_has_run, RUN_LIMIT_S, "the command runs")


async def _async_never_runs_again(bed: RunningSystem, key: str) -> None:
    """Send a command whose outcome is unknown through all nodes, twice."""
    for node in (*bed.nodes, *bed.nodes):
        resent = await async_command(bed, node, key, deadline_ms=SHORT_DEADLINE_MS)
        assert (resent.status, resent.ran) == (409, "unknown"), resent
    assert await async_runs(bed, key) == 1


async def test_an_answer_lost_after_the_run_is_unknown_for_good(
    bed: RunningSystem,
) -> None:
    """Guards against sending a command again that ran and lost its answer."""
    key = "service-lost-answer"
    await async_control_services(bed, lose_answers=1)
    first = await async_command(bed, bed.nodes[0], key)
    assert (first.status, first.ran) == (409, "unknown"), first
    assert first.error == "outcome_unknown"
    await async_wait_claim(bed, key, "unknown")
    await _async_never_runs_again(bed, key)


async def test_an_unreachable_service_is_told_and_a_resend_runs(
    bed: RunningSystem,
) -> None:
    """Guards against a claim that blocks a command which was never sent."""
    key = "service-unreachable"
    for proxy in bed.service_proxies.values():
        await proxy.async_disconnect()
    refused = await async_command(bed, bed.nodes[0], key)
    assert (refused.status, refused.ran) == (503, "no"), refused
    assert await async_runs(bed, key) == 0
    for proxy in bed.service_proxies.values():
        await proxy.async_restore()
    # A node that reads the row before it is `abandoned` waits for that.
    for node in bed.nodes[1:]:
        assert (await async_command(bed, node, key)).status == 200
    assert await async_runs(bed, key) == 1


async def test_a_killed_claimer_does_not_lead_to_a_second_run(
    bed: RunningSystem,
) -> None:
    """Guards against another node that takes over the claim of a killed process."""
    key, node = "claimer-killed", bed.nodes[0]
    await async_control_services(bed, delay_ms=SERVICE_DELAY_MS)
    before = sum(proxy.connections for proxy in bed.service_proxies.values())
    first = asyncio.create_task(async_command(bed, node, key))

    async def async_is_sent() -> bool:
        # The claim precedes the new connection to the service.
        return sum(proxy.connections for proxy in bed.service_proxies.values()) > before

    await async_wait_for(async_is_sent, RUN_LIMIT_S, "the command is sent")
    assert await async_claim_state(bed, key) == "claimed"
    bed.cluster.kill(node.name, "entry")
    assert (await first).status == 0
    for other in bed.nodes[1:]:
        resent = await async_command(bed, other, key, deadline_ms=SHORT_DEADLINE_MS)
        assert (resent.status, resent.ran) == (409, "unknown"), resent
        assert resent.error == "request_in_progress"
    bed.cluster.process(node.name, "entry").start()
    await bed.cluster.async_wait_accepting()
    await async_control_services(bed, delay_ms=0)
    await _async_never_runs_again(bed, key)


async def test_copies_through_all_nodes_at_once_run_once(bed: RunningSystem) -> None:
    """Guards against two nodes, or two tasks of one node, that both take the claim."""
    key = "copies"
    await async_control_services(bed, delay_ms=SERVICE_DELAY_MS)
    copies = [async_command(bed, node, key) for node in bed.nodes * COPIES_PER_NODE]
    answers = await asyncio.gather(*copies)
    assert {answer.status for answer in answers} == {200}, answers
    assert all(answer.body == answers[0].body for answer in answers)
    assert await async_runs(bed, key) == 1


async def test_a_key_belongs_to_one_request(bed: RunningSystem) -> None:
    """Guards against replaying the answer of another command, or running it."""
    key = "reused"
    first = await async_command(bed, bed.nodes[0], key, body={"speed": 1})
    assert first.status == 200
    for node in bed.nodes:
        other_body = await async_command(bed, node, key, body={"speed": 2})
        assert (other_body.status, other_body.ran) == (422, "no"), other_body
        other_path = await async_command(
            bed, node, key, path="fans/7/stop", body={"speed": 1}
        )
        assert (other_path.status, other_path.ran) == (422, "no"), other_path
    assert await async_runs(bed, key) == 1


async def test_a_command_without_a_usable_key_is_refused(bed: RunningSystem) -> None:
    """Guards against running a command whose retry could not be recognised."""
    records = [
        await bed.cluster.async_records(item.address) for item in bed.cluster.services
    ]
    for key in (None, "", "x" * 256, "caf\u00e9"):
        refused = await async_command(bed, bed.nodes[1], key)
        assert (refused.status, refused.ran) == (400, "no"), (key, refused)
    assert records == [
        await bed.cluster.async_records(item.address) for item in bed.cluster.services
    ]


async def test_a_paused_server_is_unknown_and_never_asked_again(
    bed: RunningSystem,
) -> None:
    """Guards against `ran: no` for bytes in a paused server and against a resend."""
    key, node = "server-paused", bed.nodes[0]
    assert (await async_read_fan(bed, node)).status == 200
    for item in bed.cluster.services:
        bed.cluster.pause(item.name)
    first = await async_command(bed, node, key, deadline_ms=SHORT_DEADLINE_MS)
    assert first.status in (409, 504), first
    assert first.ran == "unknown", first
    for item in bed.cluster.services:
        bed.cluster.resume(item.name)
    await _async_wait_run(bed, key)
    await _async_never_runs_again(bed, key)


async def test_a_command_avoids_connections_that_went_silent(
    bed: RunningSystem,
) -> None:
    """Guards against a command on a pooled connection, whose outcome gets unknown."""
    key, node = "silent-connections", bed.nodes[0]
    reads = await asyncio.gather(*(async_read_fan(bed, node) for _ in range(4)))
    assert {read.status for read in reads} == {200}
    silent = [proxy.stall_open_connections() for proxy in bed.service_proxies.values()]
    assert sum(silent) > 0
    watch = Stopwatch()
    answer = await async_command(bed, node, key)
    assert answer.status == 200, answer
    assert watch.elapsed_s < 2.0
    assert await async_runs(bed, key) == 1
