"""Registers the effects, timers and reports of the requests package."""

import logging
from collections.abc import Callable

import aiohttp

from ..core.context import ProgramContext
from ..core.events import Tick
from ..links.messages import MemberFailure, Message, SuspectReport
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import GAP_REPORT_PERIOD_S, PROGRESS_CHECK_PERIOD_S, TICK_PERIOD_S
from .effects import (
    EndAttempt,
    FailRequest,
    ReportMemberFailure,
    ReportSuspect,
    RequestRestarted,
    ResumeAttempt,
    StartAttempt,
)
from .events import SuspectReported
from .relay import (
    CallEffect,
    CallRegistry,
    async_apply_effect,
    async_cancel_previous_attempt,
    async_check_progress,
    async_end_attempt,
    async_report_gaps,
)

_LOGGER = logging.getLogger(__name__)

SendMessage = Callable[[Message], None]


async def async_setup(ctx: ProgramContext, send: SendMessage) -> CallRegistry:
    """Register effect handlers and timers; return the registry of calls.

    `send` sends a message to the control process.
    """
    connector = aiohttp.TCPConnector(force_close=True, limit=0)
    session = await ctx.stack.enter_async_context(
        aiohttp.ClientSession(connector=connector, auto_decompress=False)
    )
    settings = ctx.settings.entry
    calls = CallRegistry(session, settings.first_token_limit_s, settings.chunk_limit_s)

    def apply_effect(effect: CallEffect) -> None:
        async_apply_effect(ctx, calls, effect)

    ctx.runtime.register(StartAttempt, apply_effect)
    ctx.runtime.register(ResumeAttempt, apply_effect)
    ctx.runtime.register(FailRequest, apply_effect)
    ctx.runtime.register(
        EndAttempt, lambda effect: async_end_attempt(calls, effect.request_id)
    )
    ctx.runtime.register(
        RequestRestarted, lambda effect: _on_restarted(ctx, calls, effect)
    )
    ctx.runtime.register(
        ReportMemberFailure, lambda effect: _on_member_failure(send, effect)
    )
    ctx.runtime.register(ReportSuspect, lambda effect: _on_suspect(ctx, send, effect))
    ctx.timer.async_subscribe(TICK_PERIOD_S, lambda: ctx.runtime.async_dispatch(Tick()))
    ctx.timer.async_subscribe(
        PROGRESS_CHECK_PERIOD_S, lambda: async_check_progress(calls)
    )
    ctx.timer.async_subscribe(
        GAP_REPORT_PERIOD_S, lambda: async_report_gaps(ctx, calls)
    )
    return calls


def async_on_suspect_report(ctx: ProgramContext, message: SuspectReport) -> None:
    """Apply a suspect report of another process."""
    ctx.runtime.async_dispatch(
        SuspectReported(message.fingerprint, message.vm, message.boot_id, message.age_s)
    )


def _on_restarted(
    ctx: ProgramContext, calls: CallRegistry, effect: RequestRestarted
) -> None:
    async_cancel_previous_attempt(ctx, calls, effect)
    ctx.ops.timeline.record(
        "request_restarted",
        request_id=effect.request_id,
        group=effect.target.group,
        reason=effect.reason.value,
    )


def _on_member_failure(send: SendMessage, effect: ReportMemberFailure) -> None:
    target = effect.target
    log_event(
        _LOGGER,
        LogEvent.MEMBER_FAILED_REQUEST,
        "group leader failed a request",
        level=logging.WARNING,
        vm=target.vm,
        group=target.group,
        reason=effect.reason.value,
    )
    send(
        MemberFailure(
            vm=target.vm,
            boot_id=target.boot_id,
            group=target.group,
            generation=target.generation,
            reason=effect.reason.value,
        )
    )


def _on_suspect(ctx: ProgramContext, send: SendMessage, effect: ReportSuspect) -> None:
    log_event(
        _LOGGER,
        LogEvent.REQUEST_SUSPECTED,
        "member crashed while a request was in flight",
        level=logging.WARNING,
        fingerprint=effect.fingerprint,
        vm=effect.vm,
    )
    ctx.ops.timeline.record(
        "request_suspected", fingerprint=effect.fingerprint, vm=effect.vm
    )
    send(
        SuspectReport(
            fingerprint=effect.fingerprint,
            vm=effect.vm,
            boot_id=effect.boot_id,
            age_s=0.0,
        )
    )
