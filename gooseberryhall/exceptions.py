"""Base classes of all errors, and whether a failed request was executed."""

from enum import StrEnum


class Executed(StrEnum):
    """Whether a backend server executed a request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class GooseberryhallError(Exception):
    """Base class of every error that the package raises."""

    code = "internal_error"


class InvalidInputError(GooseberryhallError):
    """Input from outside the process failed validation."""

    code = "invalid_input"


class UnavailableError(GooseberryhallError):
    """An external system timed out or refused to serve."""

    code = "unavailable"
