"""Encoding of cold servers in zone announcements."""

import math
from typing import Any

from ..fleet.models import BackendServer, ColdGrant
from .const import MS_PER_S


def encode_cold(server: BackendServer) -> list[int]:
    """Return the cold time in ms and the grant; nothing for a warm server."""
    if not server.cold_remaining_s:
        return []
    remaining_ms = math.ceil(server.cold_remaining_s * MS_PER_S)
    grant = server.cold_grant
    if grant is None:
        return [remaining_ms]
    return [remaining_ms, grant.threshold, grant.requests]


def decode_cold(
    values: list[Any], owner_zone: str, now_s: float
) -> tuple[float, ColdGrant | None]:
    """Return the cold time and grant of a server that were announced at `now_s`."""
    if not values:
        return 0.0, None
    remaining_s = int(values[0]) / MS_PER_S
    if not values[1:]:
        return remaining_s, None
    return remaining_s, ColdGrant(int(values[1]), int(values[2]), owner_zone, now_s)
