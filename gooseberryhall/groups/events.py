"""Events of the groups concern."""

from dataclasses import dataclass

from ..adapters.table import Conflict, Row, Snapshot, Transaction
from ..core.events import Event
from .effects import OrderOutcome
from .models import Group, Vm


@dataclass(frozen=True, slots=True)
class VmsListed(Event):
    """The platform's list of VMs was read."""

    vms: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class GroupViewReceived(Event):
    """Another process announced all groups of a zone."""

    zone: str
    revision: int
    groups: tuple[Group, ...]


@dataclass(frozen=True, slots=True)
class PlanningStarted(Event):
    """The process takes part in holding leases and planning."""

    incarnation: str
    refuse_old_fence: bool


@dataclass(frozen=True, slots=True)
class PlanningTick(Event):
    """The periodic timer of the planner fired."""


@dataclass(frozen=True, slots=True)
class LeaseRead(Event):
    """The rows of a zone's lease were read; `ok` is False when the table failed."""

    zone: str
    ok: bool
    with_epoch: bool = False
    lease_row: Row | None = None
    epoch_row: Row | None = None


@dataclass(frozen=True, slots=True)
class LeaseWritten(Event):
    """A lease transaction ended; without revision and conflict it is not known how."""

    zone: str
    transaction: Transaction
    sent_s: float
    revision: int | None = None
    conflict: Conflict | None = None


@dataclass(frozen=True, slots=True)
class ZoneRead(Event):
    """The groups of a zone were read; `snapshot` is None when the table failed."""

    zone: str
    epoch_version: int
    snapshot: Snapshot | None


@dataclass(frozen=True, slots=True)
class DecisionCommitted(Event):
    """A decision's transaction ended; without a revision it may have been applied."""

    zone: str
    epoch_version: int
    revision: int | None
    conflict: Conflict | None = None


@dataclass(frozen=True, slots=True)
class OrderFinished(Event):
    """An engine answered an order, or did not."""

    zone: str
    vm: str
    fence: int
    outcome: OrderOutcome
    error: str = ""


@dataclass(frozen=True, slots=True)
class PlanningStopped(Event):
    """The program is about to end and gives up its leases."""
