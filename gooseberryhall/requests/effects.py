"""Effects of the requests concern."""

from dataclasses import dataclass

from ..core.effects import Effect
from ..routing.models import Target
from .models import BreakReason, Failure, Outcome


@dataclass(frozen=True, slots=True)
class StartAttempt(Effect):
    """Send a request to a group."""

    request_id: str
    target: Target


@dataclass(frozen=True, slots=True)
class ResumeAttempt(Effect):
    """Continue a request's stream at the engine that runs it."""

    request_id: str
    target: Target
    pause_s: float


@dataclass(frozen=True, slots=True)
class EndAttempt(Effect):
    """Stop waiting for a group that has been lost."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestRestarted(Effect):
    """A request was queued again after it failed at a group."""

    request_id: str
    target: Target
    reason: BreakReason


@dataclass(frozen=True, slots=True)
class FailRequest(Effect):
    """Answer a request with an error and cancel its stream at the engine."""

    request_id: str
    failure: Failure


@dataclass(frozen=True, slots=True)
class RequestEnded(Effect):
    """A request has its outcome."""

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
    """Tell the control process that a group's lead failed a stream."""

    target: Target
    reason: BreakReason


@dataclass(frozen=True, slots=True)
class ReportSuspect(Effect):
    """Tell the other processes that a request was in flight at a crash."""

    fingerprint: str
    vm: str
    boot_id: str
