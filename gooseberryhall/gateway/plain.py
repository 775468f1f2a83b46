"""Forwards requests to plain services."""

import asyncio

from ..fleet.models import BackendServer
from ..telemetry.catalogue import LogEvent
from ..transport.const import MAX_RESPONSE_BYTES
from ..transport.exceptions import ConnectFailedError, TransportError
from ..transport.exchange import ResponseHead
from .caller import CallerConnection
from .const import MAX_REJECTIONS, MIN_REMAINING_S
from .context import RequestContext
from .models import GatewayResponse
from .placement import choose_server
from .refusals import (
    busy_response,
    cold_response,
    no_group_response,
    outcome_unknown_response,
    paused_response,
    timeout_response,
)
from .sending import (
    async_send,
    attempt_deadline_s,
    is_rejection,
    is_server_failure,
    is_success,
    log_request,
    record_crash,
    record_rejection,
    record_success,
    record_unsent,
)
from .state import GatewayState

ServerResponse = tuple[ResponseHead, bytes]


async def async_forward_plain(
    state: GatewayState, ctx: RequestContext, conn: CallerConnection
) -> GatewayResponse | None:
    """Relay a server's response; return a generated response if there is none."""
    server_response: ServerResponse | None = None
    failure_response: GatewayResponse | None = None
    while (server := _next_server(state, ctx)) is not None:
        result = await _async_attempt(state, ctx, server)
        if isinstance(result, GatewayResponse):
            failure_response = result
        elif result is not None:
            server_response = result
            if not (is_server_failure(result[0]) and ctx.is_retryable()):
                break
    if server_response is not None:
        _write_response(conn, server_response)
        return None
    if failure_response is not None:
        return failure_response
    now_s = asyncio.get_running_loop().time()
    soonest_s = state.soonest_return_s(ctx, now_s)
    if soonest_s is not None:
        return paused_response(soonest_s, state.rng)
    retry_s = state.cold_retry_s(ctx, now_s)
    if retry_s is not None:
        return cold_response(retry_s, state.rng)
    return busy_response(state.rng) if ctx.sends else no_group_response(state.rng)


def _next_server(state: GatewayState, ctx: RequestContext) -> BackendServer | None:
    """Return the server for the next attempt, or None if there is none."""
    now_s = asyncio.get_running_loop().time()
    if ctx.rejections >= MAX_REJECTIONS or ctx.deadline_s - now_s < MIN_REMAINING_S:
        return None
    if ctx.ran_on and not ctx.is_retryable():
        return None
    if ctx.sends and state.crashes.is_blocked(ctx.traits):
        return None
    chosen = choose_server(state.server_candidates(ctx, now_s), state.rng)
    if chosen is None or (
        ctx.sends and not state.budget(ctx.service).try_acquire(now_s)
    ):
        return None
    return state.servers().get(chosen.server_id)


async def _async_attempt(
    state: GatewayState, ctx: RequestContext, server: BackendServer
) -> ServerResponse | GatewayResponse | None:
    """Send the request to a server and classify the result.

    Returns the server's response, a generated response if the request may have run, or
    None if it was not run.
    """
    server_id = server.server_id
    ctx.excluded_servers.add(server_id)
    try:
        async with (
            asyncio.timeout_at(attempt_deadline_s(ctx)),
            async_send(state, ctx, server) as sent,
        ):
            ctx.ran_on.append(server_id)
            head = await sent.exchange.async_read_head()
            body = await sent.exchange.async_read_body(MAX_RESPONSE_BYTES)
    except ConnectFailedError as exc:
        record_unsent(ctx, server_id, exc)
        return None
    except TimeoutError:
        if server_id not in ctx.ran_on:
            return None
        state.backends.record_result(server_id, failed=True)
        log_request(LogEvent.SEND_FAILED, "no answer in time", ctx, server=server_id)
        return timeout_response()
    except TransportError as exc:
        state.backends.record_result(server_id, failed=True)
        record_crash(state, ctx, server_id)
        log_request(
            LogEvent.SEND_FAILED,
            str(exc),
            ctx,
            server=server_id,
            crashed=state.crashes.crashed_servers(ctx.fingerprint),
        )
        return outcome_unknown_response("the server broke off")
    return _classify(state, ctx, server_id, (head, body))


def _classify(
    state: GatewayState, ctx: RequestContext, server_id: str, response: ServerResponse
) -> ServerResponse | GatewayResponse | None:
    head = response[0]
    if is_rejection(state, head):
        ctx.ran_on.remove(server_id)
        record_rejection(ctx, server_id, head)
        return None
    state.backends.record_result(server_id, failed=is_server_failure(head))
    if head.status < 300 and not is_success(state, head):  # noqa: PLR2004
        return outcome_unknown_response("the server's answer is not signed")
    record_success(state, ctx)
    return response


def _write_response(conn: CallerConnection, response: ServerResponse) -> None:
    head, body = response
    conn.begin_response(head, length=len(body))
    conn.write_body(body)
    conn.end_response()
