"""Non-idempotent commands while the table fails (P4, P5)."""

import asyncio

import pytest

from .common import (
    RunningSystem,
    Stopwatch,
    async_command,
    async_runs,
    async_wait_claim,
)

pytestmark = pytest.mark.asyncio(loop_scope="package")

# The limit of the design plus the time of the network and of a busy machine.
REFUSAL_LIMIT_S = 1.0 + 0.3
LOST_ANSWER_ATTEMPTS = 5


async def _async_resend_runs_once(bed: RunningSystem, key: str) -> None:
    """Send a refused command through the other nodes; it must run exactly once."""
    bodies = []
    for node in bed.nodes[1:]:
        resent = await async_command(bed, node, key)
        assert resent.status == 200, resent
        bodies.append(resent.body)
    assert bodies[0] == bodies[1]
    assert await async_runs(bed, key) == 1


async def test_a_lost_answer_to_the_claim_write_runs_the_command_once(
    bed: RunningSystem,
) -> None:
    """Guards against a second run after an applied claim whose answer was lost."""
    platform, cluster = bed.cluster.platform_address, bed.cluster
    conflicts = (await cluster.async_records(platform))["conflicts"]
    for number in range(LOST_ANSWER_ATTEMPTS):
        key = f"lost-claim-answer-{number}"
        await cluster.async_control(platform, lose_answers=1)
        first = await async_command(bed, bed.nodes[0], key)
        again = await async_command(bed, bed.nodes[1], key)
        assert (first.status, again.status) == (200, 200), (first, again)
        assert first.body == again.body
        assert await async_runs(bed, key) == 1
    # The retry of a claim that was applied conflicts, so the fault did take place.
    assert (await cluster.async_records(platform))["conflicts"] > conflicts


async def test_a_claim_that_is_never_confirmed_is_abandoned(bed: RunningSystem) -> None:
    """Guards against sending on an unconfirmed claim and against losing the key."""
    platform, key = bed.cluster.platform_address, "unconfirmed-claim"
    await bed.cluster.async_control(platform, lose_answers=1000)
    watch = Stopwatch()
    refused = await async_command(bed, bed.nodes[0], key)
    assert watch.elapsed_s < REFUSAL_LIMIT_S
    assert (refused.status, refused.ran) == (503, "no"), refused
    assert await async_runs(bed, key) == 0
    # The row says `claimed`: another node waits until the claimer gives it up.
    waiting = asyncio.create_task(async_command(bed, bed.nodes[1], key))
    await async_wait_claim(bed, key, "claimed")
    await bed.cluster.async_control(platform, lose_answers=0)
    assert (await waiting).status == 200, waiting.result()
    await _async_resend_runs_once(bed, key)


@pytest.mark.parametrize(
    "fault",
    [{"down": True}, {"hang": True}, {"delay_ms": 600}, {"delay_ms": 1500}],
    ids=["down", "hang", "slower-than-one-try", "slower-than-the-limit"],
)
async def test_a_command_is_refused_without_a_claim(
    bed: RunningSystem, fault: dict[str, object], request: pytest.FixtureRequest
) -> None:
    """Guards against a guess about the outcome while the table cannot be used."""
    platform, key = bed.cluster.platform_address, f"table-{request.node.callspec.id}"
    await bed.cluster.async_control(platform, **fault)
    watch = Stopwatch()
    refused = await async_command(bed, bed.nodes[0], key)
    elapsed_s = watch.elapsed_s
    assert (refused.status, refused.ran) == (503, "no"), refused
    assert refused.error == "claims_unavailable"
    assert refused.headers.get("Retry-After")
    assert await async_runs(bed, key) == 0
    await bed.cluster.async_control(platform, down=False, hang=False, delay_ms=0)
    await _async_resend_runs_once(bed, key)
    assert elapsed_s < REFUSAL_LIMIT_S
