"""Non-idempotent commands while the table fails (P4, P5)."""

import asyncio

import pytest

from .common import (
    RunningSystem,
    Stopwatch,
    async_run_count,
    async_send_command,
    async_wait_claim,
)

pytestmark = pytest.mark.asyncio(loop_scope="package")

# Limit of the design plus a tolerance for the network and a busy machine.
REFUSAL_LIMIT_S = 1.0 + 0.3
LOST_RESPONSE_ATTEMPTS = 5


async def _async_resend_runs_once(system: RunningSystem, key: str) -> None:
    """Resend a refused command through the other nodes; expect exactly one run."""
    bodies = []
    for node in system.nodes[1:]:
        resent = await async_send_command(system, node, key)
        assert resent.status == 200, resent
        bodies.append(resent.body)
    assert bodies[0] == bodies[1]
    assert await async_run_count(system, key) == 1


async def test_a_lost_answer_to_the_claim_write_runs_the_command_once(
    system: RunningSystem,
) -> None:
    """Guards against a second run after a claim write whose response was lost."""
    platform, cluster = system.cluster.platform_address, system.cluster
    conflicts = (await cluster.async_records(platform))["conflicts"]
    for number in range(LOST_RESPONSE_ATTEMPTS):
        key = f"lost-claim-answer-{number}"
        await cluster.async_control(platform, lose_answers=1)
        first = await async_send_command(system, system.nodes[0], key)
        again = await async_send_command(system, system.nodes[1], key)
        assert (first.status, again.status) == (200, 200), (first, again)
        assert first.body == again.body
        assert await async_run_count(system, key) == 1
    # A retry conflicts only if the claim was written, so the fault was injected.
    assert (await cluster.async_records(platform))["conflicts"] > conflicts


async def test_a_claim_that_is_never_confirmed_is_abandoned(
    system: RunningSystem,
) -> None:
    """Guards against sending with an unconfirmed claim and against a blocked key."""
    platform, key = system.cluster.platform_address, "unconfirmed-claim"
    await system.cluster.async_control(platform, lose_answers=1000)
    stopwatch = Stopwatch()
    refused = await async_send_command(system, system.nodes[0], key)
    assert stopwatch.elapsed_s < REFUSAL_LIMIT_S
    assert (refused.status, refused.ran) == (503, "no"), refused
    assert await async_run_count(system, key) == 0
    # The row is `claimed`, so another node waits until the claimer abandons it.
    waiting = asyncio.create_task(async_send_command(system, system.nodes[1], key))
    await async_wait_claim(system, key, "claimed")
    await system.cluster.async_control(platform, lose_answers=0)
    assert (await waiting).status == 200, waiting.result()
    await _async_resend_runs_once(system, key)


@pytest.mark.parametrize(
    "fault",
    [{"down": True}, {"hang": True}, {"delay_ms": 600}, {"delay_ms": 1500}],
    ids=["down", "hang", "slower-than-one-try", "slower-than-the-limit"],
)
async def test_a_command_is_refused_without_a_claim(
    system: RunningSystem, fault: dict[str, object], request: pytest.FixtureRequest
) -> None:
    """Guards against guessing the outcome while the table is unusable."""
    platform, key = system.cluster.platform_address, f"table-{request.node.callspec.id}"
    await system.cluster.async_control(platform, **fault)
    stopwatch = Stopwatch()
    refused = await async_send_command(system, system.nodes[0], key)
    elapsed_s = stopwatch.elapsed_s
    assert (refused.status, refused.ran) == (503, "no"), refused
    assert refused.error == "claims_unavailable"
    assert refused.headers.get("Retry-After")
    assert await async_run_count(system, key) == 0
    await system.cluster.async_control(platform, down=False, hang=False, delay_ms=0)
    await _async_resend_runs_once(system, key)
    assert elapsed_s < REFUSAL_LIMIT_S
