"""Tests of the byte budget of a node."""

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from gooseberryhall.gateway.const import MAX_SMALL_REQUEST_BYTES, SMALL_REQUEST_SHARE
from gooseberryhall.gateway.held import NodeBudget, create_budget
from gooseberryhall.transport.memory import HeldBytes

LIMIT = 1_000_000


@dataclass(eq=False)
class Request:
    """A request that records whether it was given up."""

    is_incomplete: bool = True
    given_up: bool = False

    def abort_for_memory(self) -> None:
        """Record it."""
        self.given_up = True


def _budget() -> NodeBudget:
    return NodeBudget(LIMIT, HeldBytes(LIMIT))


def test_newest_of_the_largest_requests_is_given_up() -> None:
    """Guards against the loss of an ordinary request beside large ones."""
    budget = _budget()
    ordinary, old, new = Request(), Request(), Request()
    budget.incoming.hold(ordinary, 300_000)
    budget.incoming.hold(old, 400_000)
    budget.incoming.hold(new, 400_000)
    assert [item.given_up for item in (ordinary, old, new)] == [False, False, True]
    assert budget.held_bytes == 700_000


def test_small_requests_are_served_beside_a_full_budget() -> None:
    """Guards against ordinary callers that are refused because of a few large ones."""
    budget = _budget()
    budget.requests.hold(Request(is_incomplete=False), LIMIT)
    large, small = Request(), Request()
    budget.incoming.hold(large, MAX_SMALL_REQUEST_BYTES + 1)
    budget.incoming.hold(small, MAX_SMALL_REQUEST_BYTES)
    assert large.given_up
    assert not small.given_up
    budget.requests.hold(Request(is_incomplete=False), LIMIT // 4)
    assert small.given_up


def test_bytes_of_all_kinds_count_together() -> None:
    """Guards against kinds that are within their own bounds but not together."""
    for kind in ("requests", "unsent", "responses"):
        budget = _budget()
        incoming, other = Request(), Request(is_incomplete=False)
        budget.incoming.hold(incoming, LIMIT // 2)
        getattr(budget, kind).hold(other, LIMIT // 2 + 1)
        assert incoming.given_up, kind
        assert not other.given_up, kind
        assert sum(budget.by_kind.values()) == budget.held_bytes


def test_options_only_lower_the_limit() -> None:
    """Guards against an option that lets a node hold more than its VM allows."""
    default = create_budget(160_000_000).limit_bytes
    assert create_budget(160_000_000, 10**12).limit_bytes == default
    assert create_budget(160_000_000, 1000).limit_bytes == 1000
    # One body of the largest size takes twice that.
    assert default > 4 * 4 * 1024 * 1024


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 600_000)), max_size=60))
def test_incomplete_requests_never_exceed_the_budget(
    sizes: list[tuple[int, int]],
) -> None:
    """Guards against bytes that are not counted, or counted after their release."""
    budget = _budget()
    requests = [Request() for _ in range(10)]
    for index, size in sizes:
        budget.incoming.update(requests[index], size)
        assert budget.held_bytes <= LIMIT * (1 + SMALL_REQUEST_SHARE)
    for request in requests:
        budget.incoming.release(request)
    assert budget.held_bytes == 0
