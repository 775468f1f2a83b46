"""Effects of the requests package."""

from dataclasses import dataclass

from ..core.effects import Effect
from ..routing.models import Target
from .models import BreakReason, Failure, Outcome


@dataclass(frozen=True, slots=True)
class StartAttempt(Effect):
    """Start an attempt to run a request on a group."""

    request_id: str
    target: Target


@dataclass(frozen=True, slots=True)
class ResumeAttempt(Effect):
    """Resume a request's stream from the engine that runs it, after a delay."""

    request_id: str
    target: Target
    pause_s: float


@dataclass(frozen=True, slots=True)
class EndAttempt(Effect):
    """End the attempt on a group that was lost, as if it had stalled."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestRestarted(Effect):
    """A request was queued again after its attempt on a group failed."""

    request_id: str
    target: Target
    reason: BreakReason


@dataclass(frozen=True, slots=True)
class FailRequest(Effect):
    """Respond to a request with an error and cancel its stream on the engine."""

    request_id: str
    failure: Failure


@dataclass(frozen=True, slots=True)
class RequestEnded(Effect):
    """A request ended; times are measured from its arrival."""

    request_id: str
    team: str
    group: str | None
    outcome: Outcome
    code: str
    queue_s: float | None
    first_content_s: float | None
    total_s: float


@dataclass(frozen=True, slots=True)
class ReportMemberFailure(Effect):
    """Notify the control process that a group's leader failed an attempt."""

    target: Target
    reason: BreakReason


@dataclass(frozen=True, slots=True)
class ReportSuspect(Effect):
    """Notify the other processes that a request was in flight at a crash."""

    fingerprint: str
    vm: str
    boot_id: str
