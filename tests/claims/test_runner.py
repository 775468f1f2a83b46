"""Tests of at-most-once execution with faults of the table and the service."""

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
class Cluster:
    """Entry nodes with a shared table, and a service that counts its runs."""

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
        """Return a send function that runs the request or fails with `error`.

        After any other error than NotSentError the request has run.
        """

        async def async_send() -> CommandResponse:
            if error is NotSentError:
                raise NotSentError("connection refused")
            self.runs[key] += 1
            await asyncio.sleep(0)
            if error is not None:
                raise error("response lost")
            return CommandResponse(200, (("content-type", "text/plain"),), self.body)

        return async_send


def fan_command(key: str = "k1", body: bytes = b"{}") -> CommandRequest:
    """Return a command that starts a fan."""
    return CommandRequest("harvest", key, "POST", "/fans/1/start", body)


@pytest.fixture
def cluster() -> Cluster:
    """Return a cluster with an empty table."""
    return Cluster()


async def test_resend_through_another_node_gets_the_same_response(
    cluster: Cluster,
) -> None:
    """A resend through another node must not start the fan a second time."""
    first, second = cluster.node("a"), cluster.node("b")
    response = await first.async_run_once(fan_command(), cluster.send("k1"), 5)
    await first.async_drain(5)
    repeated = await second.async_run_once(fan_command(), cluster.send("k1"), 5)
    assert repeated == response
    assert cluster.runs["k1"] == 1


async def test_concurrent_sends_run_once(cluster: Cluster) -> None:
    """Copies sent concurrently through several nodes must run once."""
    nodes = [cluster.node(name) for name in "abc"]
    responses = await asyncio.gather(
        *(
            node.async_run_once(fan_command(), cluster.send("k1"), 5)
            for node in (*nodes, nodes[0])
        )
    )
    assert cluster.runs["k1"] == 1
    assert len(set(responses)) == 1


async def test_large_response_is_replayed_whole(cluster: Cluster) -> None:
    """A response that is too large for a row must be replayed complete."""
    cluster.body = b"x" * (INLINE_BODY_BYTES + 1)
    first, second = cluster.node("a"), cluster.node("b")
    response = await first.async_run_once(fan_command(), cluster.send("k1"), 5)
    await first.async_drain(5)
    assert await second.async_run_once(fan_command(), cluster.send("k1"), 5) == response


async def test_same_key_with_other_body_is_refused(cluster: Cluster) -> None:
    """A reused key must not return the response to another request."""
    node = cluster.node("a")
    await node.async_run_once(fan_command(), cluster.send("k1"), 5)
    await node.async_drain(5)
    with pytest.raises(IdempotencyKeyReusedError):
        await node.async_run_once(fan_command(body=b"x"), cluster.send("k1"), 5)


async def test_table_down_sends_nothing(cluster: Cluster) -> None:
    """Without the table nothing may be sent, but an earlier attempt may have run."""
    cluster.table.down = True
    with pytest.raises(ClaimUnreadableError) as caught:
        await cluster.node("a").async_run_once(fan_command(), cluster.send("k1"), 5)
    assert caught.value.ran is Executed.NO
    assert caught.value.earlier_attempts is Executed.UNKNOWN
    assert not cluster.runs


async def test_unconfirmed_claim_is_abandoned_and_can_be_sent_again(
    cluster: Cluster,
) -> None:
    """After `ran: no` for an unconfirmed claim, a resend must not be refused."""
    first, second = cluster.node("a"), cluster.node("b")
    cluster.table.lose_answers = 2
    with pytest.raises(ClaimsUnavailableError):
        await first.async_run_once(fan_command(), cluster.send("k1"), 5)
    assert not cluster.runs
    await first.async_drain(5)
    await second.async_run_once(fan_command(), cluster.send("k1"), 5)
    assert cluster.runs["k1"] == 1


async def test_unreachable_service_can_be_sent_again(cluster: Cluster) -> None:
    """After a refused connection nothing has run, so the resend must run."""
    node = cluster.node("a")
    with pytest.raises(NotSentError):
        await node.async_run_once(fan_command(), cluster.send("k1", NotSentError), 5)
    await node.async_drain(5)
    await node.async_run_once(fan_command(), cluster.send("k1"), 5)
    assert cluster.runs["k1"] == 1


async def test_command_with_lost_response_is_never_sent_again(cluster: Cluster) -> None:
    """A command whose response was lost may have run and must not run again."""
    node = cluster.node("a")
    with pytest.raises(OutcomeUnknownError):
        await node.async_run_once(
            fan_command(), cluster.send("k1", OutcomeUnknownError), 5
        )
    await node.async_drain(5)
    with pytest.raises(OutcomeUnknownError):
        await cluster.node("b").async_run_once(fan_command(), cluster.send("k1"), 5)
    assert cluster.runs["k1"] == 1


