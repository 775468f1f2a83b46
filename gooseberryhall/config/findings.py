"""Findings of configuration checks."""

from dataclasses import dataclass
from enum import StrEnum

from .models import ObjectKind
from .state import ObjectKey


class Level(StrEnum):
    """Whether a finding refuses an edit."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Finding:
    """What is wrong with a field of an object, and how to fix it.

    `kind` and `name` are None for a finding about the edit as a whole.
    """

    level: Level
    kind: ObjectKind | None
    name: str | None
    field: str
    message: str
    fix: str


def error(key: ObjectKey | None, field: str, message: str, fix: str) -> Finding:
    """Return a finding that refuses the edit."""
    return _finding(Level.ERROR, key, field, message, fix)


def warning(key: ObjectKey | None, field: str, message: str, fix: str) -> Finding:
    """Return a finding that explains a consequence."""
    return _finding(Level.WARNING, key, field, message, fix)


def _finding(
    level: Level, key: ObjectKey | None, field: str, message: str, fix: str
) -> Finding:
    kind, name = key or (None, None)
    return Finding(level, kind, name, field, message, fix)
