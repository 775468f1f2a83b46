"""Decoder of the headers in which servers speak of themselves."""

import re
from typing import Final

from ..fleet.statements import NO_STATEMENT, ServerStatement
from ..transport.exchange import ResponseHead

_LEAVING_HEADER: Final = b"server-leaving"
_PAUSE_HEADER: Final = b"retry-after"
_COLD_HEADER: Final = b"x-cold-milliseconds"
_SERVICE_UNAVAILABLE: Final = 503
# Also with a fraction. Dates, signs and exponents are not understood.
_NUMBER_PATTERN: Final = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
# A server that asks for more is asked again after this time.
MAX_PAUSE_S: Final = 600.0
# Longer cold times are taken for this one.
MAX_COLD_S: Final = 600.0
_MS_PER_S: Final = 1000


def decode_statement(head: ResponseHead) -> ServerStatement:
    """Return what a server says of itself in an answer.

    Only `Server-Leaving: 1` says that it leaves; 0 states nothing. `Retry-After` counts
    in a 503 only, and up to `MAX_PAUSE_S`; `X-Cold-Milliseconds` is the time for which
    the server is still cold, 0 if it is warm. Of several headers the strictest counts.
    Other values state nothing and are returned as unusable.
    """
    leaving = False
    pauses_s = []
    cold_s = []
    unusable = []
    for name, value in head.headers:
        if name == _LEAVING_HEADER:
            leaving = leaving or value == b"1"
            if value not in {b"0", b"1"}:
                unusable.append(value)
        elif name == _PAUSE_HEADER and head.status == _SERVICE_UNAVAILABLE:
            if _NUMBER_PATTERN.fullmatch(value):
                pauses_s.append(min(float(value), MAX_PAUSE_S))
            else:
                unusable.append(value)
        elif name == _COLD_HEADER:
            if _NUMBER_PATTERN.fullmatch(value):
                cold_s.append(min(float(value) / _MS_PER_S, MAX_COLD_S))
            else:
                unusable.append(value)
    if not leaving and not pauses_s and not cold_s and not unusable:
        return NO_STATEMENT
    return ServerStatement(
        leaving,
        max(pauses_s, default=None),
        tuple(unusable),
        max(cold_s, default=None),
    )
