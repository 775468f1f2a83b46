"""Retry budget that limits how many requests a node sends again."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class RetryBudget:
    """Limits the retries of one service within a sliding window.

    Retries may not exceed `ratio` times the requests plus `slack`. The deployment
    limits the retries of all nodes together; `slack` is this node's share of its
    allowance.
    """

    ratio: float
    slack: float
    window_s: float
    _request_times_s: deque[float] = field(default_factory=deque)
    _retry_times_s: deque[float] = field(default_factory=deque)

    def record_request(self, now_s: float) -> None:
        """Count a request from a caller."""
        self._request_times_s.append(now_s)
        # A service without retries would otherwise keep the times of all its requests.
        self._remove_expired(now_s)

    def has_capacity(self, now_s: float) -> bool:
        """Return whether a retry is allowed."""
        self._remove_expired(now_s)
        return (
            len(self._retry_times_s)
            < self.ratio * len(self._request_times_s) + self.slack
        )

    def try_acquire(self, now_s: float) -> bool:
        """Count a retry and return True, or return False if none is allowed."""
        if not self.has_capacity(now_s):
            return False
        self._retry_times_s.append(now_s)
        return True

    def _remove_expired(self, now_s: float) -> None:
        """Remove what happened before the window."""
        window_start_s = now_s - self.window_s
        for times in (self._request_times_s, self._retry_times_s):
            while times and times[0] < window_start_s:
                times.popleft()
