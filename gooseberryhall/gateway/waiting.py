"""Requests of this node that wait for a server.

Nothing polls: the next request is tried when an attempt ends, when the routing table or
the traffic of other nodes has changed, and when this node may use another place.
"""

import asyncio
import math
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from ..admission.const import MAX_TRIES
from ..admission.decision import (
    Place,
    Verdict,
    WaitEnd,
    chance_key,
    decide,
    is_over_bounds,
    needs_more,
    order_key,
    retry_after_s,
    wait_limit_s,
    work_tokens,
)
from ..admission.estimate import SlotTimes
from ..admission.fair_queue import charge
from ..fleet.models import BackendServer
from .const import MIN_REMAINING_S
from .context import RequestContext
from .metrics import GatewayMetrics
from .observed import Kind
from .placement import Choice, Outlook
from .waiting_pool import Pool, WaitingRequest

# Added to the time at which a place may be used, so that rounding does not miss it.
_TIMER_MARGIN_S = 0.001


class Chooser(Protocol):
    """What this module needs to know of the servers."""

    def choose(self, ctx: RequestContext, now_s: float) -> Choice:
        """Choose a server for a request now."""

    def find_server(self, choice: Choice) -> BackendServer | None:
        """Return the server that was chosen."""

    def outlook(self, ctx: RequestContext, now_s: float) -> Outlook:
        """Return whether servers may take a request, and the wait for a slot there."""

    def expected_times(self, ctx: RequestContext) -> SlotTimes:
        """Return the expected times of a request."""


class Assessment(NamedTuple):
    """Whether a request that got no server may wait."""

    place: Place
    limit_s: float
    expected_wait_s: float
    # Why the request may not wait; None if it may.
    end: WaitEnd | None


