"""Ring buffer of a process's events, read by the time line command."""

from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

from ..core.clock import now_s, wall_time_s
from .const import TIMELINE_CAPACITY_EVENTS, TIMELINE_PAGE_EVENTS


@dataclass(frozen=True, slots=True)
class TimelineEvent:
    """An event of one process.

    `seq` orders the entries of one process; `time_s` is wall-clock time. The command
    corrects clock differences with the clock reading that `/timeline` returns.
    """

    seq: int
    time_s: float
    kind: str
    fields: dict[str, Any] = field(default_factory=dict)


class Timeline:
    """Keep the newest events of this process."""

    def __init__(
        self,
        capacity: int = TIMELINE_CAPACITY_EVENTS,
        clock: Callable[[], float] = wall_time_s,
    ) -> None:
        """Create an empty time line."""
        self._entries: deque[TimelineEvent] = deque(maxlen=capacity)
        self._clock = clock
        self._next_seq = 1

    def record(self, kind: str, **fields: Any) -> None:
        """Add an event. Fields must not hold tokens, prompts or bodies."""
        self._entries.append(TimelineEvent(self._next_seq, self._clock(), kind, fields))
        self._next_seq += 1

    def page(self, after: int) -> dict[str, Any]:
        """Return the entries after a sequence number, oldest first."""
        newer = [entry for entry in self._entries if entry.seq > after]
        return {
            "time_s": self._clock(),
            "uptime_clock_s": now_s(),
            "entries": [asdict(entry) for entry in newer[:TIMELINE_PAGE_EVENTS]],
            "more": len(newer) > TIMELINE_PAGE_EVENTS,
        }
