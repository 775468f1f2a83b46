"""Decides whether a request is sent, waits or is refused, and in which order.

Load pattern: in a burst, or after all nodes were lost, more requests arrive than the
servers take. Those that can still be in time go first; the others use what is left, and
what cannot be served soon is refused so early that its caller can come back.
"""

import math
from dataclasses import dataclass
from enum import StrEnum

from .const import (
    DEFAULT_WORK_TOKENS,
    LATE_WAIT_SHARE,
    MAX_WAIT_FACTOR,
    MAX_WAITING_BYTES,
    MAX_WAITING_REQUESTS,
    MIN_RETRY_AFTER_S,
    MIN_STEADY_S,
    RATE_WINDOW_S,
    RETRY_AFTER_SHARE,
    WAIT_SHARE,
)


class Verdict(StrEnum):
    """What happens to a request now."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


class WaitEnd(StrEnum):
    """Why a request stopped waiting without a server."""

    TIMED_OUT = "timed_out"
    # The expected wait is far longer than it may wait.
    TOO_LONG = "too_long"
    # The node holds more waiting requests than it may.
    BOUNDS = "bounds"
    # This node stops.
    STOPPED = "stopped"
    # Servers asked for a pause, or none is left that may run it.
    UNSERVABLE = "unservable"


@dataclass(slots=True)
class Place:
    """A request in the queue of a node."""

    team: str
    priority: int
    # Tokens of its prompt and answer, which its team is charged for.
    work: float
    # Latest start at a free slot that is in time.
    in_time_until_s: float
    deadline_s: float
    size_bytes: int = 0
    start_tag: float = 0.0
    # It was sent before, so that it goes before newer requests and is not charged.
    returned: bool = False

    def is_late(self, now_s: float) -> bool:
        """Return whether the request can no longer be in time."""
        return now_s > self.in_time_until_s

    def time_left_s(self, now_s: float) -> float:
        """Return the time in which it can start usefully."""
        until_s = self.deadline_s if self.is_late(now_s) else self.in_time_until_s
        return until_s - now_s


OrderKey = tuple[bool, int, bool, float, float]


def order_key(place: Place, now_s: float) -> OrderKey:
    """Return the key by which waiting requests are ordered.

    In time, priority, share of the team by work, time left; a request that a server
    rejected keeps its place before newer ones of its priority.
    """
    return (
        place.is_late(now_s),
        place.priority,
        not place.returned,
        place.start_tag,
        place.time_left_s(now_s),
    )


def needs_more(place: Place, other: Place, now_s: float) -> bool:
    """Return whether a request needs a freer server than another one."""
    if place.is_late(now_s):
        return True
    return not other.is_late(now_s) and place.in_time_until_s <= other.in_time_until_s


def chance_key(place: Place, now_s: float) -> tuple[bool, int, float]:
    """Return a key that is highest for the request with the least chance."""
    return (place.is_late(now_s), place.priority, -place.time_left_s(now_s))


def is_over_bounds(requests: int, size_bytes: int) -> bool:
    """Return whether a node holds more waiting requests than it may."""
    return requests > MAX_WAITING_REQUESTS or size_bytes > MAX_WAITING_BYTES


def work_tokens(tokens: tuple[int, int] | None) -> float:
    """Return the work of a request in tokens."""
    return DEFAULT_WORK_TOKENS if tokens is None else max(1, sum(tokens))


def wait_limit_s(objective_s: float, remaining_s: float, *, late: bool) -> float:
    """Return how long a request may wait.

    It is short enough for a refused caller to be in time elsewhere. A request that is
    late may wait longer; it is never held until its deadline.
    """
    if late:
        return max(0.0, remaining_s * LATE_WAIT_SHARE)
    return max(0.0, min(objective_s * WAIT_SHARE, remaining_s * LATE_WAIT_SHARE))


def decide(*, has_server: bool, wait_limit_s: float, expected_wait_s: float) -> Verdict:
    """Return what happens to a request now."""
    if has_server:
        return Verdict.SEND
    if wait_limit_s <= 0.0 or expected_wait_s > MAX_WAIT_FACTOR * wait_limit_s:
        return Verdict.REFUSE
    return Verdict.WAIT


def retry_after_s(
    waiting: int, rate_per_s: float, remaining_s: float, spread: float
) -> float | None:
    """Return when a refused caller should come back; None if no rate was measured.

    That is when the requests of this node are expected to have been served, spread over
    a further interval of the same length by `spread`, a random number from 0 to 1.
    """
    if rate_per_s <= 0.0:
        return None
    drained_s = (waiting + 1) / rate_per_s
    return limit_retry_after_s(drained_s * (1 + spread), remaining_s)


def limit_retry_after_s(delay_s: float, remaining_s: float) -> float:
    """Return a delay that leaves the caller most of its time.

    Callers do not wait longer than a third of it.
    """
    return max(MIN_RETRY_AFTER_S, min(delay_s, remaining_s * RETRY_AFTER_SHARE))


@dataclass(slots=True)
class ServiceRate:
    """Requests that were sent to servers per second, over the last second."""

    count: float = 0.0
    updated_s: float = -math.inf
    # Start of the period in which requests waited without a break.
    waiting_since_s: float | None = None

    def record(self, now_s: float) -> None:
        """Count a request."""
        self.count = self._decayed(now_s) + 1
        self.updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the rate."""
        return self._decayed(now_s) / RATE_WINDOW_S

    def expected_wait_s(self, ahead: int, now_s: float) -> float:
        """Return the wait behind others; 0 if the rate is not that of a backlog.

        The rate of a node that could send all its requests says how many came.
        """
        since_s = self.waiting_since_s
        rate_per_s = self.per_s(now_s)
        if since_s is None or now_s - since_s < MIN_STEADY_S or rate_per_s <= 0.0:
            return 0.0
        return ahead / rate_per_s

    def _decayed(self, now_s: float) -> float:
        return self.count * math.exp(-max(0.0, now_s - self.updated_s) / RATE_WINDOW_S)
