"""Tests of the decisions on second copies, without sockets."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryhall.gateway.budget import RetryBudget
from gooseberryhall.gateway.const import (
    HEDGE_PERIOD_ANSWERS,
    HEDGE_PERIOD_S,
    HEDGE_REJECTION_S,
    HEDGE_SHARE_WINDOW_S,
    LATENCY_ACCURACY,
    MIN_HEDGE_ANSWERS,
    MIN_HEDGE_DELAY_S,
)
from gooseberryhall.gateway.hedging import (
    HedgeConditions,
    HedgePlan,
    HedgeShare,
    HedgeTiming,
    Hedging,
    LatencyEstimate,
    RouteLatencies,
    WithheldReason,
    create_hedging,
    decide_hedge,
    free_candidates,
    plan_hedge,
)
from gooseberryhall.gateway.placement import Candidate

TIMING = HedgeTiming(started_s=10.0, objective_s=10.3, deadline_s=12.0)
PLAN = HedgePlan(due_s=10.1, answer_s=0.05)
CONDITIONS = HedgeConditions(
    stopping=False,
    crashes_servers=False,
    attempt_left=True,
    overloaded=False,
    server_free=True,
)


def _latencies(*values_s: float) -> RouteLatencies:
    latencies = RouteLatencies()
    for value_s in values_s:
        latencies.record(value_s, 0.0)
    return latencies


def test_delay_follows_the_latencies_of_the_route() -> None:
    """Guards against a delay that is not the quantile of what was seen."""
    estimate = _latencies(*[0.02] * 90, *[0.1] * 10).estimate(0.95, 0.0)
    assert estimate is not None
    assert estimate.median_s == pytest.approx(0.02, rel=LATENCY_ACCURACY)
    assert estimate.late_s == pytest.approx(0.1, rel=LATENCY_ACCURACY)
    plan = plan_hedge(TIMING, estimate)
    assert isinstance(plan, HedgePlan)
    assert plan.due_s == pytest.approx(10.1, abs=0.003)


def test_no_delay_is_known_before_enough_answers() -> None:
    """Guards against second copies by a handful of answers after a restart."""
    latencies = _latencies(*[0.02] * (MIN_HEDGE_ANSWERS - 1))
    assert latencies.estimate(0.95, 0.0) is None
    assert plan_hedge(TIMING, None) is WithheldReason.NO_LATENCIES
    latencies.record(0.02, 0.0)
    assert latencies.estimate(0.95, 0.0) is not None


def test_old_latencies_expire() -> None:
    """Guards against a delay by latencies that no longer hold."""
    latencies = _latencies(*[0.5] * HEDGE_PERIOD_ANSWERS)
    for _ in range(2 * HEDGE_PERIOD_ANSWERS):
        latencies.record(0.01, 1.0)
    estimate = latencies.estimate(0.95, 1.0)
    assert estimate is not None
    assert estimate.late_s == pytest.approx(0.01, rel=LATENCY_ACCURACY)
    assert latencies.estimate(0.95, 1.0 + 2 * HEDGE_PERIOD_S) is None


@pytest.mark.parametrize(
    ("estimate", "delay_s"),
    [
        (LatencyEstimate(0.001, 0.002), MIN_HEDGE_DELAY_S),
        # A copy after 0.28 s would answer after 0.38 s, 0.08 s after the objective.
        (LatencyEstimate(0.1, 0.28), 0.2),
        # Not even a copy that is sent at once would meet the objective.
        (LatencyEstimate(0.4, 0.6), 0.6),
        (LatencyEstimate(0.2999, 0.6), MIN_HEDGE_DELAY_S),
    ],
)
def test_delay_has_bounds(estimate: LatencyEstimate, delay_s: float) -> None:
    """Guards against copies of normal answers and against copies that come too late."""
    plan = plan_hedge(TIMING, estimate)
    assert isinstance(plan, HedgePlan)
    assert plan.due_s == pytest.approx(10.0 + delay_s)


def test_copy_that_cannot_answer_before_the_deadline_is_withheld() -> None:
    """Guards against extra work whose answer nobody waits for."""
    late = replace(TIMING, deadline_s=10.65)
    estimate = LatencyEstimate(0.4, 0.6)
    assert plan_hedge(late, estimate) is WithheldReason.DEADLINE
    due = replace(TIMING, deadline_s=10.14)
    assert decide_hedge(10.1, due, PLAN, CONDITIONS) is WithheldReason.DEADLINE


@pytest.mark.parametrize(
    ("conditions", "reason"),
    [
        (CONDITIONS, None),
        (replace(CONDITIONS, stopping=True), WithheldReason.STOPPING),
        (replace(CONDITIONS, crashes_servers=True), WithheldReason.CRASHES),
        (replace(CONDITIONS, attempt_left=False), WithheldReason.ATTEMPTS),
        (replace(CONDITIONS, overloaded=True), WithheldReason.OVERLOAD),
        (replace(CONDITIONS, server_free=False), WithheldReason.NO_SERVER),
    ],
)
def test_copy_is_withheld_with_a_reason(
    conditions: HedgeConditions, reason: WithheldReason | None
) -> None:
    """Guards against a copy that adds to an overload, a crash loop or a stop."""
    assert decide_hedge(10.1, TIMING, PLAN, conditions) is reason


def test_servers_without_a_free_slot_get_no_copy() -> None:
    """Guards against a copy that waits, or that goes to a zone that is evacuated."""
    free = Candidate("free", 3, 4, True)
    others = [
        Candidate("full", 4, 4, True),
        Candidate("suspected", 0, 4, True, suspected=True),
        Candidate("leaving", 0, 4, True, leaving=True),
        Candidate("cold", 0, 4, True, cold=True),
        Candidate("evacuated", 0, 4, True, zone_share=0.5),
    ]
    assert free_candidates([*others, free]) == [free]


def test_rejection_counts_for_a_short_time_and_its_service() -> None:
    """Guards against copies while a service is full, and against none ever after."""
    hedging = Hedging(0.1, 0.95)
    hedging.record_rejection("a", 5.0)
    assert hedging.was_rejected("a", 5.0 + HEDGE_REJECTION_S / 2)
    assert not hedging.was_rejected("b", 5.0)
    assert not hedging.was_rejected("a", 5.0 + HEDGE_REJECTION_S)


def test_hedging_without_a_share_is_off() -> None:
    """Guards against second copies that no operator asked for."""
    assert create_hedging(0.0, 0.95) is None
    assert create_hedging(0.01, 0.95) is not None


def test_copy_is_counted_only_if_share_and_budget_allow_it() -> None:
    """Guards against a share that is used up by copies that were not sent."""
    share = HedgeShare(1.0)
    share.record_request(0.0)
    empty = RetryBudget(0.0, 0.0, 10.0)
    assert share.try_acquire(empty, 0.0) is WithheldReason.BUDGET
    budget = RetryBudget(0.0, 1.0, 10.0)
    assert share.try_acquire(budget, 0.0) is None
    assert share.try_acquire(budget, 0.0) is WithheldReason.SHARE
    assert not budget.has_capacity(0.0)
    later_s = HEDGE_SHARE_WINDOW_S + 1.0
    share.record_request(later_s)
    assert share.try_acquire(budget, later_s) is None


_PAUSES_S = st.floats(0.0, 0.3 * HEDGE_SHARE_WINDOW_S)


@given(
    max_share=st.floats(0.01, 1.0),
    steps=st.lists(
        st.tuples(st.floats(0.0, 0.3 * HEDGE_SHARE_WINDOW_S), st.booleans()),
        max_size=120,
    ),
)
def test_copies_stay_within_the_share_of_any_window(
    max_share: float, steps: list[tuple[float, bool]]
) -> None:
    """Guards against more extra requests in any window than the operator allows."""
    share, budget = HedgeShare(max_share), RetryBudget(0.0, 1000.0, 10.0)
    requests_s: list[float] = []
    copies_s: list[float] = []
    now_s = 0.0
    for pause_s, is_request in steps:
        now_s += pause_s
        if is_request:
            share.record_request(now_s)
            requests_s.append(now_s)
        elif share.try_acquire(budget, now_s) is None:
            copies_s.append(now_s)
            start_s = now_s - HEDGE_SHARE_WINDOW_S
            recent = [copy_s for copy_s in copies_s if copy_s >= start_s]
            seen = [req_s for req_s in requests_s if req_s >= start_s]
            assert len(recent) <= max_share * len(seen)
    assert len(copies_s) <= max_share * len(requests_s)
