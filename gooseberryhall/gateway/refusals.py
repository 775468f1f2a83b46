"""Answers for requests that no server answers."""

import random

from .const import (
    RETRY_AFTER_BUSY_S,
    RETRY_AFTER_NO_GROUP_S,
    RETRY_AFTER_SPREAD,
)
from .models import GatewayResponse


def refuse_no_group(rng: random.Random) -> GatewayResponse:
    """Refuse as no group serves the model; one is usually back within a second."""
    return GatewayResponse(
        503, "no group serves now", _spread(RETRY_AFTER_NO_GROUP_S, rng)
    )


def refuse_busy(rng: random.Random) -> GatewayResponse:
    """Refuse as all servers are full."""
    return GatewayResponse(
        503, "all servers are full", _spread(RETRY_AFTER_BUSY_S, rng)
    )


def refuse_crashing() -> GatewayResponse:
    """Refuse a request that has crashed several servers."""
    return GatewayResponse(503, "request crashed servers before", None)


def outcome_unknown(reason: str) -> GatewayResponse:
    """Answer that a server got the request, which may have run."""
    return GatewayResponse(502, reason)


def timed_out() -> GatewayResponse:
    """Answer that the time has passed while a server had the request."""
    return GatewayResponse(504, "no answer in time")


def _spread(delay_s: float, rng: random.Random) -> float:
    return delay_s * (1 + RETRY_AFTER_SPREAD * rng.random())
