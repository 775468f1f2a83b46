"""Waiting requests for one service and model, in order."""

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from ..admission.decision import Place, ServiceRate, order_key
from ..admission.fair_queue import FairClock, advance, refund
from ..fleet.models import BackendServer
from .context import RequestContext


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits; the future gets its server, or None if it is refused."""

    ctx: RequestContext
    place: Place
    future: asyncio.Future[BackendServer | None]


@dataclass(slots=True)
class Pool:
    """Waiting requests for one service and model."""

    waiting: list[WaitingRequest] = field(default_factory=list)
    clock: FairClock = field(default_factory=FairClock)
    rate: ServiceRate = field(default_factory=ServiceRate)
    timer: asyncio.TimerHandle | None = None

    def remove(self, item: WaitingRequest, *, served: bool) -> None:
        """Remove a request; its team is not charged if it was not served."""
        if item not in self.waiting:
            return
        self.waiting.remove(item)
        place = item.place
        if served:
            advance(self.clock, place.start_tag)
        elif not place.returned:
            others = (
                other.place for other in self.waiting if other.place.team == place.team
            )
            refund(self.clock, place.team, place.work, place.start_tag, others)
        if not self.waiting:
            self.clock.reset()
            self.rate.waiting_since_s = None
            self.cancel_timer()

    def first(self, count: int, now_s: float) -> list[WaitingRequest]:
        """Return the requests that come first and were not decided yet."""
        return heapq.nsmallest(
            count,
            (item for item in self.waiting if not item.future.done()),
            key=lambda item: order_key(item.place, now_s),
        )

    def start_timer(self, delay_s: float, on_expiry: Callable[[], None]) -> None:
        """Start the timer of the next place, instead of the one that runs."""
        self.cancel_timer()
        self.timer = asyncio.get_running_loop().call_later(delay_s, on_expiry)

    def cancel_timer(self) -> None:
        """Cancel the timer of the next place, if it runs."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
