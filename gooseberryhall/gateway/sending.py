"""Sends a request to one server and classifies what comes back."""

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
from ..transport.exceptions import ConnectFailedError
from ..transport.exchange import Exchange, ResponseHead
from .backends import Attempt
from .context import RequestContext
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)

_MISDIRECTED = 421
_FIRST_FAILURE = 500
_SUCCESS = range(200, 300)


@dataclass(slots=True)
class Sent:
    """A request at a server."""

    server: BackendServer
    exchange: Exchange
    conn: ClientConnection


@asynccontextmanager
async def async_send(
    state: GatewayState,
    ctx: RequestContext,
    server: BackendServer,
    *,
    last_event_id: bytes | None = None,
    may_move: Callable[[], bool] | None = None,
) -> AsyncIterator[Sent]:
    """Send the request; on exit an unfinished exchange is cancelled.

    `may_move` tells whether the request can leave a server that falls silent.
    Raises `ConnectFailedError` if nothing was sent.
    """
    loop = asyncio.get_running_loop()

    def note_progress() -> None:
        state.backends.progress(server.server_id, loop.time())

    exchange = Exchange(
        expected_id=ctx.request_id,
        is_head_method=ctx.request.method == b"HEAD",
        on_progress=note_progress,
    )
    attempt = Attempt(exchange, may_move or ctx.may_run_again)
    key = state.backends.begin(server.server_id, attempt, loop.time())
    conn: ClientConnection | None = None
    try:
        data = ctx.encode(state.header_names, server, loop.time(), last_event_id)
        ctx.sends += 1
        # A reused connection may have been closed by the server meanwhile, which
        # leaves open whether a request that must run at most once was run.
        conn = await state.pool.async_start(
            server.address, data, exchange, fresh=not ctx.route.idempotent
        )
        yield Sent(server, exchange, conn)
    except ConnectFailedError:
        state.backends.suspect(server.server_id, loop.time())
        raise
    finally:
        state.backends.end(server.server_id, key)
        if conn is not None:
            state.pool.release(server.address, conn)


def is_rejection(state: GatewayState, head: ResponseHead) -> bool:
    """Return whether the server states that it did not run the request."""
    return (
        head.status == _MISDIRECTED or head.get(state.header_names.not_run) is not None
    )


def is_success(state: GatewayState, head: ResponseHead) -> bool:
    """Return whether this is a server's signed success."""
    return (
        head.status in _SUCCESS and head.get(state.header_names.signature) is not None
    )


def is_server_failure(head: ResponseHead) -> bool:
    """Return whether the server failed to run the request."""
    return head.status >= _FIRST_FAILURE


def log_request(
    event: LogEvent, message: str, ctx: RequestContext, **fields: Any
) -> None:
    """Write a decision about a request with its id."""
    log_event(
        _LOGGER,
        event,
        message,
        request=ctx.request_id.decode("latin-1"),
        route=ctx.route.name,
        **fields,
    )
