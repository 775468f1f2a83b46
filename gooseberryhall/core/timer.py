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

# Subscribers that are due within this time are called together, because each wake-up of
# the process costs more than a callback that is a little early.
_COALESCE_S = 0.005
# Share of its period by which a callback may be early.
_COALESCE_SHARE = 0.1


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
        self._wake_up: asyncio.Future[None] | None = None

    def async_subscribe(
        self, period_s: float, callback: Callable[[], None], *, jitter: float = 0.0
    ) -> Callable[[], None]:
        """Call `callback` every `period_s` seconds.

        Each period varies randomly by up to the fraction `jitter`. Returns a function
        that cancels the subscription.
        """
        subscription = _Subscription(period_s, jitter, callback)
        self._push(subscription)
        self._wake()

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
        started_s = self._clock()
        while self._queue:
            due_s, _, subscription = self._queue[0]
            early_s = min(_COALESCE_S, subscription.period_s * _COALESCE_SHARE)
            if due_s - early_s > started_s:
                return
            heapq.heappop(self._queue)
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
        """Wait until the next subscriber is due or the queue changes."""
        loop = asyncio.get_running_loop()
        self._wake_up = loop.create_future()
        handle = None
        if self._queue:
            delay_s = max(0.0, self._queue[0][0] - self._clock())
            handle = loop.call_later(delay_s, self._wake)
        try:
            await self._wake_up
        finally:
            self._wake_up = None
            if handle is not None:
                handle.cancel()

    def _wake(self) -> None:
        if self._wake_up is not None and not self._wake_up.done():
            self._wake_up.set_result(None)
