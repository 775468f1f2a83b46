"""Optional features of the node program that the operator switches on."""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class HedgingOptions:
    """Limits for second copies of idempotent requests."""

    # Extra requests as a share of a service's requests; 0 switches hedging off.
    max_share: float = 0.0
    # Quantile of a route's latencies after which a second copy is sent.
    quantile: float = 0.95


@dataclass(frozen=True, slots=True)
class InputLimits:
    """Limits for what callers may make a node hold; None keeps the default."""

    # Bytes that the node holds for all callers together.
    held_bytes: int | None = None
    # Connections of callers that are open at the same time.
    connections: int | None = None
    # Longest time for a body, if its request has a later deadline.
    body_ms: int | None = None
    # Time after which a caller that reads nothing is given up while too much is held.
    unread_ms: int | None = None
    # Bytes received for each byte of a chunked body.
    bytes_per_body_byte: int | None = None


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Options of one node; the defaults hold for what is absent."""

    hedging: HedgingOptions = HedgingOptions()
    input_limits: InputLimits = InputLimits()


DEFAULT_OPTIONS: Final = NodeOptions()
