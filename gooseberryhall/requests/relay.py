"""Runs model requests: carries out attempts and passes chunks on.

The reducer decides what happens to a request; this module opens, reads and closes the
streams and reports what it sees as events. Chunks do not pass through the reducer.
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
from ..routing.events import LatencyObserved, StragglerCheck
from ..routing.models import Target
from .const import CALLER_WRITE_LIMIT_S, SILENT_SAMPLE_S
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
Command = StartAttempt | ResumeAttempt | FailRequest

# The engine answers these when it cannot take any request now, or not for this group.
_REFUSED_STATUSES = frozenset((404, 409, 410, 429))
_SERVER_ERROR = 500


@dataclass(slots=True)
class Call:
    """A model request while its caller waits.

    `held` are chunks without content that are passed on with the first content, so that
    a restart on another group stays possible until then. `target` is where the
    request may be running. `scope` ends the attempt when it is rescheduled to now.
    """

    request: ModelRequest
    body: bytes
    deliver: DeliverChunks
    commands: asyncio.Queue[Command] = field(default_factory=asyncio.Queue)
    target: Target | None = None
    last_seq: int = 0
    held: list[bytes] = field(default_factory=list)
    content_passed: bool = False
    progress_at_s: float = 0.0
    writing: bool = False
    scope: asyncio.Timeout | None = None
    failure: FailRequest | None = None


@dataclass(slots=True)
class CallRegistry:
    """The open calls by request id.

    `resumes` counts resumed streams and `restarts` restarted requests by reason.
    """

    session: aiohttp.ClientSession
    first_token_limit_s: float
    chunk_limit_s: float
    open: dict[str, Call] = field(default_factory=dict)
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

    Raises RequestFailedError when the response cannot be completed.
    """
    call = Call(request, body, deliver)
    calls.open[request.request_id] = call
    ended = False
    try:
        ctx.runtime.async_dispatch(RequestArrived(request))
        while not await _async_next(ctx, calls, call):
            pass
        ended = True
    except RequestFailedError:
        ended = True
        raise
    finally:
        del calls.open[request.request_id]
        if not ended:
            _cancel_at_engine(ctx, calls, call)
            ctx.runtime.async_dispatch(CallerDisconnected(request.request_id))


def async_command(ctx: ProgramContext, calls: CallRegistry, command: Command) -> None:
    """Hand an effect of the reducer to the call that it concerns."""
    if isinstance(command, ResumeAttempt):
        calls.resumes += 1
    call = calls.open.get(command.request_id)
    if call is None:
        return
    if isinstance(command, FailRequest):
        _cancel_at_engine(ctx, calls, call)
    if isinstance(command, FailRequest) and call.scope is not None:
        call.failure = command
        _end_attempt(call)
    else:
        call.commands.put_nowait(command)


def async_abandon_stream(
    ctx: ProgramContext, calls: CallRegistry, effect: RequestRestarted
) -> None:
    """Cancel what an engine may still run of a restarted request."""
    calls.restarts[effect.reason.value] += 1
    call = calls.open.get(effect.request_id)
    if call is not None:
        call.target = None
    if effect.reason is not BreakReason.NOT_CONNECTED:
        _cancel_at(ctx, calls, effect.request_id, effect.target)


def async_end_attempt(calls: CallRegistry, request_id: str) -> None:
    """End an attempt as if it had made no progress."""
    call = calls.open.get(request_id)
    if call is not None:
        _end_attempt(call)


def async_check_progress(calls: CallRegistry) -> None:
    """End the attempts that made no progress within their limit."""
    now = now_s()
    for call in calls.open.values():
        if call.scope is None:
            continue
        limit_s = calls.chunk_limit_s
        if call.writing:
            limit_s = CALLER_WRITE_LIMIT_S
        elif not call.content_passed:
            limit_s = calls.first_token_limit_s
        if now - call.progress_at_s > limit_s:
            _end_attempt(call)


def async_report_gaps(ctx: ProgramContext, calls: CallRegistry) -> None:
    """Pass the gaps since the last look on to the routing."""
    now = now_s()
    for call in calls.open.values():
        if call.target is None or not call.content_passed or call.writing:
            continue
        # A stream that is silent now would otherwise not count as slow.
        silent_s = now - call.progress_at_s
        if silent_s > SILENT_SAMPLE_S:
            calls.gaps.add_to_window(call.target.group, silent_s)
    for group, gap_s in calls.gaps.take_windows().items():
        ctx.runtime.async_dispatch(LatencyObserved(group, gap_s=gap_s))
    ctx.runtime.async_dispatch(StragglerCheck())


