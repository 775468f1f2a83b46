"""Answers for requests that no server answers."""

import random

from .const import (
    RETRY_AFTER_BUSY_S,
    RETRY_AFTER_NO_GROUP_S,
    RETRY_AFTER_SPREAD,
)
from .models import OwnAnswer


def refuse_no_group(rng: random.Random) -> OwnAnswer:
    """No group serves the model now; one is usually back within a second."""
    return OwnAnswer(503, "no group serves now", _spread(RETRY_AFTER_NO_GROUP_S, rng))


def refuse_busy(rng: random.Random) -> OwnAnswer:
    """All servers are full."""
    return OwnAnswer(503, "all servers are full", _spread(RETRY_AFTER_BUSY_S, rng))


def refuse_crashing() -> OwnAnswer:
    """The request has crashed several servers."""
    return OwnAnswer(503, "request crashed servers before", None)


def outcome_unknown(reason: str) -> OwnAnswer:
    """A server got the request and did not answer; it may have run."""
    return OwnAnswer(502, reason)


def timed_out() -> OwnAnswer:
    """The time for the request has passed while a server had it."""
    return OwnAnswer(504, "no answer in time")


def _spread(delay_s: float, rng: random.Random) -> float:
    return delay_s * (1 + RETRY_AFTER_SPREAD * rng.random())
