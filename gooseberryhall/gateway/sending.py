"""Sends a request to one server and classifies its response.

The results of attempts are recorded in `recording`.
"""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from ..fleet.models import BackendServer
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from ..transport.client import ClientConnection
from ..transport.exceptions import (
    ConnectFailedError,
    SendWithheldError,
)
from ..transport.exchange import Exchange, ResponseHead
from .backends import Attempt
from .const import FIRST_ATTEMPT_SHARE, HOLD_POLL_S
from .context import RequestContext
from .paths import Path, async_send_by_path, is_refused_by_relay, release_path
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)

HTTP_MISDIRECTED_REQUEST = 421
_HTTP_SERVER_ERROR = 500
_HTTP_SUCCESS = range(200, 300)
_MAX_LOGGED_BYTES = 40


@dataclass(slots=True)
class SentRequest:
    """A request that was sent to a server."""

    server: BackendServer
    exchange: Exchange
    conn: ClientConnection
    # Records that the server sent something that is useful to the caller.
    record_progress: Callable[[], None]
    sent_s: float = 0.0
    # Whether the server seemed to have a free slot.
    unqueued: bool = False


@asynccontextmanager
async def async_send(
    state: GatewayState,
    ctx: RequestContext,
    server: BackendServer,
    *,
    last_event_id: bytes | None = None,
    can_abandon: Callable[[], bool] = lambda: False,
) -> AsyncIterator[SentRequest]:
    """Send the request; an exchange that is incomplete on exit is cancelled.

    `can_abandon` returns whether it may be aborted because requests like it crash
    servers. Raises `ConnectFailedError` if nothing was sent.
    """
    loop = asyncio.get_running_loop()

    def record_progress() -> None:
        state.backends.record_progress(server.server_id, loop.time())
        state.zone_failures.record_progress(server.zone)

    rejected = False
    path = Path(server)

    def on_head(head: ResponseHead) -> None:
        nonlocal rejected
        if is_refused_by_relay(state, ctx, path, head):
            return
        rejected = is_rejection(state, head) and head.status != HTTP_MISDIRECTED_REQUEST
        record_progress()
        record_statement(state, server, head, ctx)
        if state.hedging is not None and is_full(state, head):
            state.hedging.record_rejection(ctx.service, loop.time())

    exchange = Exchange(
        expected_id=ctx.request_id,
        is_head_method=ctx.request.method == b"HEAD",
        on_head=on_head,
        memory=state.memory,
    )
    attempt = Attempt(exchange, lambda: ctx.traits, can_abandon)
    key = state.backends.start_attempt(server.server_id, attempt, loop.time())
    try:
        data = ctx.encode(
            state.header_names,
            server,
            loop.time(),
            last_event_id,
            late=state.is_late(ctx, loop.time()),
        )
        ctx.sends += 1
        state.cold.start_placing(server)
        try:
            conn = await async_send_by_path(state, ctx, path, data, exchange)
        finally:
            state.cold.end_placing(server)
        unqueued = state.backends.load(server.server_id) <= state.slots(server)
        yield SentRequest(
            server, exchange, conn, record_progress, loop.time(), unqueued
        )
    except SendWithheldError:
        raise
    except ConnectFailedError:
        state.backends.mark_unreachable(server.server_id, loop.time())
        state.zone_failures.record_failure(server.zone, server.server_id, loop.time())
        raise
    finally:
        exchange.release()
        state.backends.end_attempt(server.server_id, key)
        if rejected:
            # The places of this server were overestimated.
            state.backends.mark_full(server.server_id, loop.time())
            state.allowances.refund(ctx.kind)
        release_path(state, path)


async def async_wait_until_released(state: GatewayState, ctx: RequestContext) -> None:
    """Wait while nothing may be sent because this process was paused.

    A request that is refused meanwhile, or a stream that is given up, could go on at
    another server a moment later.
    """
    loop = asyncio.get_running_loop()
    while loop.time() < ctx.deadline_s:
        if not state.is_held():
            return
        await asyncio.sleep(HOLD_POLL_S)


def record_statement(
    state: GatewayState,
    server: BackendServer,
    head: ResponseHead,
    ctx: RequestContext | None = None,
) -> None:
    """Record what a server says of itself in an answer to a request.

    `ctx` is None if the request is one that a peer passes on by way of this node.
    """
    # An answer of another server at this address says nothing about this one.
    if head.status == HTTP_MISDIRECTED_REQUEST:
        return
    statement = state.decode_statement(head)
    for value in statement.unusable:
        state.metrics.statements.inc({"kind": "unusable"})
        _log_statement(
            LogEvent.STATEMENT_REFUSED,
            "server sent a malformed value about itself; it is ignored",
            ctx,
            server=server.server_id,
            value=value[:_MAX_LOGGED_BYTES].decode("latin-1"),
        )
    now_s = asyncio.get_running_loop().time()
    if not state.statements.record(server, statement, now_s):
        return
    state.metrics.statements.inc({"kind": "leaving" if statement.leaving else "pause"})
    _log_statement(
        LogEvent.SERVER_STATEMENT,
        "server leaves; it gets no more requests"
        if statement.leaving
        else "server asked for a pause; it gets no requests meanwhile",
        ctx,
        server=server.server_id,
        pause_s=statement.pause_s,
    )
    if statement.leaving:
        state.on_leaving()


def _log_statement(
    event: LogEvent, message: str, ctx: RequestContext | None, **fields: Any
) -> None:
    if ctx is not None:
        log_request(event, message, ctx, **fields)
    else:
        log_event(_LOGGER, event, message, **fields)


def attempt_deadline_s(ctx: RequestContext) -> float:
    """Return the deadline of this attempt.

    An idempotent request reserves time for another attempt.
    """
    now_s = asyncio.get_running_loop().time()
    if not ctx.is_retryable() or len(ctx.ran_on) + 1 >= ctx.route.attempts:
        return ctx.deadline_s
    return now_s + (ctx.deadline_s - now_s) * FIRST_ATTEMPT_SHARE


def is_rejection(state: GatewayState, head: ResponseHead) -> bool:
    """Return whether the server rejected the request without running it."""
    return (
        head.status == HTTP_MISDIRECTED_REQUEST
        or head.get(state.header_names.not_run) is not None
    )


def is_full(state: GatewayState, head: ResponseHead) -> bool:
    """Return whether the server rejected the request because of its load."""
    return head.status != HTTP_MISDIRECTED_REQUEST and is_rejection(state, head)


def is_success(state: GatewayState, head: ResponseHead) -> bool:
    """Return whether this is a successful response with a server's signature."""
    return (
        head.status in _HTTP_SUCCESS
        and head.get(state.header_names.signature) is not None
    )


def is_server_failure(head: ResponseHead) -> bool:
    """Return whether the server failed to run the request."""
    return head.status >= _HTTP_SERVER_ERROR


def log_request(
    event: LogEvent, message: str, ctx: RequestContext, **fields: Any
) -> None:
    """Log an event of a request with its id and route."""
    log_event(
        _LOGGER,
        event,
        message,
        request=ctx.request_id.decode("latin-1"),
        route=ctx.route.name,
        **fields,
    )
