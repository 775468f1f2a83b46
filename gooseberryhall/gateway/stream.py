"""Forwards requests to model groups and relays their event streams."""

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
from .const import MAX_REJECTIONS, MIN_SEND_S, WAIT_SHARE
from .context import RequestContext
from .events import EventSplitter
from .models import GatewayResponse
from .placement import choose_group
from .refusals import outcome_unknown, refuse_busy, refuse_no_group, timed_out
from .sending import Sent, async_send, is_rejection, is_success, log_request
from .state import GatewayState

_WAIT_STEP_S = 0.01
_SUCCESS_BELOW = 300


class _Step(StrEnum):
    """What became of one send."""

    COMPLETE = "complete"
    # The server states that it did not run the request.
    REJECTED = "rejected"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"


@dataclass(slots=True)
class _Relay:
    """A response on its way to the caller."""

    splitter: EventSplitter = field(default_factory=EventSplitter)
    started: bool = False


async def async_forward_stream(
    state: GatewayState, ctx: RequestContext, conn: CallerConnection
) -> GatewayResponse | None:
    """Relay a group's stream; return an answer of our own if none has begun.

    A stream that breaks goes on at another group within the same response if the
    route allows it; otherwise the caller's connection is cut.
    """
    loop = asyncio.get_running_loop()
    relay = _Relay()
    relay.splitter.last_id = ctx.request.get(state.header_names.last_event_id)
    step = _Step.NOT_SENT
    while ctx.rejections < MAX_REJECTIONS:
        server = await _async_choose(state, ctx)
        if server is None or ctx.deadline_s - loop.time() < MIN_SEND_S:
            break
        if ctx.sends and not state.budget(ctx.service).take(loop.time()):
            log_request(LogEvent.RETRY_BUDGET_EMPTY, "no retry left", ctx)
            break
        step = await _async_try(state, ctx, conn, relay, server)
        if step is _Step.COMPLETE:
            return None
        if step is _Step.TIMED_OUT or (ctx.ran_on and not ctx.may_run_again()):
            break
    if relay.started:
        log_request(LogEvent.STREAM_CUT, "stream ends incomplete", ctx, last=step)
        conn.cut()
        return None
    return _own_answer(state, ctx, step)


def _own_answer(
    state: GatewayState, ctx: RequestContext, step: _Step
) -> GatewayResponse:
    if step is _Step.TIMED_OUT:
        return timed_out()
    if ctx.ran_on and not ctx.route.idempotent:
        return outcome_unknown("the group broke off")
    if state.group_candidates(ctx, asyncio.get_running_loop().time()):
        return refuse_busy(state.rng)
    return refuse_no_group(state.rng)


async def _async_choose(
    state: GatewayState, ctx: RequestContext
) -> BackendServer | None:
    """Choose a group; wait a small part of the objective for one to be free."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + ctx.route.latency_objective_s * WAIT_SHARE
    while True:
        now_s = loop.time()
        chosen = choose_group(state.group_candidates(ctx, now_s), state.rng)
        if chosen is not None:
            return state.servers().get(chosen.server_id)
        if now_s >= min(until_s, ctx.deadline_s):
            return None
        await asyncio.sleep(_WAIT_STEP_S)


async def _async_try(
    state: GatewayState,
    ctx: RequestContext,
    conn: CallerConnection,
    relay: _Relay,
    server: BackendServer,
) -> _Step:
    loop = asyncio.get_running_loop()
    server_id = server.server_id
    ctx.excluded.add(server_id)
    resume_at = relay.splitter.last_id if relay.started else None
    sent_s = loop.time()
    try:
        async with (
            asyncio.timeout_at(ctx.deadline_s),
            async_send(
                state,
                ctx,
                server,
                last_event_id=resume_at,
                may_move=lambda: _may_move(state, ctx, relay),
            ) as sent,
        ):
            return await _async_relay(state, ctx, conn, relay, sent)
    except ConnectFailedError as exc:
        ctx.rejections += 1
        log_request(LogEvent.SEND_FAILED, str(exc), ctx, server=server_id, ran="no")
        return _Step.NOT_SENT
    except TimeoutError:
        log_request(LogEvent.SEND_FAILED, "no answer in time", ctx, server=server_id)
        return _Step.TIMED_OUT
    except TransportError as exc:
        relay.splitter.restart()
        if server_id not in ctx.ran_on and not ctx.route.idempotent:
            ctx.ran_on.append(server_id)
        if isinstance(exc, ConnectionBrokenError):
            state.crashes.note_crash(ctx.fingerprint, server_id, loop.time())
        log_request(
            LogEvent.SEND_FAILED,
            str(exc),
            ctx,
            server=server_id,
            events=relay.splitter.events,
            after_s=round(loop.time() - sent_s, 3),
        )
        state.metrics.retries.inc({"cause": "broken"})
        return _Step.BROKEN


def _may_move(state: GatewayState, ctx: RequestContext, relay: _Relay) -> bool:
    """Return whether the request can leave a group that fell silent.

    A response that has begun is cut if it finds no other group. The silent group may
    only be slow, so its stream stays there then.
    """
    if not ctx.may_run_again():
        return False
    if not relay.started:
        return True
    now_s = asyncio.get_running_loop().time()
    if not state.budget(ctx.service).has_room(now_s):
        return False
    return choose_group(state.group_candidates(ctx, now_s), state.rng) is not None


async def _async_relay(
    state: GatewayState,
    ctx: RequestContext,
    conn: CallerConnection,
    relay: _Relay,
    sent: Sent,
) -> _Step:
    head = await sent.exchange.async_head()
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
        return _Step.REJECTED
    if not is_success(state, head):
        return await _async_relay_failure(ctx, conn, relay, sent, head)
    while chunk := await sent.exchange.async_chunk():
        whole = relay.splitter.feed(chunk)
        if not whole:
            continue
        if server_id not in ctx.ran_on:
            ctx.ran_on.append(server_id)
        if not relay.started:
            relay.started = True
            conn.begin_response(head, length=None)
            _note_first(state, ctx, server_id)
        conn.write_body(whole)
        await conn.async_drain()
    if relay.splitter.unfinished:
        raise ConnectionBrokenError("stream ended within an event")
    if not relay.started:
        conn.begin_response(head, length=None)
    conn.end_response()
    state.crashes.note_success(ctx.fingerprint)
    return _Step.COMPLETE


async def _async_relay_failure(
    ctx: RequestContext,
    conn: CallerConnection,
    relay: _Relay,
    sent: Sent,
    head: ResponseHead,
) -> _Step:
    """Pass on a server's failure, or try another group if that is allowed."""
    ctx.ran_on.append(sent.server.server_id)
    body = await sent.exchange.async_body(1 << 20)
    if relay.started or head.status < _SUCCESS_BELOW or ctx.may_run_again():
        raise TransportError(f"server answered {head.status}")
    conn.begin_response(head, length=len(body))
    conn.write_body(body)
    conn.end_response()
    return _Step.COMPLETE


def _note_first(state: GatewayState, ctx: RequestContext, server_id: str) -> None:
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
