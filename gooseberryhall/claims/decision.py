"""Decides from a claim row what to do with a request."""

from dataclasses import dataclass

from ..adapters.table import ABSENT, Row
from .const import UNFINISHED_AGE_S
from .exceptions import (
    ClaimError,
    IdempotencyKeyReusedError,
    OutcomeUnknownError,
    RequestInProgressError,
)
from .models import Claim, ClaimState


@dataclass(frozen=True, slots=True)
class TakeClaim:
    """Write the claim if the row still has this version."""

    version: int


@dataclass(frozen=True, slots=True)
class ReplayAnswer:
    """Give the stored answer."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class WaitForClaim:
    """Read the row again; `error` is the result when the deadline comes first."""

    error: ClaimError


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Give this error at once."""

    error: ClaimError


Decision = TakeClaim | ReplayAnswer | WaitForClaim | RefuseRequest


def decide(row: Row | None, body_sha256: str, wall_time_s: float) -> Decision:
    """Return what to do with a request, given the row of its key."""
    if row is None:
        return TakeClaim(ABSENT)
    claim = Claim.from_value(row.value)
    if claim.body_sha256 != body_sha256:
        return RefuseRequest(
            IdempotencyKeyReusedError("Idempotency-Key was used for another request")
        )
    match claim.state:
        case ClaimState.DONE:
            return ReplayAnswer(claim)
        case ClaimState.ABANDONED:
            return TakeClaim(row.version)
        case ClaimState.UNKNOWN:
            return RefuseRequest(_outcome_unknown())
        case ClaimState.CLAIMED:
            return _decide_unfinished(claim, wall_time_s)


def _decide_unfinished(claim: Claim, wall_time_s: float) -> Decision:
    if wall_time_s - claim.created_at_s > UNFINISHED_AGE_S:
        return RefuseRequest(_outcome_unknown())
    return WaitForClaim(
        RequestInProgressError("an earlier request with this key is still running")
    )


def _outcome_unknown() -> OutcomeUnknownError:
    return OutcomeUnknownError(
        "an earlier request with this key was sent and its outcome is not known; "
        "check the service before using another key"
    )
