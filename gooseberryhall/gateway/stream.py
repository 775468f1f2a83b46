"""Forwards requests to groups or plain servers and relays their event streams."""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

from ..fleet.models import BackendServer
from ..telemetry.catalogue import LogEvent
from ..transport.exceptions import (
    ConnectFailedError,
    ConnectionBrokenError,
    TransportError,
)
from ..transport.exchange import ResponseHead
from .caller import CallerConnection
from .const import CRASH_ONSET_S, GROUP_WAIT_SHARE, MAX_REJECTIONS, MIN_REMAINING_S
from .context import RequestContext
from .events import EventSplitter
from .models import GatewayResponse
from .refusals import (
    busy_response,
    crashing_request_response,
    no_group_response,
    outcome_unknown_response,
    paused_response,
    timeout_response,
)
from .sending import (
    SentRequest,
    async_send,
    attempt_deadline_s,
    is_rejection,
    is_success,
    log_request,
    record_crash,
    record_success,
)
from .state import GatewayState

_SERVER_POLL_PERIOD_S = 0.01
_HTTP_REDIRECTION = 300


class _Outcome(StrEnum):
    """Outcome of one attempt."""

    COMPLETE = "complete"
    # The server rejected the request without running it.
    REJECTED = "rejected"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"


@dataclass(slots=True)
class _RelayedResponse:
    """State of the response to the caller."""

    splitter: EventSplitter = field(default_factory=EventSplitter)
    started: bool = False
    # Time of the first event of the current attempt.
    answering_since_s: float | None = None
    # Timeout of the current attempt; extended by its first event.
    timeout: asyncio.Timeout | None = None

    def record_events(self, deadline_s: float) -> None:
        """Record that events arrived, which gives the attempt until the deadline."""
        if self.answering_since_s is not None:
            return
        self.answering_since_s = asyncio.get_running_loop().time()
        if self.timeout is not None:
            self.timeout.reschedule(deadline_s)


async def async_forward_stream(
    state: GatewayState, ctx: RequestContext, conn: CallerConnection
) -> GatewayResponse | None:
    """Relay a server's stream; return a generated response if none was started.

    A broken stream is resumed at another server within the same response if the route
    allows it; otherwise the caller's connection is aborted.
    """
    loop = asyncio.get_running_loop()
    relay = _RelayedResponse()
    relay.splitter.last_event_id = ctx.request.get(state.header_names.last_event_id)
    outcome = _Outcome.NOT_SENT
    while ctx.rejections < MAX_REJECTIONS:
        server = await _async_choose_server(state, ctx)
        if server is None or ctx.deadline_s - loop.time() < MIN_REMAINING_S:
            break
        if state.crashes.is_blocked(ctx.traits):
            break
        if ctx.sends and not state.budget(ctx.service).try_acquire(loop.time()):
            log_request(LogEvent.RETRY_BUDGET_EMPTY, "retry budget is exhausted", ctx)
            break
        outcome = await _async_attempt(state, ctx, conn, relay, server)
        if outcome is _Outcome.COMPLETE:
            return None
        if outcome is _Outcome.TIMED_OUT or (ctx.ran_on and not ctx.is_retryable()):
            break
    if relay.started:
        log_request(
            LogEvent.STREAM_CUT,
            "stream ends incomplete",
            ctx,
            last=outcome,
            events=relay.splitter.event_count,
            sends=ctx.sends,
            on=ctx.ran_on,
        )
        conn.abort()
        return None
    return _failure_response(state, ctx, outcome)


def _failure_response(
    state: GatewayState, ctx: RequestContext, outcome: _Outcome
) -> GatewayResponse:
    if outcome is _Outcome.TIMED_OUT:
        return timeout_response()
    if ctx.ran_on and not ctx.route.idempotent:
        return outcome_unknown_response("the server broke off")
    if state.crashes.is_blocked(ctx.traits):
        return crashing_request_response(may_have_run=ctx.breaks > 0)
    now_s = asyncio.get_running_loop().time()
    if state.candidates(ctx, now_s):
        return busy_response(state.rng)
    soonest_s = state.soonest_return_s(ctx, now_s)
    if soonest_s is not None:
        return paused_response(soonest_s, state.rng)
    return no_group_response(state.rng)


async def _async_choose_server(
    state: GatewayState, ctx: RequestContext
) -> BackendServer | None:
    """Choose a server; wait for a free one during a share of the latency objective."""
    loop = asyncio.get_running_loop()
    wait_until_s = loop.time() + ctx.route.latency_objective_s * GROUP_WAIT_SHARE
    while True:
        now_s = loop.time()
        chosen = state.choose_candidate(ctx, now_s)
        if chosen is not None:
            return state.servers().get(chosen.server_id)
        if now_s >= min(wait_until_s, ctx.deadline_s):
            return None
        await asyncio.sleep(_SERVER_POLL_PERIOD_S)


