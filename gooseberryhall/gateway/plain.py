"""Forwards requests to plain services."""

import asyncio
from collections.abc import Sequence
from functools import partial

from ..fleet.models import BackendServer
from ..telemetry.catalogue import LogEvent
from ..transport.const import MAX_RESPONSE_BYTES
from ..transport.exceptions import ConnectFailedError, TransportError
from ..transport.exchange import ResponseHead
from .caller import CallerConnection
from .const import MAX_REJECTIONS, MIN_REMAINING_S
from .context import RequestContext
from .models import GatewayResponse
from .recording import (
    record_complete,
    record_crash,
    record_first_event,
    record_rejection,
    record_success,
    record_unsent,
)
from .refusals import outcome_unknown_response, timeout_response
from .refusing import unserved_response
from .second_copy import HedgedRequest, async_run_copies, may_hedge
from .sending import (
    async_send,
    async_wait_until_released,
    attempt_deadline_s,
    is_rejection,
    is_server_failure,
    is_success,
    log_request,
)
from .state import GatewayState

ServerResponse = tuple[ResponseHead, bytes]
# None if the request was not run.
AttemptResult = ServerResponse | GatewayResponse | None


async def async_forward_plain(
    state: GatewayState, ctx: RequestContext, conn: CallerConnection
) -> GatewayResponse | None:
    """Relay a server's response; return a generated response if there is none."""
    server_response: ServerResponse | None = None
    failure_response: GatewayResponse | None = None
    while (server := await _async_next_server(state, ctx)) is not None:
        result = await _async_run(state, ctx, server)
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
    return unserved_response(state, ctx)


async def _async_next_server(
    state: GatewayState, ctx: RequestContext
) -> BackendServer | None:
    """Return the server for the next attempt, or None if there is none."""
    await async_wait_until_released(state, ctx)
    loop = asyncio.get_running_loop()
    if (
        ctx.rejections >= MAX_REJECTIONS
        or ctx.deadline_s - loop.time() < MIN_REMAINING_S
    ):
        return None
    if ctx.ran_on and not ctx.is_retryable():
        return None
    if ctx.sends and state.crashes_servers(ctx):
        return None
    server = await state.waiting.async_choose(ctx)
    if server is None or (
        ctx.sends and not state.budget(ctx.service).try_acquire(loop.time())
    ):
        return None
    return server


async def _async_run(
    state: GatewayState, ctx: RequestContext, server: BackendServer
) -> AttemptResult:
    """Run the request at a server, and beside it at another one if it is hedged."""
    hedging = state.hedging
    if hedging is None or not may_hedge(ctx):
        return await _async_attempt(state, ctx, server)
    attempt = partial(_async_attempt, state, ctx)
    request = HedgedRequest(state, hedging, ctx)
    return _final_result(await async_run_copies(request, server, attempt, _is_answer))


def _is_answer(result: AttemptResult) -> bool:
    """Return whether a result is an answer for the caller, and not a failure."""
    return isinstance(result, tuple) and not is_server_failure(result[0])


def _final_result(results: Sequence[AttemptResult]) -> AttemptResult:
    """Return the first response of a server, or else the first failure.

    An answer is the only result; see `async_run_copies`.
    """
    responses = [result for result in results if isinstance(result, tuple)]
    failures = [result for result in results if result is not None]
    return next(iter((*responses, *failures)), None)


async def _async_attempt(
    state: GatewayState, ctx: RequestContext, server: BackendServer
) -> AttemptResult:
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
            if is_success(state, head):
                record_first_event(state, ctx, sent)
                record_complete(state, ctx, sent)
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
        record_crash(state, ctx, server)
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
) -> AttemptResult:
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
