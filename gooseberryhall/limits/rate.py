"""Rate of each team and the retry budget."""

from collections import deque

from .const import (
    BURST_S,
    RETRY_MINIMUM,
    RETRY_SHARE,
    RETRY_WINDOW_S,
)
from .state import Bucket, LimitsState


def consume_rate(
    state: LimitsState, team: str, rate_per_s: float, now_s: float
) -> float | None:
    """Take one request from a team's rate; return the seconds to wait if it is used up.

    A team may always send one request after a pause, however low its rate is.
    """
    capacity = max(rate_per_s * BURST_S, 1.0)
    bucket = state.buckets.setdefault(team, Bucket(capacity, now_s))
    refill = (now_s - bucket.updated_at_s) * rate_per_s
    bucket.tokens = min(capacity, bucket.tokens + refill)
    bucket.updated_at_s = now_s
    if bucket.tokens < 1.0:
        return (1.0 - bucket.tokens) / rate_per_s
    bucket.tokens -= 1.0
    return None


def record_request(state: LimitsState, now_s: float) -> None:
    """Count a request, of which retries may be a share."""
    state.retry_window.requests.append(now_s)
    _expire(state.retry_window.requests, now_s)


def consume_retry(state: LimitsState, now_s: float) -> bool:
    """Take one retry from the budget; return whether there was one."""
    window = state.retry_window
    _expire(window.requests, now_s)
    _expire(window.retries, now_s)
    allowed = max(RETRY_MINIMUM, int(len(window.requests) * RETRY_SHARE))
    if len(window.retries) >= allowed:
        return False
    window.retries.append(now_s)
    return True


def _expire(times: deque[float], now_s: float) -> None:
    while times and times[0] <= now_s - RETRY_WINDOW_S:
        times.popleft()
