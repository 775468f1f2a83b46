"""Base types of all errors."""

from enum import StrEnum


class Executed(StrEnum):
    """Whether a request was run by a backend server."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class GooseberryhallError(Exception):
    """Base class of every error that the package raises."""

    code = "internal_error"


class InvalidInputError(GooseberryhallError):
    """Input at a border failed validation."""

    code = "invalid_input"


class UnavailableError(GooseberryhallError):
    """An outside system did not answer in time or refused to serve."""

    code = "unavailable"
