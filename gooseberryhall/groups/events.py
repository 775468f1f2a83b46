"""Reducer events of the groups package."""

from dataclasses import dataclass

from ..adapters.table import Conflict, Row, Snapshot, Transaction
from ..core.events import Event
from .effects import OrderOutcome
from .models import Group, Vm


@dataclass(frozen=True, slots=True)
class VmsListed(Event):
    """The platform's VM list was read."""

    vms: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class GroupViewReceived(Event):
    """Another process announced all groups of a zone."""

    zone: str
    revision: int
    groups: tuple[Group, ...]


@dataclass(frozen=True, slots=True)
class PlanningStarted(Event):
    """The process starts to contend for leases and to plan."""

    incarnation: str
    refuse_old_fence: bool


@dataclass(frozen=True, slots=True)
class PlanningTick(Event):
    """The periodic timer of the planner fired."""


@dataclass(frozen=True, slots=True)
class LeaseRead(Event):
    """A lease's rows were read; `ok` is False if the table was unavailable."""

    zone: str
    ok: bool
    with_epoch: bool = False
    lease_row: Row | None = None
    epoch_row: Row | None = None


@dataclass(frozen=True, slots=True)
class LeaseWritten(Event):
    """A lease transaction ended; without revision and conflict its outcome is unknown.

    `sent_s` is when the transaction was decided, on the monotonic clock.
    """

    zone: str
    transaction: Transaction
    sent_s: float
    revision: int | None = None
    conflict: Conflict | None = None


@dataclass(frozen=True, slots=True)
class ZoneRead(Event):
    """A zone's groups were read; `snapshot` is None if the table was unavailable."""

    zone: str
    epoch_version: int
    snapshot: Snapshot | None


@dataclass(frozen=True, slots=True)
class DecisionCommitted(Event):
    """A decision's transaction ended.

    Without revision and conflict it is unknown whether the transaction was applied.
    """

    zone: str
    epoch_version: int
    revision: int | None
    conflict: Conflict | None = None


@dataclass(frozen=True, slots=True)
class OrderFinished(Event):
    """An order ended with or without a response of the engine."""

    zone: str
    vm: str
    fence: int
    outcome: OrderOutcome
    error: str = ""


@dataclass(frozen=True, slots=True)
class PlanningStopped(Event):
    """The program is stopping and releases its leases."""
