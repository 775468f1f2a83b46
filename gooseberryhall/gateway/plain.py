"""Forwards requests to plain services."""

import asyncio

from ..fleet.models import BackendServer
from ..telemetry.catalogue import LogEvent
from ..transport.const import MAX_RESPONSE_BYTES
from ..transport.exceptions import ConnectFailedError, TransportError
from ..transport.exchange import ResponseHead
from .caller import CallerConnection
from .const import FIRST_TRY_SHARE, MAX_REJECTIONS, MIN_SEND_S
from .context import RequestContext
from .models import GatewayResponse
from .placement import choose_server
from .refusals import outcome_unknown, refuse_busy, refuse_no_group, timed_out
from .sending import (
    async_send,
    is_rejection,
    is_server_failure,
    is_success,
    log_request,
)
from .state import GatewayState

Answer = tuple[ResponseHead, bytes]


async def async_forward_plain(
    state: GatewayState, ctx: RequestContext, conn: CallerConnection
) -> GatewayResponse | None:
    """Answer the caller with a server's response, or return an answer of our own."""
    fallback: Answer | None = None
    failure: GatewayResponse | None = None
    while (server := _next_server(state, ctx)) is not None:
        result = await _async_try(state, ctx, server)
        if isinstance(result, GatewayResponse):
            failure = result
        elif result is not None:
            fallback = result
            if not (is_server_failure(result[0]) and ctx.may_run_again()):
                break
    if fallback is not None:
        _deliver(conn, fallback)
        return None
    if failure is not None:
        return failure
    return refuse_busy(state.rng) if ctx.sends else refuse_no_group(state.rng)


def _next_server(state: GatewayState, ctx: RequestContext) -> BackendServer | None:
    """Return the server of the next try, or None if there is none."""
    now_s = asyncio.get_running_loop().time()
    if ctx.rejections >= MAX_REJECTIONS or ctx.deadline_s - now_s < MIN_SEND_S:
        return None
    if ctx.ran_on and not ctx.may_run_again():
        return None
    chosen = choose_server(state.server_candidates(ctx, now_s), state.rng)
    if chosen is None or (ctx.sends and not state.budget(ctx.service).take(now_s)):
        return None
    return state.servers().get(chosen.server_id)


async def _async_try(
    state: GatewayState, ctx: RequestContext, server: BackendServer
) -> Answer | GatewayResponse | None:
    """Return the server's answer, our own if its fate is open, None if not run."""
    server_id = server.server_id
    ctx.excluded.add(server_id)
    try:
        async with (
            asyncio.timeout_at(_try_until(ctx)),
            async_send(state, ctx, server) as sent,
        ):
            ctx.ran_on.append(server_id)
            head = await sent.exchange.async_head()
            body = await sent.exchange.async_body(MAX_RESPONSE_BYTES)
    except ConnectFailedError as exc:
        ctx.rejections += 1
        log_request(LogEvent.SEND_FAILED, str(exc), ctx, server=server_id, ran="no")
        return None
    except TimeoutError:
        if server_id not in ctx.ran_on:
            return None
        state.backends.note_result(server_id, failed=True)
        log_request(LogEvent.SEND_FAILED, "no answer in time", ctx, server=server_id)
        return timed_out()
    except TransportError as exc:
        state.backends.note_result(server_id, failed=True)
        state.crashes.note_crash(
            ctx.fingerprint, server_id, asyncio.get_running_loop().time()
        )
        log_request(LogEvent.SEND_FAILED, str(exc), ctx, server=server_id)
        return outcome_unknown("the server broke off")
    return _classify(state, ctx, server_id, (head, body))


def _classify(
    state: GatewayState, ctx: RequestContext, server_id: str, answer: Answer
) -> Answer | GatewayResponse | None:
    head = answer[0]
    if is_rejection(state, head):
        ctx.ran_on.remove(server_id)
        ctx.rejections += 1
        log_request(
            LogEvent.REQUEST_REJECTED,
            "server did not run the request",
            ctx,
            server=server_id,
            status=head.status,
        )
        return None
    state.backends.note_result(server_id, failed=is_server_failure(head))
    if head.status < 300 and not is_success(state, head):  # noqa: PLR2004
        return outcome_unknown("the server's answer is not signed")
    state.crashes.note_success(ctx.fingerprint)
    return answer


def _try_until(ctx: RequestContext) -> float:
    """Return the end of this try; an idempotent one leaves time for another."""
    now_s = asyncio.get_running_loop().time()
    if not ctx.may_run_again() or len(ctx.ran_on) + 1 >= ctx.route.attempts:
        return ctx.deadline_s
    return now_s + (ctx.deadline_s - now_s) * FIRST_TRY_SHARE


def _deliver(conn: CallerConnection, answer: Answer) -> None:
    head, body = answer
    conn.begin_response(head, length=len(body))
    conn.write_body(body)
    conn.end_response()
