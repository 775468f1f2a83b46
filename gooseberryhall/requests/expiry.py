"""Finds requests whose deadline or queue wait limit has passed."""

from collections.abc import Iterator

from ..core.state import State
from ..exceptions import Executed
from ..limits.admission import refusal
from ..limits.const import NO_GROUP_WAIT_S
from ..limits.state import QueuedRequest
from ..routing.choice import open_groups
from .const import STATUS_GATEWAY_TIMEOUT, STATUS_SERVICE_UNAVAILABLE
from .models import Failure, RequestPhase
from .state import RequestRecord


def expired_failures(state: State, now_s: float) -> list[tuple[RequestRecord, Failure]]:
    """Return the requests that have to be failed now, each with its failure."""
    expired = dict(_deadline_failures(state, now_s))
    is_open: dict[str, bool] = {}
    for queued in state.limits.queued.values():
        request_id = queued.request.request_id
        failure = _queue_failure(state, queued, is_open, now_s)
        if failure is not None and request_id not in expired:
            expired[request_id] = failure
    return [(state.requests.active[item], expired[item]) for item in expired]


def _deadline_failures(state: State, now_s: float) -> Iterator[tuple[str, Failure]]:
    for record in state.requests.active.values():
        deadline_s = record.request.deadline_s
        if deadline_s is not None and now_s >= deadline_s:
            yield record.request_id, _deadline_failure(record)


def _deadline_failure(record: RequestRecord) -> Failure:
    started = record.sent or record.phase is RequestPhase.RUNNING
    return Failure(
        STATUS_GATEWAY_TIMEOUT,
        "timeout_error",
        "deadline_exceeded",
        "the request was not completed before its deadline",
        Executed.UNKNOWN if started else Executed.NO,
    )


def _queue_failure(
    state: State, queued: QueuedRequest, is_open: dict[str, bool], now_s: float
) -> Failure | None:
    waited_s = now_s - queued.queued_at_s
    if waited_s < min(NO_GROUP_WAIT_S, state.limits.queue_wait_limit_s):
        return None
    record = state.requests.active[queued.request.request_id]
    spec = queued.request.spec
    if spec not in is_open:
        is_open[spec] = bool(open_groups(state, spec, now_s))
    if not is_open[spec]:
        message = "no group that serves this model is open"
        return _queue_refusal(record, "no_group", message, NO_GROUP_WAIT_S)
    if waited_s >= state.limits.queue_wait_limit_s:
        message = "the request waited too long for a free slot"
        return _queue_refusal(
            record, "overloaded", message, state.limits.mean_service_s
        )
    return None


def _queue_refusal(
    record: RequestRecord, code: str, message: str, retry_after_s: float
) -> Failure:
    failure = refusal(STATUS_SERVICE_UNAVAILABLE, code, message, retry_after_s)
    if not record.sent:
        return failure
    return Failure(
        failure.status,
        failure.kind,
        failure.code,
        failure.message,
        Executed.UNKNOWN,
        failure.retry_after_s,
    )
