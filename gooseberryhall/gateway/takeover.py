"""Asks another group to go on with a stream whose group is silent.

A silent group may have lost a member, or it may only be slow: a pause of its VM, of the
network or of this node looks the same. The stream stays with the silent group until
another one answers, so that a stream is never given up for a guess.
"""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

from ..fleet.models import BackendServer
from ..telemetry.catalogue import LogEvent
from ..transport.exceptions import (
    ConnectFailedError,
    ConnectionBrokenError,
    TransportError,
)
from ..transport.exchange import Exchange, ResponseHead
from .const import MAX_REJECTIONS, MIN_REMAINING_S
from .context import RequestContext
from .events import EventSplitter
from .recording import (
    record_break,
    record_rejection,
    record_unsent,
)
from .sending import (
    SentRequest,
    async_send,
    is_rejection,
    is_success,
    log_request,
)
from .state import GatewayState


@dataclass(slots=True)
class StreamSource:
    """A server from which a stream comes."""

    server: BackendServer
    sent: SentRequest
    splitter: EventSplitter
    # Complete events that were not relayed yet.
    events: bytes = b""
    ended: bool = False
    # The server of a second copy that is due or running; see `second_stream`.
    second: BackendServer | None = None

    async def async_read(self) -> None:
        """Read what has arrived. Raises `TransportError`."""
        chunk = await self.sent.exchange.async_read_chunk()
        self.ended = not chunk
        self.events = self.splitter.feed(chunk)
        if self.ended and self.splitter.has_partial:
            raise ConnectionBrokenError("stream ended within an event")

    @property
    def has_news(self) -> bool:
        """Return whether there are events to relay, or the stream has ended."""
        return bool(self.events) or self.ended


@dataclass(slots=True)
class Successor:
    """A group that goes on with a stream, from its next events on."""

    source: StreamSource
    head: ResponseHead
    # Ends the request at this group.
    stack: AsyncExitStack
    # Whether it runs a second copy, so that the first server is only late.
    is_second_copy: bool = False


async def async_wait_for_head(
    state: GatewayState, ctx: RequestContext, source: StreamSource, *, started: bool
) -> Successor | None:
    """Wait for the head of the response, or for the end of the connection.

    `started` tells whether events were relayed before. Returns another group if the
    server is silent and that group answers first.
    """
    exchange = source.sent.exchange
    while not await exchange.async_wait_for_data():
        opening = _async_open(state, ctx, source, started=started)
        successor = await _async_first(state, source, asyncio.create_task(opening))
        if successor is not None:
            return successor
    return None


async def async_wait_for_events(
    state: GatewayState, ctx: RequestContext, source: StreamSource, *, started: bool
) -> Successor | None:
    """Wait until the source has complete events, or until its stream ends.

    See `async_wait_for_head`. Raises `TransportError`.
    """
    while not source.has_news:
        if source.second is None and await source.sent.exchange.async_wait_for_data():
            await source.async_read()
            continue
        opening = _async_open(state, ctx, source, started=started)
        successor = await _async_first(state, source, asyncio.create_task(opening))
        if successor is not None:
            return successor
    return None


