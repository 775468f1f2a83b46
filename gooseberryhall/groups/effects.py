"""Effects of the groups package."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from ..adapters.engine import Order
from ..adapters.table import Transaction
from ..core.effects import Effect
from ..telemetry.catalogue import LogEvent


class OrderOutcome(StrEnum):
    """Outcome of an order."""

    ACCEPTED = "accepted"
    STALE_FENCE = "stale_fence"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    LEASE_LAPSED = "lease_lapsed"


@dataclass(frozen=True, slots=True)
class ReadLease(Effect):
    """Read the lease row of a zone, and with `with_epoch` the epoch row too."""

    zone: str
    with_epoch: bool = False


@dataclass(frozen=True, slots=True)
class WriteLease(Effect):
    """Send a lease transaction; the lease duration is counted from `decided_s`."""

    zone: str
    transaction: Transaction
    decided_s: float


@dataclass(frozen=True, slots=True)
class ReadZone(Effect):
    """Read the groups of a zone; `epoch_version` is 0 without the lease."""

    zone: str
    epoch_version: int


@dataclass(frozen=True, slots=True)
class CommitDecision(Effect):
    """Commit a decision's transaction if the lease is still held."""

    zone: str
    epoch_version: int
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class SendOrder(Effect):
    """Send an order to an engine if the lease is still held."""

    zone: str
    epoch_version: int
    order: Order


@dataclass(frozen=True, slots=True)
class AnnounceGroups(Effect):
    """Send the groups of a zone to all peers and local processes."""

    zone: str


@dataclass(frozen=True, slots=True)
class RecordGroupEvent(Effect):
    """Record an event of a group in the log and the time line."""

    event: LogEvent
    message: str
    fields: tuple[tuple[str, Any], ...] = ()