async def _async_attempt(
    state: GatewayState,
    ctx: RequestContext,
    conn: CallerConnection,
    relay: _RelayedResponse,
    server: BackendServer,
) -> _Outcome:
    loop = asyncio.get_running_loop()
    server_id = server.server_id
    ctx.excluded_servers.add(server_id)
    resume_after = relay.splitter.last_event_id if relay.started else None
    sent_s = loop.time()
    relay.answering_since_s = None
    try:
        async with (
            asyncio.timeout_at(_first_event_deadline_s(state, ctx, relay)) as timeout,
            async_send(
                state,
                ctx,
                server,
                last_event_id=resume_after,
                can_fail_over=lambda: _can_fail_over(state, ctx, relay),
                can_abandon=lambda: relay.answering_since_s is None,
            ) as sent,
        ):
            relay.timeout = timeout
            return await _async_relay(state, ctx, conn, relay, sent)
    except ConnectFailedError as exc:
        ctx.rejections += 1
        log_request(LogEvent.SEND_FAILED, str(exc), ctx, server=server_id, ran="no")
        return _Outcome.NOT_SENT
    except TimeoutError:
        log_request(LogEvent.SEND_FAILED, "no answer in time", ctx, server=server_id)
        state.backends.record_result(server_id, failed=True)
        if server_id not in ctx.ran_on:
            ctx.ran_on.append(server_id)
        if ctx.deadline_s - loop.time() > MIN_REMAINING_S and ctx.is_retryable():
            return _Outcome.BROKEN
        return _Outcome.TIMED_OUT
    except TransportError as exc:
        relay.splitter.discard_partial()
        state.backends.record_result(server_id, failed=True)
        if server_id not in ctx.ran_on and not ctx.route.idempotent:
            ctx.ran_on.append(server_id)
        ctx.breaks += 1
        if isinstance(exc, ConnectionBrokenError) and _may_be_cause(relay):
            record_crash(state, ctx, server_id)
        elif state.crashes.is_blocked(ctx.traits):
            state.crashes.record_abandoned(
                ctx.fingerprint, server_id, loop.time(), ctx.prompt_parts
            )
        log_request(
            LogEvent.SEND_FAILED,
            str(exc),
            ctx,
            server=server_id,
            events=relay.splitter.event_count,
            after_s=round(loop.time() - sent_s, 3),
            parts=ctx.prompt_parts,
            crashed=state.crashes.crashed_servers(ctx.fingerprint),
        )
        state.metrics.retries.inc({"cause": "broken"})
        return _Outcome.BROKEN


def _first_event_deadline_s(
    state: GatewayState, ctx: RequestContext, relay: _RelayedResponse
) -> float:
    """Return until when the first event of this attempt must have arrived.

    Groups that send nothing are noticed by `Backends.check_stalls`. A plain server that
    sends nothing must leave time for another attempt.
    """
    if state.is_grouped(ctx.service) or relay.started:
        return ctx.deadline_s
    return attempt_deadline_s(ctx)


def _may_be_cause(relay: _RelayedResponse) -> bool:
    """Return whether the request may have crashed the server that broke off."""
    if relay.answering_since_s is None:
        return True
    now_s = asyncio.get_running_loop().time()
    return now_s - relay.answering_since_s < CRASH_ONSET_S


def _can_fail_over(
    state: GatewayState, ctx: RequestContext, relay: _RelayedResponse
) -> bool:
    """Return whether another group can complete the request of a stalled group.

    A response that has started and finds no other group would have to be aborted. The
    stalled group may only be slow, so its stream is kept in that case.
    """
    if not ctx.is_retryable():
        return False
    if not relay.started:
        return True
    now_s = asyncio.get_running_loop().time()
    if not state.budget(ctx.service).has_capacity(now_s):
        return False
    return state.choose_candidate(ctx, now_s) is not None


async def _async_relay(
    state: GatewayState,
    ctx: RequestContext,
    conn: CallerConnection,
    relay: _RelayedResponse,
    sent: SentRequest,
) -> _Outcome:
    head = await sent.exchange.async_read_head()
    server_id = sent.server.server_id
    if is_rejection(state, head):
        ctx.rejections += 1
        log_request(
            LogEvent.REQUEST_REJECTED,
            "group did not run the request",
            ctx,
            server=server_id,
            status=head.status,
        )
        return _Outcome.REJECTED
    if not is_success(state, head):
        return await _async_relay_failure(ctx, conn, relay, sent, head)
    while chunk := await sent.exchange.async_read_chunk():
        events = relay.splitter.feed(chunk)
        if not events:
            continue
        sent.record_progress()
        relay.record_events(ctx.deadline_s)
        if server_id not in ctx.ran_on:
            ctx.ran_on.append(server_id)
        if not relay.started:
            relay.started = True
            conn.begin_response(head, length=None)
            _record_first_event(state, ctx, server_id)
        conn.write_body(events)
        await conn.async_drain()
    if relay.splitter.has_partial:
        raise ConnectionBrokenError("stream ended within an event")
    if not relay.started:
        conn.begin_response(head, length=None)
    conn.end_response()
    state.backends.record_result(server_id, failed=False)
    record_success(state, ctx)
    return _Outcome.COMPLETE


async def _async_relay_failure(
    ctx: RequestContext,
    conn: CallerConnection,
    relay: _RelayedResponse,
    sent: SentRequest,
    head: ResponseHead,
) -> _Outcome:
    """Relay a server's failure to the caller.

    Raises `TransportError` if a retry is allowed or the failure cannot be relayed.
    """
    ctx.ran_on.append(sent.server.server_id)
    body = await sent.exchange.async_read_body(1 << 20)
    if relay.started or head.status < _HTTP_REDIRECTION or ctx.is_retryable():
        raise TransportError(f"server answered {head.status}")
    conn.begin_response(head, length=len(body))
    conn.write_body(body)
    conn.end_response()
    return _Outcome.COMPLETE


def _record_first_event(
    state: GatewayState, ctx: RequestContext, server_id: str
) -> None:
    waited_s = asyncio.get_running_loop().time() - ctx.request.received_s
    state.metrics.latency.observe({"route": ctx.route.name}, waited_s)
    log_request(
        LogEvent.STREAM_STARTED,
        "first event",
        ctx,
        server=server_id,
        waited_s=round(waited_s, 3),
        sends=ctx.sends,
    )
