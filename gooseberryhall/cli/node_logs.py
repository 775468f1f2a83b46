"""Reads log files of node programs."""

from collections.abc import Iterable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError, field_validator

from .exceptions import CliError

LOG_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


class LogLine(BaseModel):
    """One line of a node's log; additional fields depend on the event."""

    model_config = ConfigDict(extra="allow", frozen=True)

    time: datetime
    node: str
    message: str
    event: str = ""

    @field_validator("time", mode="before")
    @classmethod
    def _parse_time(cls, value: Any) -> Any:
        if not isinstance(value, str):
            return value
        return datetime.strptime(value, LOG_TIME_FORMAT).replace(tzinfo=UTC)

    @property
    def fields(self) -> dict[str, Any]:
        """Return the fields of the event."""
        extra = dict(self.model_extra or {})
        for name in ("level", "logger", "program"):
            extra.pop(name, None)
        return extra

    def get(self, name: str) -> Any:
        """Return a field of the event, or None if the event lacks it."""
        return (self.model_extra or {}).get(name)


def find_log_files(paths: Iterable[Path]) -> list[Path]:
    """Return the given files and those directly in the given directories.

    Raises CliError if there are none.
    """
    found: list[Path] = []
    for path in paths:
        if path.is_dir():
            found += sorted(item for item in path.iterdir() if item.is_file())
        else:
            found.append(path)
    if not found:
        raise CliError("no log files", field="--logs", fix="check the path")
    return found


def read_logs(paths: Iterable[Path]) -> tuple[list[LogLine], int]:
    """Return the log lines sorted by time and the number of lines that do not parse.

    Lines of one file with equal times keep their order. Raises CliError.
    """
    lines: list[LogLine] = []
    unparsed_lines = 0
    for path in find_log_files(paths):
        try:
            text = path.read_text(errors="replace")
        except OSError as exc:
            raise CliError(
                f"{path}: {exc.strerror}", field="--logs", fix="check the path"
            ) from exc
        for raw in text.splitlines():
            try:
                lines.append(LogLine.model_validate_json(raw))
            except ValidationError:
                unparsed_lines += 1
    return sorted(lines, key=lambda line: line.time), unparsed_lines
