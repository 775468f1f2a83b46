"""Records the results of attempts in the state of the request path."""

import asyncio
from typing import Any

from ..fleet.models import BackendServer
from ..telemetry.catalogue import LogEvent
from ..transport.exceptions import ConnectFailedError, TransportError
from ..transport.exchange import ResponseHead
from .const import MAX_LOGGED_PARTS
from .context import RequestContext
from .sending import HTTP_MISDIRECTED_REQUEST, SentRequest, log_request
from .state import GatewayState


def record_crash(
    state: GatewayState, ctx: RequestContext, server: BackendServer
) -> None:
    """Record that a server broke off while it ran the request."""
    state.crashes.record_crash(
        ctx.fingerprint,
        server.server_id,
        asyncio.get_running_loop().time(),
        ctx.prompt_parts,
        server.incarnation_tag,
    )
    state.on_crash()


def record_unsent(ctx: RequestContext, server_id: str, exc: ConnectFailedError) -> None:
    """Record that nothing was sent to a server."""
    ctx.rejections += 1
    log_request(LogEvent.SEND_FAILED, str(exc), ctx, server=server_id, ran="no")


def record_rejection(ctx: RequestContext, server_id: str, head: ResponseHead) -> None:
    """Record that a server did not run the request.

    A server that was full may get it later, when one of its requests has ended.
    """
    ctx.rejections += 1
    if head.status != HTTP_MISDIRECTED_REQUEST:
        ctx.excluded_servers.discard(server_id)
    log_request(
        LogEvent.REQUEST_REJECTED,
        "server did not run the request",
        ctx,
        server=server_id,
        status=head.status,
    )


def record_break(
    state: GatewayState,
    ctx: RequestContext,
    server: BackendServer,
    exc: TransportError,
    *,
    is_crash: bool,
    **fields: Any,
) -> None:
    """Record that a server did not complete the request.

    `is_crash` tells whether the request may have crashed the server.
    """
    loop = asyncio.get_running_loop()
    server_id = server.server_id
    state.backends.record_result(server_id, failed=True)
    ctx.breaks += 1
    if is_crash:
        record_crash(state, ctx, server)
    elif state.crashes_servers(ctx):
        state.crashes.record_abandoned(
            ctx.fingerprint, server_id, loop.time(), ctx.prompt_parts
        )
    log_request(
        LogEvent.SEND_FAILED,
        str(exc),
        ctx,
        server=server_id,
        parts=ctx.prompt_parts[:MAX_LOGGED_PARTS],
        crashed=state.crashes.crashed_servers(ctx.fingerprint),
        **fields,
    )
    state.metrics.retries.inc({"cause": "broken"})


def record_success(state: GatewayState, ctx: RequestContext) -> None:
    """Record that a server completed the request, so that it is harmless."""
    now_s = asyncio.get_running_loop().time()
    state.crashes.record_success(ctx.fingerprint, now_s, ctx.prompt_parts)


def record_first_event(
    state: GatewayState, ctx: RequestContext, sent: SentRequest
) -> None:
    """Record how long a server took for the first event or a complete answer."""
    if sent.unqueued and ctx.sends == 1:
        took_s = asyncio.get_running_loop().time() - sent.sent_s
        profile = state.profile_times(ctx)
        state.observed.record_first_event(ctx.kind, profile, took_s)


def record_complete(
    state: GatewayState, ctx: RequestContext, sent: SentRequest
) -> None:
    """Record for how long a request took a slot of a server."""
    if sent.unqueued and ctx.sends == 1:
        took_s = asyncio.get_running_loop().time() - sent.sent_s
        profile = state.profile_times(ctx)
        state.observed.record_complete(ctx.kind, profile, took_s)