async def _async_next(ctx: ProgramContext, calls: CallRegistry, call: Call) -> bool:
    """Carry out the next command; return whether the response is complete."""
    command = await call.commands.get()
    if isinstance(command, FailRequest):
        raise RequestFailedError(command.failure)
    broken: tuple[BreakReason, str] | None = None
    try:
        await _async_attempt(ctx, calls, call, command)
    except TimeoutError:
        if call.writing and call.failure is None:
            raise CallerStalledError from None
        broken = BreakReason.STALLED, "no chunk within the limit"
    except (NotConnectedError, EngineRefusedError, StreamBrokenError) as exc:
        broken = _break_reason(exc), str(exc)
    finally:
        call.scope = None
    if call.failure is not None:
        raise RequestFailedError(call.failure.failure)
    if broken is not None:
        ctx.runtime.async_dispatch(StreamBroken(call.request.request_id, *broken))
        return False
    call.target = None
    ctx.runtime.async_dispatch(RequestFinished(call.request.request_id))
    return True


async def _async_attempt(
    ctx: ProgramContext,
    calls: CallRegistry,
    call: Call,
    command: StartAttempt | ResumeAttempt,
) -> None:
    call.progress_at_s = now_s()
    async with asyncio.timeout(None) as call.scope:
        stream = await _async_open(calls, call, command)
        try:
            while not stream.done:
                chunks = await stream.async_read()
                call.last_seq = stream.last_seq
                await _async_pass_on(ctx, calls, call, chunks, stream.done)
        finally:
            stream.close()


async def _async_open(
    calls: CallRegistry, call: Call, command: StartAttempt | ResumeAttempt
) -> EngineStream:
    request_id, target = call.request.request_id, _engine_target(command.target)
    call.target = command.target
    if isinstance(command, ResumeAttempt):
        await asyncio.sleep(command.pause_s)
        return await async_resume_stream(
            calls.session, target, request_id, call.last_seq
        )
    call.last_seq = 0
    call.held.clear()
    deadline_s = call.request.deadline_s
    deadline_ms = None
    if deadline_s is not None:
        deadline_ms = max(1, round((deadline_s - now_s()) * 1000))
    engine_call = EngineCall(request_id, call.request.priority, deadline_ms, call.body)
    return await async_open_stream(calls.session, target, engine_call)


async def _async_pass_on(
    ctx: ProgramContext,
    calls: CallRegistry,
    call: Call,
    chunks: list[bytes],
    done: bool,
) -> None:
    now = now_s()
    if chunks:
        if call.content_passed and call.target is not None:
            calls.gaps.observe(call.target.group, now - call.progress_at_s)
        call.progress_at_s = now
    if not call.content_passed:
        call.held.extend(chunks)
        if not done and not any(has_content(chunk) for chunk in chunks):
            return
        chunks, call.held = call.held, []
        call.content_passed = True
        ctx.runtime.async_dispatch(FirstContent(call.request.request_id))
    if chunks:
        call.writing = True
        await call.deliver(chunks)
        call.writing = False
        call.progress_at_s = now_s()


def has_content(chunk: bytes) -> bool:
    """Return whether a chunk carries more than the role of the answer."""
    try:
        choices = json.loads(chunk)["choices"]
        return any(
            choice.get("finish_reason") is not None
            or any(value for key, value in choice["delta"].items() if key != "role")
            for choice in choices
        )
    except (ValueError, KeyError, TypeError, AttributeError):
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
    if call.scope is not None:
        call.scope.reschedule(asyncio.get_running_loop().time())


def _cancel_at_engine(ctx: ProgramContext, calls: CallRegistry, call: Call) -> None:
    if call.target is not None:
        _cancel_at(ctx, calls, call.request.request_id, call.target)


def _cancel_at(
    ctx: ProgramContext, calls: CallRegistry, request_id: str, target: Target
) -> None:
    async def async_cancel() -> None:
        try:
            await async_cancel_stream(calls.session, _engine_target(target), request_id)
        except EngineUnavailableError:
            return  # the engine ends the stream by its own limits

    ctx.async_create_task(async_cancel(), "cancel stream")
