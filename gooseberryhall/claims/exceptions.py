"""Errors of the claims package, each with its HTTP status and `ran` value."""

from typing import ClassVar

from ..exceptions import Executed, GooseberryhallError
from .const import RETRY_AFTER_S


class ClaimError(GooseberryhallError):
    """Base of the errors with which a command can be refused or fail."""

    status: ClassVar[int] = 500
    ran: ClassVar[Executed] = Executed.UNKNOWN
    retry_after_s: ClassVar[int | None] = None
    # `ran` refers to the current attempt, this to earlier attempts with the same key.
    earlier_attempts: ClassVar[Executed | None] = None


class IdempotencyKeyError(ClaimError):
    """The idempotency key is missing or malformed."""

    code = "idempotency_key_required"
    status = 400
    ran = Executed.NO


class IdempotencyKeyReusedError(ClaimError):
    """The key was used for another request before."""

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
    """The table cannot be read; earlier attempts with the key may have run."""

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
    """The request was sent with an unknown outcome; it is never sent again."""

    code = "outcome_unknown"
    status = 409


class StoredResponseUnavailableError(ClaimError):
    """The request ran, but its stored response is not available."""

    code = "stored_answer_unavailable"
    status = 503
    ran = Executed.YES
    retry_after_s = RETRY_AFTER_S


class MalformedClaimError(ClaimError):
    """A claim row has a format that this version does not support."""

    code = "malformed_claim"
    status = 500
