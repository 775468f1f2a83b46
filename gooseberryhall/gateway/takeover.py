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
from .sending import (
    SentRequest,
    async_send,
    is_rejection,
    is_success,
    log_request,
    record_break,
)
from .state import GatewayState


@dataclass(slots=True)
class Successor:
    """A group that goes on with a stream, with its first events."""

    server: BackendServer
    sent: SentRequest
    head: ResponseHead
    splitter: EventSplitter
    # Complete events that were not relayed yet.
    events: bytes
    # Ends the request at this group.
    stack: AsyncExitStack


async def async_wait_for_data(
    state: GatewayState,
    ctx: RequestContext,
    splitter: EventSplitter,
    sent: SentRequest,
    *,
    started: bool,
) -> Successor | None:
    """Wait until the server sends something or its answer ends.

    `splitter` holds the events that were relayed, `started` tells whether there were
    any. Returns another group if the server is silent and that group answers first.
    """
    while not await sent.exchange.async_wait_for_data():
        current = sent.server.server_id
        opening = _async_open(state, ctx, splitter, current, started=started)
        successor = await _async_first(sent.exchange, asyncio.create_task(opening))
        if successor is not None:
            return successor
    return None


async def _async_first(
    exchange: Exchange, opening: asyncio.Task[Successor | None]
) -> Successor | None:
    """Return the successor if it answers before the silent server does."""
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
            if exchange.error is not None:
                # The silent server broke off, so the other one is not given up.
                await asyncio.wait({opening})
            elif exchange.has_data and not opening.done():
                return None
        stack.pop_all()
        return opening.result()
    return None


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
    state: GatewayState,
    ctx: RequestContext,
    splitter: EventSplitter,
    current: str,
    *,
    started: bool,
) -> Successor | None:
    """Return the first group that goes on with the stream; None if none does now."""
    loop = asyncio.get_running_loop()
    while ctx.rejections < MAX_REJECTIONS and _may_run_elsewhere(ctx, current):
        now_s = loop.time()
        if ctx.deadline_s - now_s < MIN_REMAINING_S:
            return None
        if state.crashes.is_blocked(ctx.traits):
            return None
        chosen = state.choose_candidate(ctx, now_s)
        server = state.servers().get(chosen.server_id) if chosen else None
        if server is None:
            return None
        if not state.budget(ctx.service).try_acquire(now_s):
            log_request(LogEvent.RETRY_BUDGET_EMPTY, "retry budget is exhausted", ctx)
            return None
        ctx.excluded_servers.add(server.server_id)
        try:
            successor = await _async_ask(state, ctx, splitter, server, started=started)
        except ConnectFailedError as exc:
            ctx.rejections += 1
            log_request(
                LogEvent.SEND_FAILED, str(exc), ctx, server=server.server_id, ran="no"
            )
            continue
        except TransportError as exc:
            is_crash = isinstance(exc, ConnectionBrokenError)
            record_break(state, ctx, server.server_id, exc, is_crash=is_crash)
            return None
        if successor is not None:
            return successor
    return None


async def _async_ask(
    state: GatewayState,
    ctx: RequestContext,
    splitter: EventSplitter,
    server: BackendServer,
    *,
    started: bool,
) -> Successor | None:
    """Send the request to a group; return None if it rejects it.

    Raises `TransportError`, also if the group is silent or answers with a failure.
    """
    server_id = server.server_id
    own = EventSplitter(splitter.last_event_id, splitter.event_count)
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
        await _async_wait(sent.exchange)
        head = await sent.exchange.async_read_head()
        if is_rejection(state, head):
            ctx.rejections += 1
            log_request(
                LogEvent.REQUEST_REJECTED,
                "group did not run the request",
                ctx,
                server=server_id,
                status=head.status,
            )
            return None
        if not is_success(state, head):
            ctx.ran_on.append(server_id)
            raise TransportError(f"server answered {head.status}")
        events = b""
        while not events:
            await _async_wait(sent.exchange)
            chunk = await sent.exchange.async_read_chunk()
            if not chunk:
                raise ConnectionBrokenError("stream ended without an event")
            events = own.feed(chunk)
        answering = True
        sent.record_progress()
        ctx.ran_on.append(server_id)
        return Successor(server, sent, head, own, events, stack.pop_all())
    return None


async def _async_wait(exchange: Exchange) -> None:
    if not await exchange.async_wait_for_data():
        raise TransportError("the group is silent, too")
