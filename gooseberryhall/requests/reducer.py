"""Event handlers of the requests package: the lifecycle of model requests."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..core.effects import Effect
from ..core.events import Event, Tick
from ..exceptions import Executed
from ..limits import admission, queue
from ..limits.rate import consume_retry
from ..membership.evidence import ClosedReason, member_closed_reason
from ..routing.events import LatencyObserved
from ..routing.models import Target
from ..routing.stragglers import observe_latency
from . import service_reducer
from .const import (
    MAX_RESUMES,
    SECOND_RESUME_DELAY_S,
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    STATUS_SERVICE_UNAVAILABLE,
)
from .dispatching import dispatch_queued, release_slot
from .effects import (
    EndAttempt,
    FailRequest,
    ReportMemberFailure,
    RequestEnded,
    RequestRestarted,
    ResumeAttempt,
)
from .events import (
    CallerDisconnected,
    DrainLimitReached,
    FirstContent,
    RequestArrived,
    RequestFinished,
    StreamBroken,
    SuspectReported,
)
from .expiry import expired_failures
from .models import BreakReason, Failure, Outcome, RequestPhase
from .state import RequestRecord
from .suspects import (
    confirm_crashes,
    crash_refusal,
    expire_crashes,
    has_possible_crash,
    is_refused,
    mark_finished,
    record_crash,
    record_possible_crash,
)

if TYPE_CHECKING:
    from ..core.reducer import Handler
    from ..core.state import State

_RESUMABLE_REASONS = frozenset(
    (BreakReason.BROKEN, BreakReason.STALLED, BreakReason.SEQUENCE)
)
# NO_EVIDENCE and STALE are left out: without current evidence a node cannot tell if the
# group still works.
_LOST_GROUP_REASONS = frozenset(
    (
        ClosedReason.NOT_ANSWERING,
        ClosedReason.RESTARTED,
        ClosedReason.OTHER_GROUP,
        ClosedReason.NOT_SERVING,
    )
)
_POSSIBLE_CRASH_REASONS = _RESUMABLE_REASONS | {BreakReason.ECHO}


def _reduce_arrived(
    state: "State", event: RequestArrived, now_s: float
) -> list[Effect]:
    request = event.request
    record = RequestRecord(request, now_s)
    state.requests.active[request.request_id] = record
    if is_refused(state, request.fingerprint):
        return _fail(state, record, crash_refusal(), now_s)
    failure = admission.consume_team_rate(state, request.team, now_s)
    if failure is None:
        failure = admission.check_queue(state, request, now_s)
    if failure is not None:
        return _fail(state, record, failure, now_s)
    queue.enqueue(state.limits, request, now_s)
    effects = dispatch_queued(state, now_s)
    return effects + _shed_excess_request(state, record, now_s)


def _shed_excess_request(
    state: "State", newest: RequestRecord, now_s: float
) -> list[Effect]:
    """Shed one request when the queue is longer than its limit.

    It is the newest queued request of the team with the largest share of the queue, or
    `newest` if that is its own team.
    """
    if len(state.limits.queued) <= state.limits.queue_limit:
        return []
    if newest.phase is not RequestPhase.QUEUED:
        return []
    other = queue.find_request_to_shed(state.limits, newest.request)
    shed = newest if other is None else state.requests.active[other.request_id]
    return _fail(state, shed, admission.queue_full_refusal(state), now_s)


def _reduce_first_content(
    state: "State", event: FirstContent, now_s: float
) -> list[Effect]:
    record = state.requests.active.get(event.request_id)
    if record is None or record.target is None:
        return []
    record.first_content_at_s = now_s
    sample = LatencyObserved(record.target.group, now_s - record.dispatched_at_s)
    observe_latency(state.routing, sample, now_s)
    return []


def _reduce_broken(state: "State", event: StreamBroken, now_s: float) -> list[Effect]:
    record = state.requests.active.get(event.request_id)
    if (
        record is None
        or record.phase is not RequestPhase.RUNNING
        or record.target is None
    ):
        return []
    effects: list[Effect] = []
    if event.reason is not BreakReason.REJECTED:
        effects.append(ReportMemberFailure(record.target, event.reason))
    if event.reason in _POSSIBLE_CRASH_REASONS:
        record_possible_crash(state, record, now_s)
    if event.reason is not BreakReason.NOT_CONNECTED:
        record.sent = True
    if event.reason is BreakReason.REJECTED:
        effects += _fail(state, record, _rejected_failure(event.message), now_s)
    else:
        effects += _recover(state, record, record.target, event, now_s)
    return effects + dispatch_queued(state, now_s)


def _recover(
    state: "State",
    record: RequestRecord,
    target: Target,
    event: StreamBroken,
    now_s: float,
) -> list[Effect]:
    """Resume a request, restart it on another group, or fail it."""
    resumable = event.reason in _RESUMABLE_REASONS and record.resumes < MAX_RESUMES
    no_content_sent = record.first_content_at_s is None
    # A stream that stalls before the first content would stall again when resumed.
    prefers_restart = event.reason is BreakReason.STALLED or not resumable
    if no_content_sent and prefers_restart and consume_retry(state.limits, now_s):
        return _restart(state, record, target, event, now_s)
    if not resumable:
        return _fail_when_confirmed(
            state, record, _broken_failure(record, event), now_s
        )
    pause_s = SECOND_RESUME_DELAY_S * record.resumes
    record.resumes += 1
    record.ending = False
    return [ResumeAttempt(record.request_id, target, pause_s)]


def _restart(
    state: "State",
    record: RequestRecord,
    target: Target,
    event: StreamBroken,
    now_s: float,
) -> list[Effect]:
    record.failed_groups.add((target.group, target.generation))
    release_slot(state, record, now_s)
    queue.requeue(state.limits, record.request, now_s)
    return [RequestRestarted(record.request_id, target, event.reason)]


def _end_lost_attempts(state: "State", now_s: float) -> list[Effect]:
    """End the attempts that wait for the first content from a lost group."""
    effects: list[Effect] = []
    lost: dict[tuple[str, int], bool] = {}
    for record in state.requests.active.values():
        target = record.target
        if record.phase is not RequestPhase.RUNNING or target is None:
            continue
        if record.first_content_at_s is not None or record.ending:
            continue
        key = (target.group, target.generation)
        if key not in lost:
            lost[key] = _is_lost(state, target, now_s)
        if lost[key]:
            record.ending = True
            effects.append(EndAttempt(record.request_id))
    return effects


def _is_lost(state: "State", target: Target, now_s: float) -> bool:
    group = state.groups.groups.get(target.group)
    if group is None or group.generation != target.generation:
        return True
    evidence = state.membership.evidence
    return any(
        member_closed_reason(group, member, evidence.get(member.vm), now_s)
        in _LOST_GROUP_REASONS
        for member in group.members
    )


def _fail_when_confirmed(
    state: "State", record: RequestRecord, failure: Failure, now_s: float
) -> list[Effect]:
    """Fail a request once it is known whether a member crashed.

    A caller that gets the error earlier could resend the request through another node
    that does not know of the crash yet.
    """
    if not has_possible_crash(state, record.request.fingerprint):
        return _fail(state, record, failure, now_s)
    release_slot(state, record, now_s)
    record.phase = RequestPhase.CONFIRMING
    record.pending_failure = failure
    return []


def _fail_confirmed(state: "State", now_s: float) -> list[Effect]:
    effects: list[Effect] = []
    for record in list(state.requests.active.values()):
        failure = record.pending_failure
        if failure is None or has_possible_crash(state, record.request.fingerprint):
            continue
        effects += _fail(state, record, failure, now_s)
    return effects


def _reduce_finished(
    state: "State", event: RequestFinished, now_s: float
) -> list[Effect]:
    record = state.requests.active.get(event.request_id)
    if record is None:
        return []
    mark_finished(state, record.request.fingerprint)
    effects = _close(state, record, Outcome.FINISHED, "ok", now_s)
    return effects + dispatch_queued(state, now_s)


def _reduce_caller_disconnected(
    state: "State", event: CallerDisconnected, now_s: float
) -> list[Effect]:
    record = state.requests.active.get(event.request_id)
    if record is None:
        return []
    effects = _close(state, record, Outcome.CALLER_GONE, "caller_gone", now_s)
    return effects + dispatch_queued(state, now_s)


def _reduce_suspect(
    state: "State", event: SuspectReported, now_s: float
) -> list[Effect]:
    at_s = now_s - event.age_s
    record_crash(state, event.fingerprint, event.vm, event.boot_id, at_s)
    return _fail_crashing_requests(state, now_s)


def _reduce_tick(state: "State", _event: Tick, now_s: float) -> list[Effect]:
    effects = confirm_crashes(state, now_s)
    expire_crashes(state, now_s)
    if effects:
        effects += _fail_crashing_requests(state, now_s)
    effects += _fail_confirmed(state, now_s)
    effects += _end_lost_attempts(state, now_s)
    for record, failure in expired_failures(state, now_s):
        effects += _fail(state, record, failure, now_s)
    return effects + dispatch_queued(state, now_s)


def _reduce_drain_limit(
    state: "State", _event: DrainLimitReached, now_s: float
) -> list[Effect]:
    effects: list[Effect] = []
    for record in list(state.requests.active.values()):
        ran = Executed.UNKNOWN if _may_have_run(record) else Executed.NO
        failure = Failure(
            STATUS_SERVICE_UNAVAILABLE,
            "unavailable_error",
            "stopping",
            "this node is stopping",
            ran,
        )
        effects += _fail(state, record, failure, now_s)
    return effects


def _fail_crashing_requests(state: "State", now_s: float) -> list[Effect]:
    """Fail active requests that were in flight at too many crashes."""
    effects: list[Effect] = []
    for record in list(state.requests.active.values()):
        if is_refused(state, record.request.fingerprint):
            effects += _fail(state, record, crash_refusal(), now_s)
    return effects


def _fail(
    state: "State", record: RequestRecord, failure: Failure, now_s: float
) -> list[Effect]:
    outcome = Outcome.REFUSED if failure.ran is Executed.NO else Outcome.FAILED
    ended = _close(state, record, outcome, failure.code, now_s)
    return [FailRequest(record.request_id, failure), *ended]


def _close(
    state: "State", record: RequestRecord, outcome: Outcome, code: str, now_s: float
) -> list[Effect]:
    queue.remove(state.limits, record.request_id)
    release_slot(state, record, now_s)
    del state.requests.active[record.request_id]
    started_s, first_s = record.first_dispatched_at_s, record.first_content_at_s
    return [
        RequestEnded(
            request_id=record.request_id,
            team=record.request.team,
            group=None if record.target is None else record.target.group,
            outcome=outcome,
            code=code,
            queue_s=None if started_s is None else started_s - record.arrived_at_s,
            first_content_s=None if first_s is None else first_s - record.arrived_at_s,
            total_s=now_s - record.arrived_at_s,
        )
    ]


def _may_have_run(record: RequestRecord) -> bool:
    return record.sent or record.phase is RequestPhase.RUNNING


def _rejected_failure(message: str) -> Failure:
    return Failure(
        STATUS_BAD_REQUEST,
        "invalid_request_error",
        "rejected_by_engine",
        message,
        Executed.UNKNOWN,
    )


def _broken_failure(record: RequestRecord, event: StreamBroken) -> Failure:
    ran = Executed.UNKNOWN if record.sent else Executed.NO
    message = "the response ended before it was complete"
    if record.first_content_at_s is None:
        message = "no group completed the request"
    code = f"stream_{event.reason}"
    return Failure(STATUS_BAD_GATEWAY, "upstream_error", code, message, ran)


HANDLERS: "Mapping[type[Event], Handler]" = {
    RequestArrived: _reduce_arrived,
    FirstContent: _reduce_first_content,
    StreamBroken: _reduce_broken,
    RequestFinished: _reduce_finished,
    CallerDisconnected: _reduce_caller_disconnected,
    SuspectReported: _reduce_suspect,
    DrainLimitReached: _reduce_drain_limit,
    Tick: _reduce_tick,
    **service_reducer.HANDLERS,
}
