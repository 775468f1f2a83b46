"""Deadlines of requests."""

from collections.abc import Mapping

from ..const import HEADER_DEADLINE_MS
from ..core.clock import now_s
from .const import MAX_DEADLINE_MS
from .errors import invalid_request


def parse_deadline(headers: Mapping[str, str], limit_s: float) -> float:
    """Return the deadline on the local clock. Raises RequestFailedError.

    It is the one that the caller set, but at most `limit_s` from now.
    """
    text = headers.get(HEADER_DEADLINE_MS)
    if text is None:
        return now_s() + limit_s
    if not (text.isascii() and text.isdigit()) or int(text) > MAX_DEADLINE_MS:
        raise invalid_request(
            "invalid_deadline", f"{HEADER_DEADLINE_MS} must be a number of milliseconds"
        )
    return now_s() + min(int(text) / 1000, limit_s)
