"""Log handler for the request path: bounded in volume and never blocking."""

import logging
import os
import time

from pythonjsonlogger.json import JsonFormatter

from .logs import FIELDS, RENAMED_FIELDS

LINES_PER_S = 400.0
BURST_LINES = 2000.0


class RateLimitedHandler(logging.Handler):
    """Writes JSON lines to a descriptor and drops what exceeds the rate.

    A line that the reader does not take at once is dropped too. The next line tells
    how many were dropped.
    """

    def __init__(self, descriptor: int) -> None:
        """Create a handler; the descriptor is made non-blocking."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._allowance = BURST_LINES
        self._filled_s = time.monotonic()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        if not self._take():
            self.dropped += 1
            return
        if self.dropped:
            record.dropped_lines = self.dropped
        line = self.format(record).encode() + b"\n"
        try:
            os.write(self._descriptor, line)
        except OSError:
            self.dropped += 1
        else:
            self.dropped = 0

    def _take(self) -> bool:
        now_s = time.monotonic()
        gained = (now_s - self._filled_s) * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + gained)
        self._filled_s = now_s
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True


def setup_rate_limited_logging(
    *, program: str, node: str, level: str
) -> RateLimitedHandler:
    """Send all log records to standard output as JSON, bounded in volume."""
    handler = RateLimitedHandler(1)
    handler.setFormatter(
        JsonFormatter(
            FIELDS,
            rename_fields=RENAMED_FIELDS,
            static_fields={"program": program, "node": node},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return handler
