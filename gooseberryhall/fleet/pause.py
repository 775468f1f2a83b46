"""Detects pauses of this process, after which its knowledge may be outdated.

Pure state; times are those of a clock that includes suspended time.
"""

from dataclasses import dataclass
from typing import Final

from .const import PAUSE_LIMIT_S

# Time in which the datagrams that arrived during the pause are read. The oldest of them
# come first, so they do not show what is known now.
DRAIN_S: Final = 0.2
# Time after which a node that hears nobody acts on what it last knew.
MAX_HOLD_S: Final = 1.0


@dataclass(slots=True)
class PauseHold:
    """Whether this process was paused and has not heard of anybody since then."""

    _ticked_s: float | None = None
    # When the process went on; None after a peer was heard.
    _resumed_s: float | None = None

    def record_tick(self, now_s: float) -> float | None:
        """Record that the process runs; return the length of a pause before it."""
        ticked_s, self._ticked_s = self._ticked_s, now_s
        if ticked_s is None or now_s - ticked_s <= PAUSE_LIMIT_S:
            return None
        self._resumed_s = now_s
        return now_s - ticked_s

    def record_update(self, now_s: float) -> None:
        """Record that an update of a peer was received."""
        if (
            self._resumed_s is not None
            and now_s - self._resumed_s >= DRAIN_S
            and not self._missed_tick(now_s)
        ):
            self._resumed_s = None

    def is_held(self, now_s: float) -> bool:
        """Return whether updates received during a pause may not be applied yet.

        Tasks go on before the first tick after a pause, so the time since the last tick
        counts.
        """
        if self._missed_tick(now_s):
            return True
        return self._resumed_s is not None and now_s - self._resumed_s < MAX_HOLD_S

    def _missed_tick(self, now_s: float) -> bool:
        return self._ticked_s is not None and now_s - self._ticked_s > PAUSE_LIMIT_S
