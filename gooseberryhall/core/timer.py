"""Timer service that calls subscribers periodically."""

import asyncio
import heapq
import itertools
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .clock import now_s

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class _Subscription:
    """A periodic callback."""

    period_s: float
    jitter: float
    callback: Callable[[], None]
    active: bool = True


class TimerService:
    """Call subscribers periodically from one task, each with its own period."""

    def __init__(self, clock: Callable[[], float] = now_s) -> None:
        """Create a service without subscriptions."""
        self._clock = clock
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, _Subscription]] = []
        self._changed = asyncio.Event()

    def async_subscribe(
        self, period_s: float, callback: Callable[[], None], *, jitter: float = 0.0
    ) -> Callable[[], None]:
        """Call `callback` every `period_s` seconds.

        Each period varies randomly by up to the fraction `jitter`. Returns a function
        that cancels the subscription.
        """
        subscription = _Subscription(period_s, jitter, callback)
        self._push(subscription)
        self._changed.set()

        def unsubscribe() -> None:
            subscription.active = False

        return unsubscribe

    async def async_run(self) -> None:
        """Call subscribers when they are due, until cancelled."""
        while True:
            self._run_due()
            await self._async_wait()

    def _push(self, subscription: _Subscription) -> None:
        deviation = random.uniform(-subscription.jitter, subscription.jitter)
        due_s = self._clock() + subscription.period_s * (1 + deviation)
        heapq.heappush(self._queue, (due_s, next(self._sequence), subscription))

    def _run_due(self) -> None:
        while self._queue and self._queue[0][0] <= self._clock():
            _, _, subscription = heapq.heappop(self._queue)
            if not subscription.active:
                continue
            # A failing subscriber must not stop the others.
            try:
                subscription.callback()
            except Exception:  # noqa: BLE001
                log_event(
                    _LOGGER,
                    LogEvent.TIMER_CALLBACK_FAILED,
                    "timer callback failed",
                    level=logging.ERROR,
                    exc_info=True,
                )
            self._push(subscription)

    async def _async_wait(self) -> None:
        self._changed.clear()
        timeout = self._queue[0][0] - self._clock() if self._queue else None
        try:
            await asyncio.wait_for(self._changed.wait(), timeout)
        except TimeoutError:
            return
