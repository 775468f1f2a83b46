"""Protocol of a run: what was sent, answered and run."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any


class Record:
    """Writes one line for each event to `record.txt`."""

    def __init__(self, path: Path) -> None:
        """Open the file and start the clock of the run."""
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the run."""
        return time.monotonic() - self._started_s

    def write(self, event: str, **fields: Any) -> None:
        """Write one event."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s():8.3f} {event} {values}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def count(items: list[Any], matches: Callable[[Any], bool]) -> int:
    """Return how many items match."""
    return sum(1 for item in items if matches(item))
