"""Limits the writes to the table and shares them between teams."""

import asyncio
import heapq
import itertools
from collections.abc import Callable

from ..core.clock import now_s

BURST_S = 1.0


class WriteBudget:
    """Token bucket for writes with weighted fair queueing between teams.

    `rate` returns this node's share of the write rate in writes per second.
    """

    def __init__(
        self, rate: Callable[[], float], clock: Callable[[], float] = now_s
    ) -> None:
        """Start with a full burst."""
        self._rate = rate
        self._clock = clock
        self._available_writes = rate() * BURST_S
        self._refilled_at_s = clock()
        self._virtual_time = 0.0
        self._team_finish_times: dict[str, float] = {}
        self._sequence = itertools.count()
        self._waiting: list[tuple[float, int, float, asyncio.Future[None]]] = []
        self._wake_timer: asyncio.TimerHandle | None = None

    async def async_acquire(
        self, team: str, weight: int, writes: int, timeout_s: float
    ) -> None:
        """Wait until `writes` writes are granted to a team. Raises TimeoutError."""
        fut = asyncio.get_running_loop().create_future()
        start_time = max(self._virtual_time, self._team_finish_times.get(team, 0.0))
        finish_time = start_time + writes / weight
        self._team_finish_times[team] = finish_time
        heapq.heappush(self._waiting, (finish_time, next(self._sequence), writes, fut))
        self._grant()
        async with asyncio.timeout(timeout_s):
            await fut

    def _grant(self) -> None:
        self._refill()
        while self._waiting:
            finish_time, _, writes, fut = self._waiting[0]
            if fut.done():
                heapq.heappop(self._waiting)
                continue
            if self._available_writes < writes:
                self._schedule_grant(writes)
                return
            heapq.heappop(self._waiting)
            self._available_writes -= writes
            self._virtual_time = finish_time
            fut.set_result(None)
        # With an empty queue, earlier writes must not count against any team.
        self._team_finish_times.clear()

    def _refill(self) -> None:
        elapsed_s = self._clock() - self._refilled_at_s
        self._refilled_at_s += elapsed_s
        rate = self._rate()
        # A node's share can be less than the two writes of a claim; the bucket must
        # still hold them.
        capacity = max(rate * BURST_S, 2.0)
        self._available_writes = min(
            self._available_writes + elapsed_s * rate, capacity
        )

    def _schedule_grant(self, writes: float) -> None:
        if self._wake_timer is not None:
            return
        delay_s = (writes - self._available_writes) / max(self._rate(), 1e-3)
        loop = asyncio.get_running_loop()
        self._wake_timer = loop.call_later(delay_s, self._on_wake)

    def _on_wake(self) -> None:
        self._wake_timer = None
        self._grant()
