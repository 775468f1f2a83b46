"""Errors of the requests package."""

from ..exceptions import GooseberryhallError
from .models import Failure


class RequestFailedError(GooseberryhallError):
    """The request failed; the response is an error body."""

    code = "request_failed"

    def __init__(self, failure: Failure) -> None:
        """Store the failure that is sent to the caller."""
        super().__init__(f"{failure.code}: {failure.message}")
        self.failure = failure


class CallerStalledError(GooseberryhallError):
    """A caller stopped reading its response."""

    code = "caller_stalled"
