"""Structured logs on standard error, one JSON object per line."""

import logging
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from .catalogue import LogEvent

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "name": "logger"}


def setup_logging(*, program: str, node: str, level: str) -> None:
    """Send all log records to standard error as JSON."""
    formatter = JsonFormatter(
        LOG_FORMAT,
        rename_fields=RENAMED_FIELDS,
        static_fields={"program": program, "node": node},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # At INFO these log every request or connection, which duplicates our own events.
    for name in ("aiohttp.access", "sanic.access", "websockets", "sanic.root"):
        logging.getLogger(name).setLevel(logging.WARNING)


def log_event(
    logger: logging.Logger,
    event: LogEvent,
    message: str,
    *,
    level: int = logging.INFO,
    exc_info: bool = False,
    **fields: Any,
) -> None:
    """Log an event of the catalogue. Fields must not hold tokens, prompts or bodies."""
    extra = {"event": event.value, **fields}
    logger.log(level, message, exc_info=exc_info, extra=extra)
