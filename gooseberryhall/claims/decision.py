"""Decides by the claim row of its key how a request is handled."""

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
class AcquireClaim:
    """Write the claim if the row's version is unchanged."""

    version: int


@dataclass(frozen=True, slots=True)
class ReplayResponse:
    """Return the stored response."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class WaitForClaim:
    """Poll the row; raise `error` when the deadline passes first."""

    error: ClaimError


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Raise this error at once."""

    error: ClaimError


Decision = AcquireClaim | ReplayResponse | WaitForClaim | RefuseRequest


def decide(row: Row | None, body_sha256: str, wall_time_s: float) -> Decision:
    """Return how to handle a request, given the row of its key."""
    if row is None:
        return AcquireClaim(ABSENT)
    claim = Claim.from_value(row.value)
    if claim.body_sha256 != body_sha256:
        return RefuseRequest(
            IdempotencyKeyReusedError("Idempotency-Key was used for another request")
        )
    match claim.state:
        case ClaimState.DONE:
            return ReplayResponse(claim)
        case ClaimState.ABANDONED:
            return AcquireClaim(row.version)
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
