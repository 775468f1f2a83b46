"""Sends a second copy of a request for a stream whose first event is late.

The stream stays with the first server until the second one has sent an event, as it
does when a group is silent; see `takeover`.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from .context import RequestContext
from .hedging import HedgePlan, HedgeTiming
from .second_copy import (
    HedgedRequest,
    acquire_server,
    may_hedge,
    plan_copy,
    record_answer,
    record_latency,
)
from .state import GatewayState
from .takeover import StreamSource


@dataclass(slots=True)
class FirstEvent:
    """The first event of a stream, for which this node waits."""

    request: HedgedRequest
    timing: HedgeTiming
    source: StreamSource
    timeout: asyncio.Timeout | None
    arrived: bool = False
    # Whether a second copy was sent.
    copied: bool = False

    def send_copy(self, plan: HedgePlan) -> None:
        """Let another server be asked, if a second copy may be sent now."""
        if self.arrived or self.source.has_news:
            return
        if self.timeout is not None and self.timeout.expired():
            return
        current = self.source.server
        second = acquire_server(self.request, current, self.timing, plan)
        if second is None:
            return
        self.copied = True
        if self.timeout is not None:
            # The time that was reserved for another attempt is for both copies.
            self.timeout.reschedule(self.request.ctx.deadline_s)
        self.source.second = second
        self.source.sent.exchange.report_silence()

    def record(self, *, is_second: bool = False) -> None:
        """Record that the first event has arrived."""
        if self.arrived:
            return
        self.arrived = True
        record_latency(self.request, self.timing)
        if self.copied:
            record_answer(self.request, is_second=is_second)


@contextmanager
def watch_first_event(
    state: GatewayState,
    ctx: RequestContext,
    source: StreamSource,
    timeout: asyncio.Timeout | None,
) -> Iterator[FirstEvent | None]:
    """Send a second copy when the first event is late; None if that is switched off."""
    hedging = state.hedging
    if hedging is None or not may_hedge(ctx):
        yield None
        return
    request = HedgedRequest(state, hedging, ctx)
    timing, plan = plan_copy(request)
    first_event = FirstEvent(request, timing, source, timeout)
    if plan is None:
        yield first_event
        return
    loop = asyncio.get_running_loop()
    handle = loop.call_at(plan.due_s, first_event.send_copy, plan)
    try:
        yield first_event
    finally:
        handle.cancel()
