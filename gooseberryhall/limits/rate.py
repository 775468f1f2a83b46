"""Rate limit of each team and the retry budget."""

from collections import deque

from .const import (
    BURST_S,
    MIN_RETRIES,
    RETRY_RATIO,
    RETRY_WINDOW_S,
)
from .state import LimitsState, TokenBucket


def consume_rate(
    state: LimitsState, team: str, rate_per_s: float, now_s: float
) -> float | None:
    """Consume one request from a team's rate.

    Returns the seconds to wait if the rate is exceeded, otherwise None. The capacity is
    at least 1, so that a team with a low rate may send one request after a pause.
    """
    capacity = max(rate_per_s * BURST_S, 1.0)
    bucket = state.buckets.setdefault(team, TokenBucket(capacity, now_s))
    refill = (now_s - bucket.updated_at_s) * rate_per_s
    bucket.tokens = min(capacity, bucket.tokens + refill)
    bucket.updated_at_s = now_s
    if bucket.tokens < 1.0:
        return (1.0 - bucket.tokens) / rate_per_s
    bucket.tokens -= 1.0
    return None


def record_request(state: LimitsState, now_s: float) -> None:
    """Record a request, which raises the retry budget."""
    state.retry_window.requests.append(now_s)
    _expire(state.retry_window.requests, now_s)


def consume_retry(state: LimitsState, now_s: float) -> bool:
    """Consume one retry from the budget; return False if the budget is exhausted."""
    window = state.retry_window
    _expire(window.requests, now_s)
    _expire(window.retries, now_s)
    allowed = max(MIN_RETRIES, int(len(window.requests) * RETRY_RATIO))
    if len(window.retries) >= allowed:
        return False
    window.retries.append(now_s)
    return True


def _expire(times: deque[float], now_s: float) -> None:
    while times and times[0] <= now_s - RETRY_WINDOW_S:
        times.popleft()
