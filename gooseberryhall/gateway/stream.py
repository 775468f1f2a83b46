"""Forwards requests to groups or plain servers and relays their event streams."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

from ..fleet.models import BackendServer
from ..telemetry.catalogue import LogEvent
from ..transport.exceptions import (
    ConnectFailedError,
    ConnectionBrokenError,
    ExchangeAbortedError,
    TransportError,
)
from ..transport.exchange import ResponseHead
from .caller import CallerConnection
from .const import CRASH_ONSET_S, MAX_REJECTIONS, MIN_REMAINING_S
from .context import RequestContext
from .events import EventSplitter
from .models import GatewayResponse
from .recording import (
    record_break,
    record_complete,
    record_first_event,
    record_rejection,
    record_success,
    record_unsent,
)
from .refusals import (
    crashing_request_response,
    outcome_unknown_response,
    timeout_response,
)
from .refusing import unserved_response
from .second_stream import FirstEvent, watch_first_event
from .sending import (
    SentRequest,
    async_send,
    async_wait_until_released,
    attempt_deadline_s,
    is_rejection,
    is_success,
    log_request,
)
from .state import GatewayState
from .takeover import (
    StreamSource,
    Successor,
    async_wait_for_events,
    async_wait_for_head,
)

_HTTP_REDIRECTION = 300


class _Outcome(StrEnum):
    """Outcome of one attempt."""

    COMPLETE = "complete"
    # The server rejected the request without running it.
    REJECTED = "rejected"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    # The server was silent, and another group goes on with the stream.
    MOVED = "moved"


@dataclass(slots=True)
class _RelayedResponse:
    """State of the response to the caller."""

    conn: CallerConnection
    # Head of the current attempt's response; the caller gets the first one.
    head: ResponseHead | None = None
    splitter: EventSplitter = field(default_factory=EventSplitter)
    started: bool = False
    # Time of the first event of the current attempt.
    answering_since_s: float | None = None
    # Timeout of the current attempt; extended by its first event.
    timeout: asyncio.Timeout | None = None
    # The group that goes on with the stream.
    successor: Successor | None = None
    # The first event of the stream while it is waited for, if requests are hedged.
    first_event: FirstEvent | None = None

    def begin(self) -> bool:
        """Send the head to the caller; return False if that was done before."""
        if self.started or self.head is None:
            return False
        self.started = True
        self.conn.begin_response(self.head, length=None)
        return True

    def raise_if_moved(self) -> None:
        """Raise `TransportError` if another group goes on with the stream."""
        if self.successor is not None:
            if self.first_event is not None and self.successor.is_second_copy:
                self.first_event.record(is_second=True)
            raise ExchangeAbortedError("the group is silent, another one goes on")

    def record_events(self, deadline_s: float) -> None:
        """Record that events arrived, which gives the attempt until the deadline."""
        if self.answering_since_s is not None:
            return
        self.answering_since_s = asyncio.get_running_loop().time()
        if self.first_event is not None:
            self.first_event.record()
        if self.timeout is not None:
            self.timeout.reschedule(deadline_s)


async def async_forward_stream(
    state: GatewayState, ctx: RequestContext, conn: CallerConnection
) -> GatewayResponse | None:
    """Relay a server's stream; return a generated response if none was started.

    A broken stream is resumed at another server within the same response if the route
    allows it; otherwise the caller's connection is aborted.
    """
    relay = _RelayedResponse(conn)
    relay.splitter.last_event_id = ctx.request.get(state.header_names.last_event_id)
    outcome = _Outcome.NOT_SENT
    while outcome is _Outcome.MOVED or ctx.rejections < MAX_REJECTIONS:
        if relay.successor is not None:
            outcome = await _async_go_on(state, ctx, relay, relay.successor)
        else:
            server = await _async_next_server(state, ctx)
            if server is None:
                break
            outcome = await _async_attempt(state, ctx, relay, server)
        if outcome is _Outcome.COMPLETE:
            return None
        if _is_final(ctx, outcome):
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


async def _async_next_server(
    state: GatewayState, ctx: RequestContext
) -> BackendServer | None:
    """Return the server of the next attempt, or None if there can be none."""
    loop = asyncio.get_running_loop()
    await async_wait_until_released(state, ctx)
    server = await state.waiting.async_choose(ctx)
    if server is None or ctx.deadline_s - loop.time() < MIN_REMAINING_S:
        return None
    if state.crashes_servers(ctx):
        return None
    if ctx.sends and not state.budget(ctx.service).try_acquire(loop.time()):
        log_request(LogEvent.RETRY_BUDGET_EMPTY, "retry budget is exhausted", ctx)
        return None
    return server


def _is_final(ctx: RequestContext, outcome: _Outcome) -> bool:
    """Return whether no other server may run the request after this outcome."""
    if outcome is _Outcome.MOVED:
        return False
    if outcome is _Outcome.TIMED_OUT:
        return True
    return bool(ctx.ran_on) and not ctx.is_retryable()


def _failure_response(
    state: GatewayState, ctx: RequestContext, outcome: _Outcome
) -> GatewayResponse:
    if outcome is _Outcome.TIMED_OUT:
        return timeout_response()
    if state.crashes_servers(ctx):
        return crashing_request_response(may_have_run=bool(ctx.ran_on or ctx.breaks))
    if ctx.ran_on or ctx.breaks:
        return outcome_unknown_response("the server broke off")
    return unserved_response(state, ctx)


async def _async_attempt(
    state: GatewayState,
    ctx: RequestContext,
    relay: _RelayedResponse,
    server: BackendServer,
) -> _Outcome:
    """Send the request to a server and relay its stream."""
    ctx.excluded_servers.add(server.server_id)
    relay.answering_since_s = None
    sending = async_send(
        state,
        ctx,
        server,
        last_event_id=relay.splitter.last_event_id if relay.started else None,
        can_abandon=lambda: relay.answering_since_s is None,
    )
    deadline_s = _first_event_deadline_s(state, ctx, relay)

    async def async_relay() -> _Outcome:
        async with asyncio.timeout_at(deadline_s) as timeout, sending as sent:
            relay.timeout = timeout
            return await _async_relay(state, ctx, relay, sent)

    return await _async_classify(state, ctx, relay, server, async_relay)


async def _async_go_on(
    state: GatewayState,
    ctx: RequestContext,
    relay: _RelayedResponse,
    successor: Successor,
) -> _Outcome:
    """Relay the stream of a group that took it over."""
    relay.successor = None
    relay.head = successor.head
    relay.splitter = successor.source.splitter
    relay.answering_since_s = asyncio.get_running_loop().time()

    async def async_relay() -> _Outcome:
        async with asyncio.timeout_at(ctx.deadline_s), successor.stack:
            return await _async_relay_events(state, ctx, relay, successor.source)

    server = successor.source.server
    return await _async_classify(state, ctx, relay, server, async_relay)


async def _async_classify(
    state: GatewayState,
    ctx: RequestContext,
    relay: _RelayedResponse,
    server: BackendServer,
    async_relay: Callable[[], Awaitable[_Outcome]],
) -> _Outcome:
    """Run one attempt and return its outcome, also if it fails."""
    loop = asyncio.get_running_loop()
    server_id = server.server_id
    sent_s = loop.time()
    try:
        return await async_relay()
    except ConnectFailedError as exc:
        record_unsent(ctx, server_id, exc)
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
        if relay.successor is not None and relay.successor.is_second_copy:
            # The server was late, which is no failure.
            ctx.ran_on.append(server_id)
            return _Outcome.MOVED
        # A server that broke off does not count against the attempts of an idempotent
        # request, unless another one was asked beside it.
        if server_id not in ctx.ran_on and (ctx.ran_on or not ctx.route.idempotent):
            ctx.ran_on.append(server_id)
        record_break(
            state,
            ctx,
            server,
            exc,
            is_crash=isinstance(exc, ConnectionBrokenError) and _may_be_cause(relay),
            events=relay.splitter.event_count,
            after_s=round(loop.time() - sent_s, 3),
        )
        if relay.successor is not None:
            return _Outcome.MOVED
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


async def _async_relay(
    state: GatewayState,
    ctx: RequestContext,
    relay: _RelayedResponse,
    sent: SentRequest,
) -> _Outcome:
    source = StreamSource(sent.server, sent, relay.splitter)
    if relay.started:
        return await _async_relay_response(state, ctx, relay, source)
    with watch_first_event(state, ctx, source, relay.timeout) as first_event:
        relay.first_event = first_event
        return await _async_relay_response(state, ctx, relay, source)


async def _async_relay_response(
    state: GatewayState,
    ctx: RequestContext,
    relay: _RelayedResponse,
    source: StreamSource,
) -> _Outcome:
    sent = source.sent
    relay.successor = await async_wait_for_head(
        state, ctx, source, started=relay.started
    )
    relay.raise_if_moved()
    head = await sent.exchange.async_read_head()
    server_id = sent.server.server_id
    if is_rejection(state, head):
        record_rejection(ctx, server_id, head)
        return _Outcome.REJECTED
    if not is_success(state, head):
        return await _async_relay_failure(ctx, relay, sent, head)
    relay.head = head
    return await _async_relay_events(state, ctx, relay, source)


async def _async_relay_events(
    state: GatewayState,
    ctx: RequestContext,
    relay: _RelayedResponse,
    source: StreamSource,
) -> _Outcome:
    server_id = source.server.server_id
    while True:
        relay.successor = await async_wait_for_events(
            state, ctx, source, started=relay.started
        )
        relay.raise_if_moved()
        events, source.events = source.events, b""
        if events:
            source.sent.record_progress()
            if relay.answering_since_s is None:
                record_first_event(state, ctx, source.sent)
            relay.record_events(ctx.deadline_s)
            if server_id not in ctx.ran_on:
                ctx.ran_on.append(server_id)
            await _async_write_events(state, ctx, relay, server_id, events)
        elif source.ended:
            break
    relay.begin()
    relay.conn.end_response()
    state.backends.record_result(server_id, failed=False)
    record_complete(state, ctx, source.sent)
    record_success(state, ctx)
    return _Outcome.COMPLETE


async def _async_write_events(
    state: GatewayState,
    ctx: RequestContext,
    relay: _RelayedResponse,
    server_id: str,
    events: bytes,
) -> None:
    if relay.begin():
        _record_first_event(state, ctx, server_id)
    relay.conn.write_body(events)
    await relay.conn.async_drain()


async def _async_relay_failure(
    ctx: RequestContext,
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
    relay.conn.begin_response(head, length=len(body))
    relay.conn.write_body(body)
    relay.conn.end_response()
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
