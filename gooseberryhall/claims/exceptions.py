"""Errors of the claims concern, each with its HTTP status and `ran` value."""

from typing import ClassVar

from ..exceptions import Executed, GooseberryhallError
from .const import RETRY_AFTER_S


class ClaimError(GooseberryhallError):
    """Base of the errors that a caller of a non-idempotent request can get."""

    status: ClassVar[int] = 500
    ran: ClassVar[Executed] = Executed.UNKNOWN
    retry_after_s: ClassVar[int | None] = None
    # `ran` speaks of the attempt that is answered; this of earlier ones with the key.
    earlier_attempts: ClassVar[Executed | None] = None


class IdempotencyKeyError(ClaimError):
    """The idempotency key is missing or malformed."""

    code = "idempotency_key_required"
    status = 400
    ran = Executed.NO


class IdempotencyKeyReusedError(ClaimError):
    """The key was used before with another request."""

    code = "idempotency_key_reused"
    status = 422
    ran = Executed.NO


class ClaimsUnavailableError(ClaimError):
    """The claim could not be written, so the request was not sent."""

    code = "claims_unavailable"
    status = 503
    ran = Executed.NO
    retry_after_s = RETRY_AFTER_S


class ClaimUnreadableError(ClaimsUnavailableError):
    """The table cannot be read, so earlier attempts with the key are not known."""

    earlier_attempts = Executed.UNKNOWN


class NotSentError(ClaimError):
    """No connection to the service was established, so no byte was sent."""

    code = "service_unreachable"
    status = 503
    ran = Executed.NO
    retry_after_s = RETRY_AFTER_S


class RequestInProgressError(ClaimError):
    """An earlier request with this key has not finished."""

    code = "request_in_progress"
    status = 409


class OutcomeUnknownError(ClaimError):
    """The request was sent, but its outcome is not known; it is never sent again."""

    code = "outcome_unknown"
    status = 409


class StoredAnswerUnavailableError(ClaimError):
    """The request ran, but its stored answer cannot be read now."""

    code = "stored_answer_unavailable"
    status = 503
    ran = Executed.YES
    retry_after_s = RETRY_AFTER_S


class MalformedClaimError(ClaimError):
    """A claim row has a form that this version does not know."""

    code = "malformed_claim"
    status = 500
