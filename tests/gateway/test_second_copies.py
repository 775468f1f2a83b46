"""Tests of second copies of requests to plain services."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from gooseberryhall.fleet.models import Route
from gooseberryhall.gateway.app import route_request
from gooseberryhall.gateway.budget import RetryBudget
from gooseberryhall.gateway.context import RequestContext
from gooseberryhall.gateway.crashes import request_fingerprint
from gooseberryhall.gateway.hedging import Hedging
from gooseberryhall.gateway.models import CallerRequest
from gooseberryhall.gateway.second_copy import HedgedRequest, plan_copy
from gooseberryhall.gateway.stopping import StopSchedule
from tests.gateway.common import (
    Gateway,
    ReceivedRequest,
    Script,
    async_gateway,
    async_hedging_gateway,
    async_until,
    encode_response,
    hedge_events,
    route,
)

REJECTION = "x-not-run: 1\r\n"


def _answer(
    body: bytes, after_s: float, *, status: int = 200, extra: str | None = None
) -> Script:
    """Return a script that answers after some time."""

    async def async_answer(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(after_s)
        headers = f"x-signature: {body.decode()}\r\n" if extra is None else extra
        writer.write(encode_response(request, body, status=status, extra=headers))

    return async_answer


class _Silent:
    """A script that never answers and waits until its connection is closed."""

    def __init__(self) -> None:
        self.closed = 0

    async def __call__(self, _: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        while not writer.transport.is_closing():
            # A write to a connection that the gateway has closed ends it here, too.
            writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
            await asyncio.sleep(0.01)
        self.closed += 1


def _withheld(gateway: Gateway, reason: str) -> float:
    labels = {"route": "r", "reason": reason}
    return float(gateway.state.metrics.hedges_withheld.values.get(labels, 0))


async def test_second_copy_answers_for_a_slow_server() -> None:
    """Guards against a slow answer, a mixed answer and a loser that goes on."""
    silent = _Silent()
    async with async_hedging_gateway(route(), silent, _answer(b"two", 0)) as (
        gateway,
        slow,
        fast,
    ):
        response = await gateway.async_request("x-deadline: 900\r\n")
        await async_until(lambda: silent.closed == 1)
        assert response.startswith(b"HTTP/1.1 200")
        assert response.endswith(b"two")
        assert response.count(b"x-signature") == response.count(b"HTTP/1.1") == 1
        assert b"x-signature: two" in response
        assert len(slow.requests) == len(fast.requests) == 1
        sent_ms = int(slow.requests[0].headers["x-deadline"])
        assert int(fast.requests[0].headers["x-deadline"]) <= sent_ms - 15
        backends, pool = gateway.state.backends, gateway.state.pool
        assert backends.failure_rate("s1") == 0
        assert backends.local_load() == {}
        assert not pool._idle.get(slow.address)
        assert len(pool._idle[fast.address]) == 1
        assert len(gateway.state.budget("plain")._retry_times_s) == 1
        assert hedge_events(gateway) == [1, 1, 0]


async def test_copy_that_wins_does_not_shorten_the_delay() -> None:
    """Guards against ever more copies, because slow answers are not counted."""
    async with async_hedging_gateway(route(), _Silent(), _answer(b"two", 0.1)) as (
        gateway,
        *_,
    ):
        await gateway.async_request()
        assert gateway.state.hedging is not None
        now_s = asyncio.get_running_loop().time()
        estimate = gateway.state.hedging.latencies["r"].estimate(1.0, now_s)
        assert estimate is not None
        assert estimate.late_s > 0.1


async def test_first_copy_may_answer_after_the_second_was_sent() -> None:
    """Guards against dropping the first answer because a second copy is out."""
    silent = _Silent()
    async with async_hedging_gateway(route(), _answer(b"one", 0.1), silent) as (
        gateway,
        *_,
    ):
        response = await gateway.async_request()
        await async_until(lambda: silent.closed == 1)
        assert response.endswith(b"one")
        assert gateway.state.backends.failure_rate("s2") == 0
        assert hedge_events(gateway) == [1, 0, 1]


async def test_fast_answer_has_no_second_copy() -> None:
    """Guards against extra requests when nothing is late."""
    async with async_hedging_gateway(route(), _answer(b"one", 0), _Silent()) as (
        gateway,
        _,
        other,
    ):
        assert (await gateway.async_request()).endswith(b"one")
        assert not other.requests
        assert hedge_events(gateway) == [0, 0, 0]


@pytest.mark.parametrize(
    "failing",
    [
        _answer(b"bad", 0.05, status=500),
        _answer(b"bad", 0.05, status=503, extra=REJECTION),
        _answer(b"unsigned", 0.05, extra=""),
    ],
)
async def test_failure_of_one_copy_does_not_end_the_request(failing: Script) -> None:
    """Guards against a failure for the caller while another server is answering."""
    good = _answer(b"good", 0.15)
    async with async_hedging_gateway(route(), failing, good) as (
        gateway,
        first,
        second,
    ):
        response = await gateway.async_request()
        assert response.startswith(b"HTTP/1.1 200")
        assert response.endswith(b"good")
        assert len(first.requests) == len(second.requests) == 1


async def test_first_failure_is_relayed_if_both_copies_fail() -> None:
    """Guards against a generated or a mixed response when both servers failed."""
    bad = _answer(b"one", 0.15, status=500), _answer(b"two", 0.05, status=502)
    async with async_hedging_gateway(route(), *bad) as (gateway, first, second):
        # Another server at the same address, which must get no third copy.
        third = replace(gateway.servers["s2"], server_id="s3")
        gateway.servers["s3"] = third
        gateway.prefer("s1")
        response = await gateway.async_request()
        assert response.startswith(b"HTTP/1.1 502")
        assert b"x-signature: two" in response
        assert response.endswith(b"two")
        assert len(first.requests) == len(second.requests) == 1


async def test_rejection_by_both_copies_is_a_refusal() -> None:
    """Guards against a final error for a request that no server ran."""
    full = _answer(b"full", 0.05, status=503, extra=REJECTION)
    async with async_hedging_gateway(route(), full, full) as (gateway, *_):
        response = await gateway.async_request()
        assert response.startswith(b"HTTP/1.1 503")
        assert b"retry-after" in response


@pytest.mark.parametrize(
    "unsafe", [route(idempotent=False, attempts=2), route(attempts=1)]
)
async def test_request_that_must_not_run_twice_has_no_second_copy(
    unsafe: Route,
) -> None:
    """Guards against a command that runs twice because its answer is late."""
    slow = _answer(b"one", 0.1)
    async with async_hedging_gateway(unsafe, slow, _Silent()) as (gateway, _, other):
        assert (await gateway.async_request()).endswith(b"one")
        assert not other.requests


async def test_caller_that_leaves_ends_both_copies() -> None:
    """Guards against servers that work on for a caller who is gone."""
    silent, patient = _Silent(), route(timeout_s=30.0)
    hedging = async_hedging_gateway(patient, silent, silent)
    async with hedging as (gateway, first, second):
        request = asyncio.create_task(gateway.async_request())
        await async_until(lambda: bool(first.requests and second.requests))
        request.cancel()
        await async_until(lambda: silent.closed == 2)
        await async_until(lambda: gateway.state.backends.local_load() == {})
        assert hedge_events(gateway) == [1, 0, 1]


def _reject(gateway: Gateway) -> None:
    assert gateway.state.hedging is not None
    now_s = asyncio.get_running_loop().time()
    gateway.state.hedging.record_rejection("plain", now_s)


def _fill(gateway: Gateway) -> None:
    gateway.state.backends.peer_load["s2"] = 4


def _stop(gateway: Gateway) -> None:
    now_s = asyncio.get_running_loop().time()
    gateway.state.stopping.begin(StopSchedule(now_s + 5, now_s + 6, now_s + 7))


def _crash(gateway: Gateway) -> None:
    fingerprint = request_fingerprint("team-a", b"GET", b"/a/1", b"")
    now_s = asyncio.get_running_loop().time()
    gateway.state.crashes.record_crash(fingerprint, "other", now_s)


def _exhaust(gateway: Gateway) -> None:
    gateway.state.budgets["plain"] = RetryBudget(0.0, 0.0, 10.0)


def _restart(gateway: Gateway) -> None:
    gateway.state.hedging = Hedging(1.0, 0.95)


@pytest.mark.parametrize(
    ("prepare", "reason"),
    [
        (_reject, "overload"),
        (_fill, "no_server"),
        (_stop, "stopping"),
        (_crash, "crashes"),
        (_restart, "no_latencies"),
        (_exhaust, "budget"),
    ],
)
async def test_second_copy_is_withheld(
    prepare: Callable[[Gateway], None], reason: str
) -> None:
    """Guards against copies in an overload, at a stop or beyond a budget."""
    slow = _answer(b"one", 0.1)
    async with async_hedging_gateway(route(), slow, _Silent()) as (gateway, _, other):
        prepare(gateway)
        assert (await gateway.async_request()).endswith(b"one")
        assert not other.requests
        assert _withheld(gateway, reason) == 1


async def test_rejection_by_a_server_is_noticed() -> None:
    """Guards against copies while the servers of a service are full."""
    full = _answer(b"full", 0, status=503, extra=REJECTION)
    async with async_hedging_gateway(route(), full, _answer(b"two", 0.1)) as (
        gateway,
        *_,
    ):
        assert (await gateway.async_request()).endswith(b"two")
        assert _withheld(gateway, "overload") == 1


async def test_no_second_copy_without_the_option() -> None:
    """Guards against a change for deployments that did not switch hedging on."""
    slow = _answer(b"one", 0.1)
    async with async_hedging_gateway(route(), slow, _Silent()) as (
        gateway,
        first,
        other,
    ):
        gateway.state.hedging = None
        assert (await gateway.async_request()).endswith(b"one")
        assert len(first.requests) == 1
        assert not other.requests
        assert gateway.state.metrics.hedges_withheld.values.store == {}


async def test_objective_counts_from_the_first_attempt() -> None:
    """Guards against a copy of a repeated request that is planned too late."""
    async with async_gateway((route(),)) as gateway:
        state = gateway.state
        state.observed.spent_s("r", 1.0, 1.0)
        headers = [(b"host", b"example"), (b"x-id", b"1")]
        headers += [(b"authorization", b"Key secret"), (b"x-deadline", b"900")]
        request = CallerRequest(b"GET", b"/a/1", headers, b"", False, 100.0)
        ctx = route_request(state, state.configuration(), request)
        assert isinstance(ctx, RequestContext)
        timing, _ = plan_copy(HedgedRequest(state, Hedging(0.1, 0.95), ctx))
    assert timing.objective_s == pytest.approx(100.1)
