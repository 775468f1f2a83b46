"""Tests of expected times and places."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryhall.admission.const import MAX_QUEUED_PER_GROUP
from gooseberryhall.admission.estimate import (
    UNKNOWN_TIMES,
    SlotTimes,
    estimate_capacity,
    expected_wait_s,
    profile_times,
)
from gooseberryhall.fleet.models import EngineProfile, EngineTiming, Model
from gooseberryhall.gateway.observed import ObservedTimes

TIMES = SlotTimes(slot_s=1.0, first_event_s=0.06)
MODEL = Model("large", 2, 2.0, 1.0, 16.0, 1.6)
TIMING = EngineTiming(0.003, 0.0001, 0.0, 10_000.0, 4, 500.0, 200.0)


def test_times_follow_the_profile_and_the_pace_of_the_model() -> None:
    """Guards against an estimate that takes a slow model for a fast one."""
    engine = EngineProfile(10, (MODEL,), 0.3, 6, TIMING)
    times = profile_times(engine, "large", 1000)
    assert times.slot_s == pytest.approx(2 * (0.05 + 200 * 0.004))
    assert times.first_event_s == pytest.approx(2 * (0.1 + 1.5 * 4 * 0.004))


def test_profile_without_times_gives_no_estimate() -> None:
    """Guards against a deployment that is refused requests by times of 0."""
    engine = EngineProfile(10, (MODEL,), 0.3, 6)
    assert profile_times(engine, "large") is UNKNOWN_TIMES
    capacity = estimate_capacity(13, 13, 10, UNKNOWN_TIMES, 0.01)
    assert (capacity.limit, capacity.places) == (10 + MAX_QUEUED_PER_GROUP, None)


@pytest.mark.parametrize(
    ("time_left_s", "queued"), [(0.05, 0), (0.1, 0), (0.203, 2), (0.8, 4)]
)
def test_queue_follows_the_objective(time_left_s: float, queued: int) -> None:
    """Guards against four requests beyond the slots whose objective allows two.

    Pattern: a burst in which 1,097 of 2,000 requests were served late.
    """
    assert estimate_capacity(15, 0, 15, TIMES, time_left_s).limit == 15 + queued


def test_request_that_is_late_gets_a_free_slot_only() -> None:
    """Guards against late requests that queue in front of others."""
    capacity = estimate_capacity(15, 15, 15, TIMES, 0.01)
    assert (capacity.limit, capacity.places) == (15, 0)


@given(st.integers(0, 40), st.integers(0, 40), st.floats(-5, 10))
def test_free_slot_is_always_a_place(own: int, peers: int, time_left_s: float) -> None:
    """Guards against the refusal of a request for which a slot is free."""
    capacity = estimate_capacity(own + peers, peers, 15, TIMES, time_left_s)
    assert (own + peers < 15) <= (own + peers < capacity.limit)
    assert capacity.places is not None
    assert math.isfinite(capacity.places)


def test_wait_behind_others() -> None:
    """Guards against a wait that ignores the requests ahead (65 ms a slot)."""
    assert expected_wait_s(14, 15, 1.0) == 0.0
    assert expected_wait_s(17, 15, 1.0) == pytest.approx(0.2)


def test_observed_times_correct_the_profile() -> None:
    """Guards against slow groups that are taken for what the configuration states."""
    observed = ObservedTimes()
    kind = ("engine", "large")
    assert observed.times(kind, TIMES) == TIMES
    for _ in range(100):
        observed.record_complete(kind, TIMES, 2.0)
        observed.record_first_event(kind, TIMES, 0.12)
    times = observed.times(kind, TIMES)
    assert times.slot_s == pytest.approx(2.0, rel=0.01)
    assert times.first_event_s == pytest.approx(0.12, rel=0.1)


def test_times_of_a_plain_service_are_observed() -> None:
    """Guards against an estimate before anything was measured."""
    observed = ObservedTimes()
    kind = ("plain", None)
    assert observed.times(kind, UNKNOWN_TIMES) is UNKNOWN_TIMES
    observed.record_first_event(kind, UNKNOWN_TIMES, 0.02)
    observed.record_complete(kind, UNKNOWN_TIMES, 0.03)
    assert observed.times(kind, UNKNOWN_TIMES) == SlotTimes(0.03, 0.02)


def test_requests_that_queue_unnoticed_do_not_make_all_late() -> None:
    """Guards against a burst in which every request is taken for late.

    Pattern: half of the requests that seem to get a free slot wait 0.3 s at the server.
    """
    observed = ObservedTimes()
    kind = ("engine", "large")
    for number in range(400):
        observed.record_first_event(kind, TIMES, 0.06 + 0.3 * (number % 2))
    assert observed.times(kind, TIMES).first_event_s < 0.12


def test_time_spent_follows_from_the_longest_deadline() -> None:
    """Guards against callers that come back and count as new ones."""
    observed = ObservedTimes()
    assert observed.spent_s("r", 5.0, 4.0) == 0.0
    assert observed.spent_s("r", 5.0, 2.5) == 1.5
    assert observed.spent_s("r", 5.0, 9.0) == 0.0
    assert observed.spent_s("r", 5.0, 2.5) == 2.5
