"""Bounds the requests that a node sends more than once."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class RetryBudget:
    """Retries of one service within a sliding window.

    The deployment bounds the retries of all nodes together; `slack` is this node's
    part of the number that is allowed on top of the share.
    """

    ratio: float
    slack: float
    window_s: float
    _requests: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def note_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.append(now_s)

    def has_room(self, now_s: float) -> bool:
        """Return whether a retry is left."""
        oldest_s = now_s - self.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
        return len(self._retries) < self.ratio * len(self._requests) + self.slack

    def take(self, now_s: float) -> bool:
        """Count a retry, or return False if none is left."""
        if not self.has_room(now_s):
            return False
        self._retries.append(now_s)
        return True
