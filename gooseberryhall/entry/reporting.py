"""Records outcomes of requests in metrics, the log and the time line."""

import logging

from ..core.context import ProgramContext
from ..requests.effects import RequestEnded
from ..requests.models import Outcome
from ..requests.relay import CallRegistry
from ..routing.effects import GroupEjected
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .metrics import EntryMetrics, entry_metrics

_LOGGER = logging.getLogger(__name__)


def async_setup_metrics(ctx: ProgramContext, calls: CallRegistry) -> None:
    """Set up the reporting of requests, ejected groups and the queue."""
    metrics = entry_metrics()
    ctx.runtime.register(
        RequestEnded, lambda effect: _on_request_ended(ctx, metrics, effect)
    )
    ctx.runtime.register(GroupEjected, lambda effect: _on_group_ejected(ctx, effect))
    ctx.ops.add_collector(lambda: metrics.collect(ctx.runtime.state, calls))


def _on_request_ended(
    ctx: ProgramContext, metrics: EntryMetrics, effect: RequestEnded
) -> None:
    metrics.request_ended(effect)
    ctx.ops.timeline.record(
        "request_ended",
        request_id=effect.request_id,
        team=effect.team,
        group=effect.group,
        outcome=effect.outcome.value,
        code=effect.code,
        total_s=round(effect.total_s, 4),
    )
    if effect.outcome is Outcome.FAILED:
        log_event(
            _LOGGER,
            LogEvent.REQUEST_FAILED,
            "request failed",
            level=logging.WARNING,
            request_id=effect.request_id,
            team=effect.team,
            group=effect.group,
            code=effect.code,
        )


def _on_group_ejected(ctx: ProgramContext, effect: GroupEjected) -> None:
    log_event(
        _LOGGER,
        LogEvent.GROUP_EJECTED,
        "slow group temporarily ejected from routing",
        level=logging.WARNING,
        group=effect.group,
    )
    ctx.ops.timeline.record("group_ejected", group=effect.group)
