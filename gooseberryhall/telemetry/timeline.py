"""Ring buffer of the events of a process, which `/timeline` serves."""

from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

from ..core.clock import now_s, wall_time_s
from .const import TIMELINE_CAPACITY_EVENTS, TIMELINE_PAGE_EVENTS


@dataclass(frozen=True, slots=True)
class TimelineEvent:
    """An event of one process.

    `seq` orders the events of one process; `time_s` is wall-clock time in seconds since
    the epoch. The time line command corrects clock differences between nodes with the
    time that `/timeline` returns.
    """

    seq: int
    time_s: float
    kind: str
    fields: dict[str, Any] = field(default_factory=dict)


class Timeline:
    """The newest events of this process."""

    def __init__(
        self,
        capacity: int = TIMELINE_CAPACITY_EVENTS,
        clock: Callable[[], float] = wall_time_s,
    ) -> None:
        """Create an empty time line."""
        self._events: deque[TimelineEvent] = deque(maxlen=capacity)
        self._clock = clock
        self._next_seq = 1

    def record(self, kind: str, **fields: Any) -> None:
        """Append an event. Fields must not hold tokens, prompts or bodies."""
        self._events.append(TimelineEvent(self._next_seq, self._clock(), kind, fields))
        self._next_seq += 1

    def page(self, after: int) -> dict[str, Any]:
        """Return a page of the events after a sequence number, oldest first."""
        newer = [event for event in self._events if event.seq > after]
        return {
            "time_s": self._clock(),
            "uptime_clock_s": now_s(),
            "entries": [asdict(event) for event in newer[:TIMELINE_PAGE_EVENTS]],
            "more": len(newer) > TIMELINE_PAGE_EVENTS,
        }
