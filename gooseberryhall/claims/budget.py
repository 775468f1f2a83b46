"""Shares the table's write rate between teams."""

import asyncio
import heapq
import itertools
from collections.abc import Callable

from ..core.clock import now_s

BURST_S = 1.0


class WriteBudget:
    """Grant writes at a limited rate, by weighted fair queueing between teams.

    `rate` returns this node's share in writes per second.
    """

    def __init__(
        self, rate: Callable[[], float], clock: Callable[[], float] = now_s
    ) -> None:
        """Start with a full burst."""
        self._rate = rate
        self._clock = clock
        self._tokens = rate() * BURST_S
        self._refilled_at_s = clock()
        self._virtual_time = 0.0
        self._finish: dict[str, float] = {}
        self._order = itertools.count()
        self._waiting: list[tuple[float, int, float, asyncio.Future[None]]] = []
        self._wake: asyncio.TimerHandle | None = None

    async def async_take(
        self, team: str, weight: int, writes: int, timeout_s: float
    ) -> None:
        """Wait for the right to make some writes. Raises TimeoutError."""
        fut = asyncio.get_running_loop().create_future()
        start = max(self._virtual_time, self._finish.get(team, 0.0))
        finish = start + writes / weight
        self._finish[team] = finish
        heapq.heappush(self._waiting, (finish, next(self._order), writes, fut))
        self._grant()
        async with asyncio.timeout(timeout_s):
            await fut

    def _grant(self) -> None:
        self._refill()
        while self._waiting:
            finish, _, writes, fut = self._waiting[0]
            if fut.done():
                heapq.heappop(self._waiting)
                continue
            if self._tokens < writes:
                self._schedule(writes)
                return
            heapq.heappop(self._waiting)
            self._tokens -= writes
            self._virtual_time = finish
            fut.set_result(None)
        # Nobody waits, so earlier use must not count against any team.
        self._finish.clear()

    def _refill(self) -> None:
        elapsed_s = self._clock() - self._refilled_at_s
        self._refilled_at_s += elapsed_s
        rate = self._rate()
        # A node's share can be below one claim's writes; the burst must still fit one.
        capacity = max(rate * BURST_S, 2.0)
        self._tokens = min(self._tokens + elapsed_s * rate, capacity)

    def _schedule(self, writes: float) -> None:
        if self._wake is not None:
            return
        delay_s = (writes - self._tokens) / max(self._rate(), 1e-3)
        loop = asyncio.get_running_loop()
        self._wake = loop.call_later(delay_s, self._on_wake)

    def _on_wake(self) -> None:
        self._wake = None
        self._grant()