@dataclass(slots=True)
class WaitingRequests:
    """Waiting requests by service and model."""

    chooser: Chooser
    metrics: GatewayMetrics
    closed: bool = False
    _pools: dict[Kind, Pool] = field(default_factory=dict)
    _count: int = 0
    _size_bytes: int = 0
    _scheduled: bool = False

    async def async_choose(self, ctx: RequestContext) -> BackendServer | None:
        """Return a server for a request; wait for one for a short time.

        None if there is none in time. An attempt must be started without another pause,
        as requests in flight tell the next one which slots are in use.
        """
        loop = asyncio.get_running_loop()
        pool = self._pools.setdefault(ctx.kind, Pool())
        ctx.wait_end = None
        if not pool.waiting:
            server, _ = self._try(pool, ctx, loop.time())
            if server is not None:
                return server
        return await self._async_wait(pool, ctx)

    def has_waiting(self, kind: Kind) -> bool:
        """Return whether requests of a kind wait."""
        pool = self._pools.get(kind)
        return pool is not None and bool(pool.waiting)

    def snapshot(self, chooser: Chooser, metrics: GatewayMetrics) -> "WaitingRequests":
        """Return a view of the waiting requests for `assess` and `retry_after_s`."""
        return WaitingRequests(chooser, metrics, self.closed, dict(self._pools))

    def assess(self, ctx: RequestContext, now_s: float) -> Assessment:
        """Return whether a request may wait, and for how long."""
        pool = self._pools.get(ctx.kind) or Pool()
        first_event_s = self.chooser.expected_times(ctx).first_event_s
        place = self._create_place(ctx, first_event_s, now_s)
        limit_s = wait_limit_s(
            ctx.route.latency_objective_s,
            ctx.deadline_s - now_s - max(MIN_REMAINING_S, first_event_s),
            late=place.is_late(now_s),
        )
        queue_wait_s = self._queue_wait_s(pool, place, now_s)
        outlook = self.chooser.outlook(ctx, now_s)
        expected_s = min(queue_wait_s + outlook.wait_s, ctx.deadline_s - now_s)
        if not outlook.usable and outlook.wait_s > limit_s:
            return Assessment(place, limit_s, expected_s, WaitEnd.UNSERVABLE)
        verdict = decide(
            has_server=False,
            wait_limit_s=0.0 if self.closed else limit_s,
            expected_wait_s=queue_wait_s,
        )
        end = None
        if verdict is Verdict.REFUSE:
            end = WaitEnd.STOPPED if self.closed else WaitEnd.TOO_LONG
        return Assessment(place, limit_s, expected_s, end)

    def wake(self) -> None:
        """Look for servers of waiting requests."""
        if self._count and not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def close(self) -> None:
        """Refuse all waiting requests, and let none wait from now on."""
        self.closed = True
        for pool in self._pools.values():
            for item in list(pool.waiting):
                self._refuse(item, WaitEnd.STOPPED)

    def retry_after_s(
        self, ctx: RequestContext, now_s: float, spread: float
    ) -> float | None:
        """Return when the caller of a refused request should come back."""
        pool = self._pools.get(ctx.kind)
        if pool is None:
            return None
        return retry_after_s(
            len(pool.waiting), pool.rate.per_s(now_s), ctx.deadline_s - now_s, spread
        )

    def _try(
        self, pool: Pool, ctx: RequestContext, now_s: float
    ) -> tuple[BackendServer | None, Choice]:
        choice = self.chooser.choose(ctx, now_s)
        server = self.chooser.find_server(choice)
        if server is not None:
            pool.rate.record(now_s)
        elif choice.delay_s is not None:
            pool.start_timer(choice.delay_s + _TIMER_MARGIN_S, self.wake)
        return server, choice

    async def _async_wait(
        self, pool: Pool, ctx: RequestContext
    ) -> BackendServer | None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        place, limit_s, ctx.expected_wait_s, end = self.assess(ctx, now_s)
        if end is not None:
            # Requests ahead of it may need a freer server than it does.
            if end is not WaitEnd.UNSERVABLE:
                server, _ = self._try(pool, ctx, now_s)
                if server is not None:
                    return server
            ctx.wait_end = end
            return None
        item = WaitingRequest(ctx, place, loop.create_future())
        self._add(pool, item, now_s)
        try:
            async with asyncio.timeout_at(now_s + limit_s):
                await item.future
        except TimeoutError:
            if not item.future.cancelled():
                return item.future.result()
            # A server may be usable without an event, as after a pause.
            server, _ = self._try(pool, ctx, loop.time())
            if server is None:
                ctx.wait_end = WaitEnd.TIMED_OUT
            return server
        except asyncio.CancelledError:
            # The server that it may just have got is free for another request.
            self.wake()
            raise
        finally:
            self._remove(pool, item, served=False)
            waited_s = loop.time() - now_s
            ctx.waited_s += waited_s
            self.metrics.waited.observe({"route": ctx.route.name}, waited_s)
        return item.future.result()

    @staticmethod
    def _create_place(ctx: RequestContext, first_event_s: float, now_s: float) -> Place:
        if ctx.place is not None:
            ctx.place.returned = True
            if ctx.time_left_s(now_s) == math.inf:
                ctx.place.in_time_until_s = math.inf
            return ctx.place
        return Place(
            team=ctx.team.name if ctx.team else "",
            priority=ctx.priority,
            work=work_tokens(ctx.tokens),
            in_time_until_s=now_s + ctx.time_left_s(now_s) - first_event_s,
            deadline_s=ctx.deadline_s,
            size_bytes=len(ctx.request.body),
            returned=ctx.sends > 0,
        )

    @staticmethod
    def _queue_wait_s(pool: Pool, place: Place, now_s: float) -> float:
        key = order_key(place, now_s)
        ahead = sum(1 for item in pool.waiting if order_key(item.place, now_s) < key)
        return pool.rate.expected_wait_s(ahead, now_s)

    def _add(self, pool: Pool, item: WaitingRequest, now_s: float) -> None:
        place = item.ctx.place = item.place
        if not place.returned:
            place.start_tag = charge(pool.clock, place.team, place.work)
        if not pool.waiting:
            pool.rate.waiting_since_s = now_s
        pool.waiting.append(item)
        self._count += 1
        self._size_bytes += item.place.size_bytes
        self.metrics.waiting.set({}, self._count)
        while is_over_bounds(self._count, self._size_bytes):
            self._refuse(self._find_worst(now_s), WaitEnd.BOUNDS)
        if len(pool.waiting) > 1:
            self.wake()

    def _find_worst(self, now_s: float) -> WaitingRequest:
        return max(
            (item for pool in self._pools.values() for item in pool.waiting),
            key=lambda item: chance_key(item.place, now_s),
        )

    def _refuse(self, item: WaitingRequest, reason: WaitEnd) -> None:
        item.ctx.wait_end = reason
        if not item.future.done():
            item.future.set_result(None)
        self._remove(self._pools[item.ctx.kind], item, served=False)

    def _remove(self, pool: Pool, item: WaitingRequest, *, served: bool) -> None:
        if item not in pool.waiting:
            return
        pool.remove(item, served=served)
        self._count -= 1
        self._size_bytes -= item.place.size_bytes
        self.metrics.waiting.set({}, self._count)

    def _dispatch(self) -> None:
        self._scheduled = False
        now_s = asyncio.get_running_loop().time()
        for pool in self._pools.values():
            if pool.waiting and self._dispatch_next(pool, now_s):
                # The attempt starts before the next call of the event loop.
                self.wake()

    def _dispatch_next(self, pool: Pool, now_s: float) -> bool:
        """Send the first request that has a server; return whether there is one."""
        tried: list[Place] = []
        for item in pool.first(MAX_TRIES, now_s):
            if any(needs_more(item.place, place, now_s) for place in tried):
                continue
            server, choice = self._try(pool, item.ctx, now_s)
            if server is not None:
                item.future.set_result(server)
                self._remove(pool, item, served=True)
                return True
            if choice.delay_s is not None:
                return False
            tried.append(item.place)
        return False
