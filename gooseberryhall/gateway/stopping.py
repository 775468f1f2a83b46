"""Decides which requests a node takes while it stops, and ends the others in time."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """Times of a planned stop on the clock of the event loop, in seconds."""

    # Callers reach other nodes from then on.
    balanced_s: float
    # All requests are answered by then; the connections are closed afterwards.
    ends_s: float

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


@dataclass(slots=True)
class Stopping:
    """The planned stop of this node, if it has begun, and the requests in progress."""

    schedule: StopSchedule | None = None
    # What became of requests because of the stop, by outcome.
    outcomes: Counter[StopOutcome] = field(default_factory=Counter)
    _limits: set[asyncio.Timeout] = field(default_factory=set)

    def begin(self, schedule: StopSchedule) -> None:
        """Limit the requests in progress, and those to come, to the end of the stop."""
        self.schedule = schedule
        for limit in self._limits:
            limit.reschedule(schedule.ends_s)

    @property
    def in_progress(self) -> int:
        """Return the number of requests that are being forwarded."""
        return len(self._limits)

    def accepts(self, received_s: float, deadline_s: float) -> bool:
        """Return whether a request may be passed on to a server."""
        return self.schedule is None or self.schedule.accepts(received_s, deadline_s)

    @asynccontextmanager
    async def async_limit(self) -> AsyncIterator[None]:
        """Raise `TimeoutError` within the block when the stop ends."""
        ends_s = self.schedule.ends_s if self.schedule is not None else None
        async with asyncio.timeout_at(ends_s) as limit:
            self._limits.add(limit)
            try:
                yield
            finally:
                self._limits.discard(limit)
