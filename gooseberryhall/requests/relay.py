"""Runs the attempts of model requests and relays chunks to callers.

The reducer decides what happens to a request. This module opens, reads and closes the
streams and reports their state as events. Chunks do not pass through the reducer.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import aiohttp

from ..adapters.engine_stream import (
    EngineCall,
    EngineStream,
    EngineTarget,
    async_cancel_stream,
    async_open_stream,
    async_resume_stream,
)
from ..adapters.exceptions import (
    EchoMismatchError,
    EngineRefusedError,
    EngineUnavailableError,
    NotConnectedError,
    SequenceError,
    StreamBrokenError,
)
from ..core.clock import now_s
from ..core.context import ProgramContext
from ..routing.events import LatencyObserved, StragglerCheckDue
from ..routing.models import Target
from .const import CALLER_WRITE_TIMEOUT_S, STALL_SAMPLE_S
from .effects import FailRequest, RequestRestarted, ResumeAttempt, StartAttempt
from .events import (
    CallerDisconnected,
    FirstContent,
    RequestArrived,
    RequestFinished,
    StreamBroken,
)
from .exceptions import CallerStalledError, RequestFailedError
from .gaps import GapCounts
from .models import BreakReason, ModelRequest

DeliverChunks = Callable[[list[bytes]], Awaitable[None]]
CallEffect = StartAttempt | ResumeAttempt | FailRequest

# Sent by an engine that cannot accept any request now, or none for this group.
_REFUSED_STATUSES = frozenset((404, 409, 410, 429))
_SERVER_ERROR = 500


@dataclass(slots=True)
class Call:
    """A model request whose caller is waiting.

    `effects` are the reducer's decisions that are not executed yet. `buffered_chunks`
    have no content and are delivered with the first content, so that a restart on
    another group stays possible until then. `target` is the group on which the request
    may be running. `attempt_timeout` ends the attempt when rescheduled to now.
    """

    request: ModelRequest
    body: bytes
    deliver: DeliverChunks
    effects: asyncio.Queue[CallEffect] = field(default_factory=asyncio.Queue)
    target: Target | None = None
    last_seq: int = 0
    buffered_chunks: list[bytes] = field(default_factory=list)
    content_delivered: bool = False
    progress_at_s: float = 0.0
    delivering: bool = False
    attempt_timeout: asyncio.Timeout | None = None
    failure: FailRequest | None = None


@dataclass(slots=True)
class CallRegistry:
    """Registry of the open calls by request id.

    `resumes` counts resumed streams, `restarts` counts restarted requests by reason.
    """

    session: aiohttp.ClientSession
    first_token_limit_s: float
    chunk_limit_s: float
    open_calls: dict[str, Call] = field(default_factory=dict)
    gaps: GapCounts = field(default_factory=GapCounts)
    resumes: int = 0
    restarts: Counter[str] = field(default_factory=Counter)


async def async_run_request(
    ctx: ProgramContext,
    calls: CallRegistry,
    request: ModelRequest,
    body: bytes,
    deliver: DeliverChunks,
) -> None:
    """Run a model request and pass its complete response to `deliver`.

    Raises RequestFailedError when the response cannot be completed, and
    CallerStalledError when the caller stops reading.
    """
    call = Call(request, body, deliver)
    calls.open_calls[request.request_id] = call
    ended = False
    try:
        ctx.runtime.async_dispatch(RequestArrived(request))
        while not await _async_execute_next(ctx, calls, call):
            pass
        ended = True
    except RequestFailedError:
        ended = True
        raise
    finally:
        del calls.open_calls[request.request_id]
        if not ended:
            _cancel_call(ctx, calls, call)
            ctx.runtime.async_dispatch(CallerDisconnected(request.request_id))


def async_apply_effect(
    ctx: ProgramContext, calls: CallRegistry, effect: CallEffect
) -> None:
    """Pass an effect of the reducer to its call; ignored when the call has ended."""
    if isinstance(effect, ResumeAttempt):
        calls.resumes += 1
    call = calls.open_calls.get(effect.request_id)
    if call is None:
        return
    if isinstance(effect, FailRequest):
        _cancel_call(ctx, calls, call)
    if isinstance(effect, FailRequest) and call.attempt_timeout is not None:
        call.failure = effect
        _end_attempt(call)
    else:
        call.effects.put_nowait(effect)


def async_cancel_previous_attempt(
    ctx: ProgramContext, calls: CallRegistry, effect: RequestRestarted
) -> None:
    """Cancel the stream that an engine may still run for a restarted request."""
    calls.restarts[effect.reason.value] += 1
    call = calls.open_calls.get(effect.request_id)
    if call is not None:
        call.target = None
    if effect.reason is not BreakReason.NOT_CONNECTED:
        _cancel_stream(ctx, calls, effect.request_id, effect.target)


def async_end_attempt(calls: CallRegistry, request_id: str) -> None:
    """End an attempt as if it had made no progress."""
    call = calls.open_calls.get(request_id)
    if call is not None:
        _end_attempt(call)


def async_check_progress(calls: CallRegistry) -> None:
    """End the attempts that made no progress within their time limit."""
    now = now_s()
    for call in calls.open_calls.values():
        if call.attempt_timeout is None:
            continue
        limit_s = calls.chunk_limit_s
        if call.delivering:
            limit_s = CALLER_WRITE_TIMEOUT_S
        elif not call.content_delivered:
            limit_s = calls.first_token_limit_s
        if now - call.progress_at_s > limit_s:
            _end_attempt(call)


def async_report_gaps(ctx: ProgramContext, calls: CallRegistry) -> None:
    """Report the gaps since the last report to the routing package."""
    now = now_s()
    for call in calls.open_calls.values():
        if call.target is None or not call.content_delivered or call.delivering:
            continue
        # A stalled stream has no gap that ended, so it would not count as slow.
        stalled_s = now - call.progress_at_s
        if stalled_s > STALL_SAMPLE_S:
            calls.gaps.add_to_window(call.target.group, stalled_s)
    for group, gap_s in calls.gaps.pop_mean_gaps().items():
        ctx.runtime.async_dispatch(LatencyObserved(group, gap_s=gap_s))
    ctx.runtime.async_dispatch(StragglerCheckDue())


async def _async_execute_next(
    ctx: ProgramContext, calls: CallRegistry, call: Call
) -> bool:
    """Execute the next effect; return whether the response is complete."""
    effect = await call.effects.get()
    if isinstance(effect, FailRequest):
        raise RequestFailedError(effect.failure)
    broken: tuple[BreakReason, str] | None = None
    try:
        await _async_run_attempt(ctx, calls, call, effect)
    except TimeoutError:
        if call.delivering and call.failure is None:
            raise CallerStalledError from None
        broken = BreakReason.STALLED, "no chunk within the limit"
    except (NotConnectedError, EngineRefusedError, StreamBrokenError) as exc:
        broken = _break_reason(exc), str(exc)
    finally:
        call.attempt_timeout = None
    if call.failure is not None:
        raise RequestFailedError(call.failure.failure)
    if broken is not None:
        ctx.runtime.async_dispatch(StreamBroken(call.request.request_id, *broken))
        return False
    call.target = None
    ctx.runtime.async_dispatch(RequestFinished(call.request.request_id))
    return True


async def _async_run_attempt(
    ctx: ProgramContext,
    calls: CallRegistry,
    call: Call,
    effect: StartAttempt | ResumeAttempt,
) -> None:
    call.progress_at_s = now_s()
    async with asyncio.timeout(None) as call.attempt_timeout:
        stream = await _async_open_attempt(calls, call, effect)
        try:
            while not stream.done:
                chunks = await stream.async_read()
                call.last_seq = stream.last_seq
                await _async_deliver(ctx, calls, call, chunks, stream.done)
        finally:
            stream.close()


async def _async_open_attempt(
    calls: CallRegistry, call: Call, effect: StartAttempt | ResumeAttempt
) -> EngineStream:
    request_id, target = call.request.request_id, _engine_target(effect.target)
    call.target = effect.target
    if isinstance(effect, ResumeAttempt):
        await asyncio.sleep(effect.pause_s)
        return await async_resume_stream(
            calls.session, target, request_id, call.last_seq
        )
    call.last_seq = 0
    call.buffered_chunks.clear()
    deadline_s = call.request.deadline_s
    deadline_ms = None
    if deadline_s is not None:
        deadline_ms = max(1, round((deadline_s - now_s()) * 1000))
    engine_call = EngineCall(request_id, call.request.priority, deadline_ms, call.body)
    return await async_open_stream(calls.session, target, engine_call)


async def _async_deliver(
    ctx: ProgramContext,
    calls: CallRegistry,
    call: Call,
    chunks: list[bytes],
    done: bool,
) -> None:
    now = now_s()
    if chunks:
        if call.content_delivered and call.target is not None:
            calls.gaps.observe(call.target.group, now - call.progress_at_s)
        call.progress_at_s = now
    if not call.content_delivered:
        call.buffered_chunks.extend(chunks)
        if not done and not any(has_content(chunk) for chunk in chunks):
            return
        chunks, call.buffered_chunks = call.buffered_chunks, []
        call.content_delivered = True
        ctx.runtime.async_dispatch(FirstContent(call.request.request_id))
    if chunks:
        call.delivering = True
        await call.deliver(chunks)
        call.delivering = False
        call.progress_at_s = now_s()


def has_content(chunk: bytes) -> bool:
    """Return whether a chunk contains more than the role of the message.

    A chunk that cannot be parsed counts as content.
    """
    try:
        choices = json.loads(chunk)["choices"]
        return any(
            choice.get("finish_reason") is not None
            or any(value for key, value in choice["delta"].items() if key != "role")
            for choice in choices
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return True


def _break_reason(exc: Exception) -> BreakReason:
    match exc:
        case NotConnectedError():
            return BreakReason.NOT_CONNECTED
        case EngineRefusedError(status=status):
            if status >= _SERVER_ERROR or status in _REFUSED_STATUSES:
                return BreakReason.REFUSED
            return BreakReason.REJECTED
        case EchoMismatchError():
            return BreakReason.ECHO
        case SequenceError():
            return BreakReason.SEQUENCE
        case _:
            return BreakReason.BROKEN


def _engine_target(target: Target) -> EngineTarget:
    return EngineTarget(target.address, target.group, target.generation, target.boot_id)


def _end_attempt(call: Call) -> None:
    if call.attempt_timeout is not None:
        call.attempt_timeout.reschedule(asyncio.get_running_loop().time())


def _cancel_call(ctx: ProgramContext, calls: CallRegistry, call: Call) -> None:
    if call.target is not None:
        _cancel_stream(ctx, calls, call.request.request_id, call.target)


def _cancel_stream(
    ctx: ProgramContext, calls: CallRegistry, request_id: str, target: Target
) -> None:
    async def async_cancel() -> None:
        try:
            await async_cancel_stream(calls.session, _engine_target(target), request_id)
        except EngineUnavailableError:
            return  # the engine's own limits end the stream

    ctx.async_create_task(async_cancel(), "cancel stream")
