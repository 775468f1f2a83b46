"""Runs a second copy of a request beside the first one.

The first answer wins; the connection of the other copy is closed at once.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from ..fleet.models import BackendServer
from ..telemetry.catalogue import LogEvent
from .context import RequestContext
from .hedging import (
    HedgeConditions,
    HedgePlan,
    HedgeTiming,
    Hedging,
    WithheldReason,
    decide_hedge,
    free_candidates,
    plan_hedge,
)
from .placement import choose_group, choose_server
from .sending import log_request
from .state import GatewayState

_Result = TypeVar("_Result")
# Sends the request to a server and returns the result. Cancelling it closes the
# connection to the server, whose result then does not count.
Attempt = Callable[[BackendServer], Coroutine[Any, Any, _Result]]


def may_hedge(ctx: RequestContext) -> bool:
    """Return whether the route allows that a request runs on two servers."""
    return ctx.route.idempotent and ctx.route.attempts > 1


@dataclass(frozen=True, slots=True)
class HedgedRequest:
    """A request of which a second copy may be sent."""

    state: GatewayState
    hedging: Hedging
    ctx: RequestContext


async def async_run_copies(
    request: HedgedRequest,
    server: BackendServer,
    attempt: Attempt[_Result],
    is_answer: Callable[[_Result], bool],
) -> list[_Result]:
    """Run a request at a server, and a second copy at another one if that is due.

    Returns the first answer, or the results of all copies in the order in which they
    ended if there is no answer.
    """
    timing, plan = plan_copy(request)
    if plan is None:
        result = await attempt(server)
        if is_answer(result):
            record_latency(request, timing)
        return [result]
    copies = [asyncio.create_task(attempt(server))]
    try:
        await asyncio.wait(copies, timeout=plan.due_s - timing.started_s)
        if not copies[0].done():
            other = acquire_server(request, server, timing, plan)
            if other is not None:
                copies.append(asyncio.create_task(attempt(other)))
        return await _async_first_answer(request, timing, copies, is_answer)
    finally:
        if len(copies) > 1 and not copies[1].done():
            record_event(request, "cancelled")
        await _async_cancel(copies)


async def _async_first_answer(
    request: HedgedRequest,
    timing: HedgeTiming,
    copies: list[asyncio.Task[_Result]],
    is_answer: Callable[[_Result], bool],
) -> list[_Result]:
    """Return the first answer, or all results if there is none."""
    results = []
    pending = list(copies)
    while pending:
        await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for copy in [copy for copy in pending if copy.done()]:
            pending.remove(copy)
            result = copy.result()
            if not is_answer(result):
                results.append(result)
                continue
            if copy is copies[0] or copies[0] in pending:
                # A first copy that is given up was at least as slow as this. Without
                # it the quantile would fall with each second copy that wins.
                record_latency(request, timing)
            if len(copies) > 1:
                record_answer(request, is_second=copy is not copies[0])
            return [result]
    return results


def plan_copy(request: HedgedRequest) -> tuple[HedgeTiming, HedgePlan | None]:
    """Return the times of a request that is sent now, and when a copy is due."""
    timing, plan = plan_times(request)
    if isinstance(plan, WithheldReason):
        _record_withheld(request, plan)
        return timing, None
    return timing, plan


def plan_times(
    request: HedgedRequest,
) -> tuple[HedgeTiming, HedgePlan | WithheldReason]:
    """Return the times of a request, and when a copy is due or why there is none."""
    hedging, ctx = request.hedging, request.ctx
    now_s = asyncio.get_running_loop().time()
    timing = HedgeTiming(
        started_s=now_s,
        objective_s=ctx.objective_s,
        deadline_s=ctx.deadline_s,
    )
    estimate = hedging.latencies[ctx.route.name].estimate(hedging.quantile, now_s)
    return timing, plan_hedge(timing, estimate)


def acquire_server(
    request: HedgedRequest,
    current: BackendServer,
    timing: HedgeTiming,
    plan: HedgePlan,
) -> BackendServer | None:
    """Return the server of a second copy that is due; None if it is withheld."""
    other = choose_copy(request, current, timing, plan)
    if isinstance(other, WithheldReason):
        _record_withheld(request, other)
        return None
    record_event(request, "sent")
    log_request(
        LogEvent.HEDGE_SENT,
        "answer is late, a second copy of the request is sent",
        request.ctx,
        first=current.server_id,
        server=other.server_id,
        after_s=round(asyncio.get_running_loop().time() - timing.started_s, 3),
    )
    return other


def choose_copy(
    request: HedgedRequest,
    current: BackendServer,
    timing: HedgeTiming,
    plan: HedgePlan,
) -> BackendServer | WithheldReason:
    """Return the server of a second copy and count it, or why it is withheld."""
    state, hedging, ctx = request.state, request.hedging, request.ctx
    now_s = asyncio.get_running_loop().time()
    choose = choose_group if state.is_grouped(ctx.service) else choose_server
    chosen = choose(free_candidates(state.candidates(ctx, now_s)), state.rng)
    other = state.servers().get(chosen.server_id) if chosen else None
    crashed = state.crashes.crashed_servers(ctx.fingerprint)
    conditions = HedgeConditions(
        stopping=state.stopping.schedule is not None,
        crashes_servers=bool(crashed) or state.crashes_servers(ctx),
        attempt_left=len({*ctx.ran_on, current.server_id}) < ctx.route.attempts,
        overloaded=hedging.was_rejected(ctx.service, now_s)
        or state.waiting.has_waiting(ctx.kind),
        server_free=other is not None,
    )
    reason = decide_hedge(now_s, timing, plan, conditions)
    if reason is None:
        budget = state.budget(ctx.service)
        reason = hedging.share(ctx.service).try_acquire(budget, now_s)
    return reason or other or WithheldReason.NO_SERVER


def record_latency(request: HedgedRequest, timing: HedgeTiming) -> None:
    """Record the latency of an answer that has arrived now."""
    now_s = asyncio.get_running_loop().time()
    latencies = request.hedging.latencies[request.ctx.route.name]
    latencies.record(now_s - timing.started_s, now_s)


def _record_withheld(request: HedgedRequest, reason: WithheldReason) -> None:
    labels = {"route": request.ctx.route.name, "reason": str(reason)}
    request.state.metrics.hedges_withheld.inc(labels)


def record_event(request: HedgedRequest, event: str) -> None:
    """Count what became of a second copy."""
    labels = {"route": request.ctx.route.name, "event": event}
    request.state.metrics.hedges.inc(labels)


def record_answer(request: HedgedRequest, *, is_second: bool) -> None:
    """Record which of two copies was answered first."""
    if is_second:
        record_event(request, "won")
    log_request(
        LogEvent.HEDGE_ENDED,
        "one of two copies was answered first",
        request.ctx,
        answered="second" if is_second else "first",
        on=request.ctx.ran_on,
    )


async def _async_cancel(copies: Sequence[asyncio.Task[Any]]) -> None:
    """End the copies that have not ended, which closes their connections."""
    pending = [copy for copy in copies if not copy.done()]
    for copy in pending:
        copy.cancel()
    if pending:
        await asyncio.wait(pending)
