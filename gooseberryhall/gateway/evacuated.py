"""Directs requests away from zones that are evacuated. Pure functions."""

import zlib
from collections.abc import Sequence

from .placement import Candidate

_CRC_VALUES = 1 << 32


def draw_share(request_id: bytes) -> float:
    """Return a number from 0 to 1 that is the same for each try of a request.

    A request that waits for a free server would otherwise draw again and again until it
    may use the zone.
    """
    return zlib.crc32(request_id) / _CRC_VALUES


def direct_away(candidates: Sequence[Candidate], draw: float) -> list[Candidate]:
    """Return the candidates without those in zones that the request should not use.

    `draw` is at least as high as the share of the requests that such a zone still gets.
    """
    return [
        candidate
        for candidate in candidates
        if candidate.zone_share >= 1 or draw < candidate.zone_share
    ]
