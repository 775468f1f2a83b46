"""Errors of the command line, each with its exit code."""

from collections.abc import Sequence
from typing import Any

from ..exceptions import GooseberryhallError
from .const import ExitCode


class CliError(GooseberryhallError):
    """A command failed.

    `field` names the field at fault and `fix` says what to do about it. `explanation`
    follows the message in text form, and `details` takes its place in JSON.
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
        """Keep what is printed."""
        super().__init__(message)
        self.message = message
        self.field = field
        self.fix = fix
        self.code = code or self.code
        self.explanation = tuple(explanation)
        self.details = details or {}

    def lines(self) -> list[str]:
        """Return the lines of the error in text form."""
        place = f"{self.field}: " if self.field else ""
        lines = [f"error: {place}{self.message}", *self.explanation]
        return [*lines, f"fix: {self.fix}"] if self.fix else lines


class EditRefusedError(CliError):
    """The administration program found errors in an edit."""

    code = "refused"


class EditConflictError(CliError):
    """Another edit was accepted since the base of this one."""

    code = "conflict"
    exit_code = ExitCode.CONFLICT


class UnreachableError(CliError):
    """No address answered, or the table behind it did not."""

    code = "unreachable"
    exit_code = ExitCode.UNREACHABLE