async def _async_first(
    state: GatewayState, source: StreamSource, opening: asyncio.Task[Successor | None]
) -> Successor | None:
    """Return the successor if it answers before the silent server goes on."""
    exchange = source.sent.exchange
    async with AsyncExitStack() as stack:
        stack.push_async_callback(_async_discard, opening)
        while not opening.done():
            waiting = asyncio.create_task(exchange.async_wait_for_data())
            try:
                await asyncio.wait(
                    {opening, waiting}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                await _async_cancel(waiting)
            if exchange.error is not None or _has_failed(state, source):
                # The silent server broke off, so the other one is not given up.
                await asyncio.wait({opening})
            elif (
                exchange.has_data
                and not opening.done()
                and await _async_goes_on(source)
            ):
                return None
        stack.pop_all()
        return opening.result()
    return None


def _has_failed(state: GatewayState, source: StreamSource) -> bool:
    """Return whether a server answered with a failure while a second copy runs."""
    head = source.sent.exchange.head
    return (
        source.second is not None and head is not None and not is_success(state, head)
    )


async def _async_goes_on(source: StreamSource) -> bool:
    """Return whether a server that was silent has sent something useful.

    Single bytes that complete no event are not.
    """
    if not source.sent.exchange.head_read:
        if source.second is None:
            return True
        # The server of a second copy may send its first event sooner.
        await source.sent.exchange.async_read_head()
        return False
    await source.async_read()
    return source.has_news


async def _async_discard(opening: asyncio.Task[Successor | None]) -> None:
    """End the request to another group."""
    await _async_cancel(opening)
    if opening.cancelled() or opening.exception() is not None:
        return
    successor = opening.result()
    if successor is not None:
        await successor.stack.aclose()


async def _async_cancel(task: asyncio.Task[Any]) -> None:
    if not task.done():
        task.cancel()
        await asyncio.wait({task})


def _may_run_elsewhere(ctx: RequestContext, current: str) -> bool:
    """Return whether another server may run the request beside the silent one."""
    return ctx.is_retryable() and len({*ctx.ran_on, current}) < ctx.route.attempts


async def _async_open(
    state: GatewayState, ctx: RequestContext, source: StreamSource, *, started: bool
) -> Successor | None:
    """Return the first group that goes on with the stream; None if none does now."""
    if source.second is not None:
        return await _async_open_second(state, ctx, source, source.second)
    current = source.server.server_id
    while ctx.rejections < MAX_REJECTIONS and _may_run_elsewhere(ctx, current):
        server = _acquire_server(state, ctx)
        if server is None:
            return None
        own = EventSplitter(source.splitter.last_event_id, source.splitter.event_count)
        try:
            successor = await _async_ask(state, ctx, server, own, started=started)
        except ConnectFailedError as exc:
            record_unsent(ctx, server.server_id, exc)
            continue
        except TransportError as exc:
            is_crash = isinstance(exc, ConnectionBrokenError)
            record_break(state, ctx, server, exc, is_crash=is_crash)
            return None
        if successor is not None:
            return successor
    return None


async def _async_open_second(
    state: GatewayState,
    ctx: RequestContext,
    source: StreamSource,
    server: BackendServer,
) -> Successor | None:
    """Send a second copy; return None if its server does not go on with the stream."""
    server_id = server.server_id
    ctx.excluded_servers.add(server_id)
    own = EventSplitter(source.splitter.last_event_id, source.splitter.event_count)
    try:
        successor = await _async_ask(state, ctx, server, own, started=False)
    except ConnectFailedError as exc:
        record_unsent(ctx, server_id, exc)
        return None
    except TransportError as exc:
        is_crash = isinstance(exc, ConnectionBrokenError)
        record_break(state, ctx, server, exc, is_crash=is_crash)
        return None
    except asyncio.CancelledError:
        state.metrics.hedges.inc({"route": ctx.route.name, "event": "cancelled"})
        raise
    finally:
        source.second = None
    if successor is not None:
        successor.is_second_copy = True
    return successor


def _acquire_server(state: GatewayState, ctx: RequestContext) -> BackendServer | None:
    """Return a server to ask, for which the retry budget has a place."""
    now_s = asyncio.get_running_loop().time()
    if ctx.deadline_s - now_s < MIN_REMAINING_S or state.crashes_servers(ctx):
        return None
    chosen = state.choose_candidate(ctx, now_s)
    server = state.servers().get(chosen.server_id) if chosen else None
    if server is None:
        return None
    if not state.budget(ctx.service).try_acquire(now_s):
        log_request(LogEvent.RETRY_BUDGET_EMPTY, "retry budget is exhausted", ctx)
        return None
    ctx.excluded_servers.add(server.server_id)
    return server


async def _async_ask(
    state: GatewayState,
    ctx: RequestContext,
    server: BackendServer,
    splitter: EventSplitter,
    *,
    started: bool,
) -> Successor | None:
    """Send the request to a group; return None if it rejects it.

    Raises `TransportError`, also if the group is silent or answers with a failure.
    """
    server_id = server.server_id
    answering = False
    async with AsyncExitStack() as stack:
        sent = await stack.enter_async_context(
            async_send(
                state,
                ctx,
                server,
                last_event_id=splitter.last_event_id if started else None,
                can_abandon=lambda: not answering,
            )
        )
        # The group may run the request although it is silent, or is given up.
        ctx.ran_on.append(server_id)
        await _async_wait(sent.exchange)
        head = await sent.exchange.async_read_head()
        if is_rejection(state, head):
            ctx.ran_on.remove(server_id)
            record_rejection(ctx, server_id, head)
            return None
        if not is_success(state, head):
            raise TransportError(f"server answered {head.status}")
        source = StreamSource(server, sent, splitter)
        while not source.has_news:
            await _async_wait(sent.exchange)
            await source.async_read()
        answering = True
        sent.record_progress()
        return Successor(source, head, stack.pop_all())
    return None


async def _async_wait(exchange: Exchange) -> None:
    if not await exchange.async_wait_for_data():
        raise TransportError("the group is silent, too")
