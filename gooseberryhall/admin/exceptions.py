"""Errors of the administration API, each with its HTTP status."""

from ..exceptions import GooseberryhallError


class AdminError(GooseberryhallError):
    """Base class of the errors that the API returns to clients."""

    status = 500

    def __init__(self, message: str, *, field: str = "", fix: str = "") -> None:
        """Store the message, the invalid field and how to fix it."""
        super().__init__(message)
        self.message = message
        self.field = field
        self.fix = fix


class UnauthenticatedError(AdminError):
    """The request has no token that the settings list."""

    code = "unauthenticated"
    status = 401


class ForbiddenError(AdminError):
    """The token's role does not allow the request."""

    code = "forbidden"
    status = 403


class MalformedRequestError(AdminError):
    """The body or a parameter cannot be parsed."""

    code = "malformed_request"
    status = 400


class UnknownObjectError(AdminError):
    """The requested object or path does not exist."""

    code = "not_found"
    status = 404


class BodyTooLargeError(AdminError):
    """The body is above the limit."""

    code = "body_too_large"
    status = 413


class TableDownError(AdminError):
    """The table is unavailable or unreadable; no edit was accepted."""

    code = "table_unavailable"
    status = 503


class OutcomeUnknownError(AdminError):
    """The table did not confirm the edit, which may have been accepted."""

    code = "outcome_unknown"
    status = 503
