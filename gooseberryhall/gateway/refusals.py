"""Responses to requests that no server completed."""

import random
from typing import Final

from ..admission.decision import WaitEnd, limit_retry_after_s
from .const import (
    CRASH_RETENTION_S,
    RETRY_AFTER_BUSY_S,
    RETRY_AFTER_EVACUATED_S,
    RETRY_AFTER_JITTER,
    RETRY_AFTER_NO_GROUP_S,
    RETRY_AFTER_STOPPING_S,
)
from .models import GatewayResponse

_BUSY_REASONS: Final[dict[WaitEnd | None, str]] = {
    WaitEnd.TOO_LONG: "all servers are full, and requests wait for longer",
    WaitEnd.BOUNDS: "too many requests wait",
}


def no_group_response(rng: random.Random, remaining_s: float) -> GatewayResponse:
    """Return a refusal because no group serves the model.

    A group usually serves again within a second, so `Retry-After` is short.
    """
    delay_s = _add_jitter(RETRY_AFTER_NO_GROUP_S, rng)
    return GatewayResponse(
        503, "no group serves now", limit_retry_after_s(delay_s, remaining_s)
    )


def busy_response(
    rng: random.Random,
    remaining_s: float,
    drained_s: float | None = None,
    wait_end: WaitEnd | None = None,
) -> GatewayResponse:
    """Return a refusal because all servers are full.

    `drained_s` is the time after which they are expected to take the request.
    """
    if drained_s is None:
        drained_s = _add_jitter(RETRY_AFTER_BUSY_S, rng)
    reason = _BUSY_REASONS.get(wait_end, "all servers are full")
    return GatewayResponse(503, reason, limit_retry_after_s(drained_s, remaining_s))


def memory_response(rng: random.Random) -> GatewayResponse:
    """Return a refusal because this node holds too much for others."""
    return GatewayResponse(
        503, "this node holds too much", _add_jitter(RETRY_AFTER_BUSY_S, rng)
    )


def paused_response(soonest_s: float, rng: random.Random) -> GatewayResponse:
    """Return a refusal because all servers asked this node for a pause.

    Callers return after the first pause ends, spread over time.
    """
    return GatewayResponse(
        503, "all servers asked for a pause", _add_jitter(soonest_s, rng)
    )


def evacuated_response(rng: random.Random) -> GatewayResponse:
    """Return a refusal because all servers are in evacuated zones."""
    return GatewayResponse(
        503,
        "all servers are in evacuated zones",
        _add_jitter(RETRY_AFTER_EVACUATED_S, rng),
    )


def cold_response(retry_s: float, rng: random.Random) -> GatewayResponse:
    """Return a refusal because all servers are cold and get no more requests now."""
    return GatewayResponse(503, "all servers are cold", _add_jitter(retry_s, rng))


def stopping_response(rng: random.Random) -> GatewayResponse:
    """Return a refusal because this node stops; another node can serve the request."""
    return GatewayResponse(
        503, "this node is stopping", _add_jitter(RETRY_AFTER_STOPPING_S, rng)
    )


def crashing_request_response(*, may_have_run: bool) -> GatewayResponse:
    """Return a refusal for a request that crashes servers.

    It is refused for as long as the crashes are known.
    """
    if may_have_run:
        return outcome_unknown_response("request crashed servers")
    return GatewayResponse(503, "request crashed servers before", CRASH_RETENTION_S)


def outcome_unknown_response(reason: str) -> GatewayResponse:
    """Return a response for a request that a server may have run."""
    return GatewayResponse(502, reason)


def timeout_response() -> GatewayResponse:
    """Return a response for a request whose deadline passed at a server."""
    return GatewayResponse(504, "no answer in time")


def _add_jitter(delay_s: float, rng: random.Random) -> float:
    return delay_s * (1 + RETRY_AFTER_JITTER * rng.random())
