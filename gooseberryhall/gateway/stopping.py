"""Decides which requests a node takes while it stops, and ends the others in time."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """Times of a planned stop on the clock of the event loop, in seconds."""

    # Callers reach other nodes from then on.
    balanced_s: float
    # Requests whose response has not begun are answered then.
    ends_s: float
    # Responses that have begun are cut then. There is nothing to say to their callers,
    # so they need not end sooner.
    closes_s: float

    def accepts(self, received_s: float, deadline_s: float) -> bool:
        """Return whether a request may be passed on to a server.

        One that was completely received after callers reach other nodes is taken only
        if its deadline is before the end. Otherwise it might be cut while a server runs
        it, and another node can serve it now.
        """
        return received_s <= self.balanced_s or deadline_s <= self.ends_s


class StopOutcome(StrEnum):
    """How a stop ended a request that no server completed."""

    # The response had begun.
    CUT = "cut"
    # The request was passed on, and its response had not begun.
    UNANSWERED = "unanswered"
    # The request was not passed on.
    REFUSED = "refused"


@dataclass(slots=True, eq=False)
class _Limit:
    """Limit of a request in progress."""

    timeout: asyncio.Timeout
    has_begun: Callable[[], bool]
    _handle: asyncio.TimerHandle | None = None

    def start(self, schedule: StopSchedule) -> None:
        """End the request as the schedule says."""
        loop = asyncio.get_running_loop()
        self._handle = loop.call_at(schedule.ends_s, self._end, schedule)

    def cancel(self) -> None:
        """Remove the limit."""
        if self._handle is not None:
            self._handle.cancel()

    def _end(self, schedule: StopSchedule) -> None:
        end_s = schedule.closes_s if self.has_begun() else schedule.ends_s
        self.timeout.reschedule(end_s)


@dataclass(slots=True)
class Stopping:
    """The planned stop of this node, if it has begun, and the requests in progress."""

    schedule: StopSchedule | None = None
    # What became of requests because of the stop, by outcome.
    outcomes: Counter[StopOutcome] = field(default_factory=Counter)
    _limits: set[_Limit] = field(default_factory=set)

    def begin(self, schedule: StopSchedule) -> None:
        """Limit the requests in progress, and those to come, to the end of the stop."""
        self.schedule = schedule
        for limit in self._limits:
            limit.start(schedule)

    @property
    def in_progress(self) -> int:
        """Return the number of requests that are being forwarded."""
        return len(self._limits)

    def accepts(self, received_s: float, deadline_s: float) -> bool:
        """Return whether a request may be passed on to a server."""
        return self.schedule is None or self.schedule.accepts(received_s, deadline_s)

    @asynccontextmanager
    async def async_limit(self, has_begun: Callable[[], bool]) -> AsyncIterator[None]:
        """Raise `TimeoutError` within the block when the stop ends.

        `has_begun` returns whether the response has begun.
        """
        async with asyncio.timeout(None) as timeout:
            limit = _Limit(timeout, has_begun)
            if self.schedule is not None:
                limit.start(self.schedule)
            self._limits.add(limit)
            try:
                yield
            finally:
                self._limits.discard(limit)
                limit.cancel()