@pytest.mark.parametrize(
    ("age_s", "error"), [(1, RequestInProgressError), (61, OutcomeUnknownError)]
)
async def test_claim_of_a_stopped_node_is_not_taken_over(
    cluster: Cluster, age_s: float, error: type[ClaimError]
) -> None:
    """A command that a stopped node claimed may have run, so no other may send it."""
    stopped = cluster.node("stopped")
    sent = asyncio.Event()

    async def never_respond() -> CommandResponse:
        cluster.runs["k1"] += 1
        sent.set()
        await asyncio.Event().wait()
        raise AssertionError

    task = asyncio.create_task(stopped.async_run_once(fan_command(), never_respond, 60))
    await sent.wait()
    cluster.time_s += age_s
    with pytest.raises(error):
        await cluster.node("b").async_run_once(fan_command(), cluster.send("k1"), 0.5)
    assert cluster.runs["k1"] == 1
    task.cancel()


async def test_resend_gets_a_response_after_the_claiming_node_stopped(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A caller without a deadline must not wait for a node that has stopped.

    Such a resend of a hung command got no response within 20 s.
    """
    monkeypatch.setattr(runner, "CLAIM_WAIT_TIMEOUT_S", 0.3)
    sent = asyncio.Event()

    async def never_respond() -> CommandResponse:
        sent.set()
        await asyncio.Event().wait()
        raise AssertionError

    stopped = cluster.node("stopped")
    task = asyncio.create_task(stopped.async_run_once(fan_command(), never_respond, 60))
    await sent.wait()
    async with asyncio.timeout(5):
        with pytest.raises(RequestInProgressError):
            await cluster.node("b").async_run_once(
                fan_command(), cluster.send("k1"), 60
            )
        cluster.time_s += 100
        with pytest.raises(OutcomeUnknownError):
            await cluster.node("b").async_run_once(
                fan_command(), cluster.send("k1"), 60
            )
    assert cluster.runs["k1"] == 0
    task.cancel()


async def test_caller_disconnect_keeps_the_response(cluster: Cluster) -> None:
    """A caller that disconnects and resends must get the response of the first run."""
    node = cluster.node("a")
    started, proceed = asyncio.Event(), asyncio.Event()

    async def slow_send() -> CommandResponse:
        cluster.runs["k1"] += 1
        started.set()
        await proceed.wait()
        return CommandResponse(200, (), b"first")

    caller = asyncio.create_task(node.async_run_once(fan_command(), slow_send, 5))
    await started.wait()
    caller.cancel()
    proceed.set()
    response = await node.async_run_once(fan_command(), cluster.send("k1"), 5)
    assert response.body == b"first"
    assert cluster.runs["k1"] == 1


async def test_sweep_removes_only_old_claims(cluster: Cluster) -> None:
    """A claim removed too early would let a resend run a second time."""
    node = cluster.node("a")
    await node.async_run_once(fan_command("old"), cluster.send("old"), 5)
    await node.async_drain(5)
    cluster.time_s += RETENTION_S + 1
    await node.async_run_once(fan_command("new"), cluster.send("new"), 5)
    await node.async_drain(5)
    for _ in range(SWEEP_SHARDS):
        await async_sweep(cluster.table, cluster.objects, ["harvest"], cluster.time_s)
        cluster.time_s += SWEEP_PERIOD_S
    rows = [key for key in cluster.table.rows if key.startswith("claim/")]
    assert rows == [fan_command("new").row_key]


@pytest.mark.parametrize("key", [None, "", "x" * 256, "a\nb", "ключ"])
def test_malformed_key_is_refused(key: str | None) -> None:
    """Without a valid key a resend could not be recognised and would run again."""
    with pytest.raises(IdempotencyKeyError):
        validate_idempotency_key(key)


FAULTS = st.sampled_from(["none", "lose", "lose_twice", "down", "not_sent", "unknown"])


@given(st.lists(st.tuples(st.integers(0, 2), FAULTS), min_size=2, max_size=8))
def test_any_sequence_of_faults_runs_at_most_once(
    attempts: list[tuple[int, str]],
) -> None:
    """No sequence of faults may run a command twice, or report a run as `ran: no`."""
    asyncio.run(async_check_attempts(attempts))


async def async_check_attempts(attempts: list[tuple[int, str]]) -> None:
    """Send one command several times through three nodes, each time with a fault."""
    cluster = Cluster()
    nodes = [cluster.node(str(number)) for number in range(3)]
    errors = {"not_sent": NotSentError, "unknown": OutcomeUnknownError}
    for number, fault in attempts:
        runs_before = cluster.runs["k1"]
        cluster.table.down = fault == "down"
        cluster.table.lose_answers = {"lose": 1, "lose_twice": 2}.get(fault, 0)
        send = cluster.send("k1", errors.get(fault))
        try:
            await nodes[number].async_run_once(fan_command(), send, 0.05)
        except ClaimError as exc:
            if exc.ran is Executed.NO:
                assert cluster.runs["k1"] == runs_before
        cluster.table.down = False
        cluster.table.lose_answers = 0
        assert cluster.runs["k1"] <= 1
        await nodes[number].async_drain(5)
