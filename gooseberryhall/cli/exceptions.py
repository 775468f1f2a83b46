"""Errors of the command line and their exit codes."""

from collections.abc import Sequence
from typing import Any

from ..exceptions import GooseberryhallError
from .const import ExitCode


class CliError(GooseberryhallError):
    """Base class of the errors that end a command.

    `field` names the invalid field or argument, and `fix` describes how to correct it.
    Text output shows the lines of `explanation` after the message; JSON output contains
    `details` instead.
    """

    code = "failed"
    exit_code = ExitCode.FAILED

    def __init__(
        self,
        message: str,
        *,
        field: str = "",
        fix: str = "",
        code: str = "",
        explanation: Sequence[str] = (),
        details: dict[str, Any] | None = None,
    ) -> None:
        """Initialize the error; an empty `code` selects the default of the class."""
        super().__init__(message)
        self.message = message
        self.field = field
        self.fix = fix
        self.code = code or self.code
        self.explanation = tuple(explanation)
        self.details = details or {}

    def lines(self) -> list[str]:
        """Return the lines of the text output."""
        place = f"{self.field}: " if self.field else ""
        lines = [f"error: {place}{self.message}", *self.explanation]
        return [*lines, f"fix: {self.fix}"] if self.fix else lines


class EditRefusedError(CliError):
    """The administration program found errors in an edit and refused it."""

    code = "refused"


class EditConflictError(CliError):
    """Another edit was accepted after the base revision of this one."""

    code = "conflict"
    exit_code = ExitCode.CONFLICT


class UnreachableError(CliError):
    """No administration program or no ops port responded, or the table is down."""

    code = "unreachable"
    exit_code = ExitCode.UNREACHABLE
