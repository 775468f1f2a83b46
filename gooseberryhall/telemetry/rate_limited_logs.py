"""Log handler for the request path, which is rate limited and never blocks."""

import logging
import os
import select
import time

from pythonjsonlogger.json import JsonFormatter

from .catalogue import LogEvent
from .logs import LOG_FORMAT, RENAMED_FIELDS, log_event

_LOGGER = logging.getLogger(__name__)

LINES_PER_S = 400.0
BURST_LINES = 2000.0


class RateLimitedHandler(logging.Handler):
    """Write JSON lines to a file descriptor and drop those above the rate limit.

    A line is also dropped when writing it would block. The next line that is written
    holds the number of lines dropped before it in `dropped_lines`. If the system
    refuses to make the descriptor non-blocking, `may_block` is true, and lines are
    dropped that are not sure to be taken at once.
    """

    def __init__(self, descriptor: int) -> None:
        """Create a handler; the descriptor is made non-blocking."""
        super().__init__()
        self.may_block = False
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            self.may_block = True
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._available_lines = BURST_LINES
        self._refilled_at_s = time.monotonic()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        if not self._acquire_line():
            self.dropped += 1
            return
        if self.dropped:
            record.dropped_lines = self.dropped
        line = self.format(record).encode() + b"\n"
        try:
            if self.may_block and not self._takes(line):
                raise BlockingIOError
            os.write(self._descriptor, line)
        except OSError:
            self.dropped += 1
        else:
            self.dropped = 0

    def _takes(self, line: bytes) -> bool:
        """Return whether a pipe has room for the whole line."""
        return len(line) <= select.PIPE_BUF and bool(self._poll.poll(0))

    def _acquire_line(self) -> bool:
        now_s = time.monotonic()
        refill_lines = (now_s - self._refilled_at_s) * LINES_PER_S
        self._available_lines = min(BURST_LINES, self._available_lines + refill_lines)
        self._refilled_at_s = now_s
        if self._available_lines < 1:
            return False
        self._available_lines -= 1
        return True


def setup_rate_limited_logging(
    *, program: str, node: str, level: str
) -> RateLimitedHandler:
    """Send all log records to standard output as JSON, with a rate limit."""
    handler = RateLimitedHandler(1)
    handler.setFormatter(
        JsonFormatter(
            LOG_FORMAT,
            rename_fields=RENAMED_FIELDS,
            static_fields={"program": program, "node": node},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    if handler.may_block:
        log_event(
            _LOGGER,
            LogEvent.OUTPUT_CALL_REFUSED,
            "standard output cannot be made non-blocking",
            level=logging.WARNING,
        )
    return handler
