"""Tests of at-most-once execution over a table with faults."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryhall.claims import runner
from gooseberryhall.claims.budget import WriteBudget
from gooseberryhall.claims.const import (
    INLINE_BODY_BYTES,
    RETENTION_S,
    SWEEP_PERIOD_S,
    SWEEP_SHARDS,
)
from gooseberryhall.claims.exceptions import (
    ClaimError,
    ClaimsUnavailableError,
    ClaimUnreadableError,
    IdempotencyKeyError,
    IdempotencyKeyReusedError,
    NotSentError,
    OutcomeUnknownError,
    RequestInProgressError,
)
from gooseberryhall.claims.models import (
    CommandRequest,
    CommandResponse,
    validate_idempotency_key,
)
from gooseberryhall.claims.runner import ClaimService
from gooseberryhall.claims.sweep import async_sweep
from gooseberryhall.exceptions import Executed
from tests.fakes import FakeObjects, FakeTable


@dataclass
class Bench:
    """Entry nodes over one table, and a service that counts its runs."""

    table: FakeTable = field(default_factory=FakeTable)
    objects: FakeObjects = field(default_factory=FakeObjects)
    runs: Counter[str] = field(default_factory=Counter)
    body: bytes = b"started"
    time_s: float = 1_000_000.0

    def node(self, name: str) -> ClaimService:
        """Create the claim service of one entry process."""
        return ClaimService(
            self.table,
            self.objects,
            WriteBudget(lambda: 300.0),
            name,
            "incarnation",
            lambda: self.time_s,
        )

    def send(
        self, key: str, error: type[ClaimError] | None = None
    ) -> Callable[[], Awaitable[CommandResponse]]:
        """Return a send function that runs the request, then may lose its answer."""

        async def async_send() -> CommandResponse:
            if error is NotSentError:
                raise NotSentError("connection refused")
            self.runs[key] += 1
            await asyncio.sleep(0)
            if error is not None:
                raise error("answer lost")
            return CommandResponse(200, (("content-type", "text/plain"),), self.body)

        return async_send


def fan_request(key: str = "k1", body: bytes = b"{}") -> CommandRequest:
    """Return a fan command."""
    return CommandRequest("harvest", key, "POST", "/fans/1/start", body)


@pytest.fixture
def bench() -> Bench:
    """Return a fresh bench."""
    return Bench()


async def test_resend_through_another_node_gets_the_same_answer(bench: Bench) -> None:
    """A resend through another node must not cycle the fan a second time."""
    first, second = bench.node("a"), bench.node("b")
    answer = await first.async_run_once(fan_request(), bench.send("k1"), 5)
    await first.async_drain(5)
    again = await second.async_run_once(fan_request(), bench.send("k1"), 5)
    assert again == answer
    assert bench.runs["k1"] == 1


async def test_concurrent_sends_run_once(bench: Bench) -> None:
    """Copies sent at the same time through several nodes must run once."""
    nodes = [bench.node(name) for name in "abc"]
    answers = await asyncio.gather(
        *(
            node.async_run_once(fan_request(), bench.send("k1"), 5)
            for node in (*nodes, nodes[0])
        )
    )
    assert bench.runs["k1"] == 1
    assert len(set(answers)) == 1


async def test_large_answer_is_replayed_whole(bench: Bench) -> None:
    """An answer too large for a row must still be replayed complete."""
    bench.body = b"x" * (INLINE_BODY_BYTES + 1)
    first, second = bench.node("a"), bench.node("b")
    answer = await first.async_run_once(fan_request(), bench.send("k1"), 5)
    await first.async_drain(5)
    assert await second.async_run_once(fan_request(), bench.send("k1"), 5) == answer


async def test_same_key_with_other_body_is_refused(bench: Bench) -> None:
    """A reused key must not return the answer of another request."""
    node = bench.node("a")
    await node.async_run_once(fan_request(), bench.send("k1"), 5)
    await node.async_drain(5)
    with pytest.raises(IdempotencyKeyReusedError):
        await node.async_run_once(fan_request(body=b"x"), bench.send("k1"), 5)


async def test_table_down_sends_nothing(bench: Bench) -> None:
    """Without the table nothing may be sent, and earlier attempts are not denied."""
    bench.table.down = True
    with pytest.raises(ClaimUnreadableError) as caught:
        await bench.node("a").async_run_once(fan_request(), bench.send("k1"), 5)
    assert caught.value.ran is Executed.NO
    assert caught.value.earlier_attempts is Executed.UNKNOWN
    assert not bench.runs


async def test_lost_claim_answer_is_abandoned_and_can_be_sent_again(
    bench: Bench,
) -> None:
    """A caller told `ran: no` after a lost claim answer must be able to send again."""
    first, second = bench.node("a"), bench.node("b")
    bench.table.lose_answers = 2
    with pytest.raises(ClaimsUnavailableError):
        await first.async_run_once(fan_request(), bench.send("k1"), 5)
    assert not bench.runs
    await first.async_drain(5)
    await second.async_run_once(fan_request(), bench.send("k1"), 5)
    assert bench.runs["k1"] == 1


async def test_unreachable_service_can_be_sent_again(bench: Bench) -> None:
    """A refused connection ran nothing, so the resend must run."""
    node = bench.node("a")
    with pytest.raises(NotSentError):
        await node.async_run_once(fan_request(), bench.send("k1", NotSentError), 5)
    await node.async_drain(5)
    await node.async_run_once(fan_request(), bench.send("k1"), 5)
    assert bench.runs["k1"] == 1


async def test_lost_service_answer_is_never_sent_again(bench: Bench) -> None:
    """A command whose answer was lost may have run and must not run again."""
    node = bench.node("a")
    with pytest.raises(OutcomeUnknownError):
        await node.async_run_once(
            fan_request(), bench.send("k1", OutcomeUnknownError), 5
        )
    await node.async_drain(5)
    with pytest.raises(OutcomeUnknownError):
        await bench.node("b").async_run_once(fan_request(), bench.send("k1"), 5)
    assert bench.runs["k1"] == 1


@pytest.mark.parametrize(
    ("age_s", "error"), [(1, RequestInProgressError), (61, OutcomeUnknownError)]
)
async def test_claim_of_a_dead_node_is_not_taken_over(
    bench: Bench, age_s: float, error: type[ClaimError]
) -> None:
    """A node that died after its claim may have sent, so nobody else may."""
    dead = bench.node("dead")
    sent = asyncio.Event()

    async def never_answer() -> CommandResponse:
        bench.runs["k1"] += 1
        sent.set()
        await asyncio.Event().wait()
        raise AssertionError

    task = asyncio.create_task(dead.async_run_once(fan_request(), never_answer, 60))
    await sent.wait()
    bench.time_s += age_s
    with pytest.raises(error):
        await bench.node("b").async_run_once(fan_request(), bench.send("k1"), 0.5)
    assert bench.runs["k1"] == 1
    task.cancel()


async def test_resend_is_answered_though_the_claiming_node_is_gone(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a caller without a deadline that waits for a dead node.

    A resend of a hung fan command got no answer within 20 s.
    """
    monkeypatch.setattr(runner, "CLAIM_WAIT_LIMIT_S", 0.3)
    sent = asyncio.Event()

    async def never_answer() -> CommandResponse:
        sent.set()
        await asyncio.Event().wait()
        raise AssertionError

    dead = bench.node("dead")
    task = asyncio.create_task(dead.async_run_once(fan_request(), never_answer, 60))
    await sent.wait()
    async with asyncio.timeout(5):
        with pytest.raises(RequestInProgressError):
            await bench.node("b").async_run_once(fan_request(), bench.send("k1"), 60)
        bench.time_s += 100
        with pytest.raises(OutcomeUnknownError):
            await bench.node("b").async_run_once(fan_request(), bench.send("k1"), 60)
    assert bench.runs["k1"] == 0
    task.cancel()


