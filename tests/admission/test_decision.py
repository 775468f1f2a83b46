"""Tests of the order of waiting requests and of refusals."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryhall.admission.decision import (
    Place,
    ServiceRate,
    Verdict,
    decide,
    order_key,
    retry_after_s,
    wait_limit_s,
)
from gooseberryhall.admission.fair_queue import FairClock, advance, charge, refund


@given(
    st.lists(
        st.tuples(st.sampled_from(["a", "b", "c"]), st.integers(1, 4000)),
        min_size=30,
        max_size=60,
    )
)
def test_no_team_or_size_is_starved(arrivals: list[tuple[str, int]]) -> None:
    """Guards against a team that waits for ever behind others with more requests.

    All requests wait at once; a team that has some left is never behind another one by
    more than the largest request.
    """
    clock = FairClock()
    places = []
    for team, work in arrivals:
        place = Place(team, 1, work, 10.0, 20.0)
        place.start_tag = charge(clock, team, work)
        places.append(place)
    served: dict[str, float] = {}
    while len({place.team for place in places}) > 1:
        first = min(places, key=lambda place: order_key(place, 0.0))
        places.remove(first)
        advance(clock, first.start_tag)
        served[first.team] = served.get(first.team, 0.0) + first.work
        work = [served.get(place.team, 0.0) for place in places]
        assert max(served.values()) - min(work) <= 2 * 4000


def test_request_that_leaves_is_not_charged() -> None:
    """Guards against a team that pays for requests that were refused."""
    clock = FairClock()
    first = Place("a", 1, 100.0, 10.0, 20.0, start_tag=charge(clock, "a", 100.0))
    second = Place("a", 1, 100.0, 10.0, 20.0, start_tag=charge(clock, "a", 100.0))
    refund(clock, "a", 100.0, first.start_tag, [second])
    assert second.start_tag == 0.0
    assert charge(clock, "a", 100.0) == 100.0


@given(st.floats(0.05, 5), st.floats(0.0, 8), st.booleans())
def test_wait_is_bounded(objective_s: float, remaining_s: float, late: bool) -> None:
    """Guards against a request that is held until its deadline."""
    limit_s = wait_limit_s(objective_s, remaining_s, late=late)
    assert 0 <= limit_s <= remaining_s / 4
    assert late or limit_s <= objective_s / 8


def test_requests_are_refused_if_the_wait_is_far_too_long() -> None:
    """Guards against holding what cannot be served within its bound."""

    def verdict(expected_wait_s: float, *, free: bool = False) -> Verdict:
        return decide(
            has_server=free, wait_limit_s=0.1, expected_wait_s=expected_wait_s
        )

    assert verdict(0.15) is Verdict.WAIT
    assert verdict(0.25) is Verdict.REFUSE
    assert verdict(9.0, free=True) is Verdict.SEND


def test_rate_of_an_idle_node_is_not_taken_for_its_capacity() -> None:
    """Guards against refusing the start of a burst by the low rate before it."""
    rate = ServiceRate()
    rate.record(0.0)
    rate.waiting_since_s = 1.0
    assert rate.expected_wait_s(5, 1.1) == 0.0
    for number in range(20):
        rate.record(1.0 + number / 20)
    assert rate.expected_wait_s(5, 2.0) == pytest.approx(5 / rate.per_s(2.0))


def test_refused_callers_come_back_spread_over_time() -> None:
    """Guards against callers that all come back at the same moment.

    Pattern: a node with 20 waiting requests serves 50 in a second.
    """
    delays = [retry_after_s(20, 50.0, 6.0, number / 20) or 0 for number in range(20)]
    assert min(delays) == pytest.approx(0.42)
    assert max(delays) > 0.8
    assert retry_after_s(200, 10.0, 3.0, 0.5) == pytest.approx(1.0)
    assert retry_after_s(0, 1000.0, 3.0, 0.5) == 0.05
    assert retry_after_s(0, 0.0, 3.0, 0.5) is None