async def test_caller_disconnect_keeps_the_answer(bench: Bench) -> None:
    """A caller that disconnects and sends again must get the first run's answer."""
    node = bench.node("a")
    started, proceed = asyncio.Event(), asyncio.Event()

    async def slow_send() -> CommandResponse:
        bench.runs["k1"] += 1
        started.set()
        await proceed.wait()
        return CommandResponse(200, (), b"first")

    caller = asyncio.create_task(node.async_run_once(fan_request(), slow_send, 5))
    await started.wait()
    caller.cancel()
    proceed.set()
    answer = await node.async_run_once(fan_request(), bench.send("k1"), 5)
    assert answer.body == b"first"
    assert bench.runs["k1"] == 1


async def test_sweep_removes_only_old_claims(bench: Bench) -> None:
    """Removing a claim too early would let a resend run a second time."""
    node = bench.node("a")
    await node.async_run_once(fan_request("old"), bench.send("old"), 5)
    await node.async_drain(5)
    bench.time_s += RETENTION_S + 1
    await node.async_run_once(fan_request("new"), bench.send("new"), 5)
    await node.async_drain(5)
    for _ in range(SWEEP_SHARDS):
        await async_sweep(bench.table, bench.objects, ["harvest"], bench.time_s)
        bench.time_s += SWEEP_PERIOD_S
    rows = [key for key in bench.table.rows if key.startswith("claim/")]
    assert rows == [fan_request("new").row_key]


@pytest.mark.parametrize("key", [None, "", "x" * 256, "a\nb", "ключ"])
def test_malformed_key_is_refused(key: str | None) -> None:
    """A request without a usable key could not be recognised when sent again."""
    with pytest.raises(IdempotencyKeyError):
        validate_idempotency_key(key)


FAULTS = st.sampled_from(["none", "lose", "lose_twice", "down", "not_sent", "unknown"])


@given(st.lists(st.tuples(st.integers(0, 2), FAULTS), min_size=2, max_size=8))
def test_any_sequence_of_faults_runs_at_most_once(
    attempts: list[tuple[int, str]],
) -> None:
    """No sequence of faults and resends may run a command twice or deny a run."""
    asyncio.run(async_check_attempts(attempts))


async def async_check_attempts(attempts: list[tuple[int, str]]) -> None:
    """Send one command repeatedly through three nodes, with a fault at each attempt."""
    bench = Bench()
    nodes = [bench.node(str(number)) for number in range(3)]
    errors = {"not_sent": NotSentError, "unknown": OutcomeUnknownError}
    for number, fault in attempts:
        runs_before = bench.runs["k1"]
        bench.table.down = fault == "down"
        bench.table.lose_answers = {"lose": 1, "lose_twice": 2}.get(fault, 0)
        send = bench.send("k1", errors.get(fault))
        try:
            await nodes[number].async_run_once(fan_request(), send, 0.05)
        except ClaimError as exc:
            if exc.ran is Executed.NO:
                assert bench.runs["k1"] == runs_before
        bench.table.down = False
        bench.table.lose_answers = 0
        assert bench.runs["k1"] <= 1
        await nodes[number].async_drain(5)
