"""State of the groups concern."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..config.models import GroupSpec
from .decisions import Decision, WaitForMember
from .effects import OrderOutcome
from .lease import Lease
from .models import Group, Vm
from .rows import GroupRow
from .shares import Share
from .tuning import Tuning


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """The weights that an engine loaded last, valid for one boot id."""

    boot_id: str
    model: str
    version: str


@dataclass(slots=True)
class OrderState:
    """The last order to a VM."""

    fence: int
    sent_s: float
    in_flight: bool = True
    outcome: OrderOutcome | None = None
    adapters: tuple[str, ...] | None = None


@dataclass(slots=True)
class PendingDecision:
    """A decision whose transaction was sent."""

    decision: Decision
    old: GroupRow | None
    new: GroupRow | None


@dataclass(slots=True)
class ZonePlan:
    """What the lease holder of a zone needs to plan it.

    `rows` is None until the table was read under the current epoch. `phase_since_s`
    holds when this process first saw a group in its phase, `failed_since_s` since when
    a member fails although all members answer.
    """

    rows: dict[str, GroupRow] | None = None
    revision: int = 0
    read_s: float = float("-inf")
    reading: bool = False
    pending: PendingDecision | None = None
    epoch_version: int = 0
    orders: dict[str, OrderState] = field(default_factory=dict)
    phase_since_s: dict[tuple[str, int, str], float] = field(default_factory=dict)
    failed_since_s: dict[tuple[str, int], float] = field(default_factory=dict)
    blocked_until_s: dict[str, float] = field(default_factory=dict)
    waits: dict[str, WaitForMember] = field(default_factory=dict)


@dataclass(slots=True)
class ViewState:
    """The newest view of a zone's groups that this process holds."""

    revision: int = 0
    seen_s: float = float("-inf")
    sent_s: float = float("-inf")
    reading: bool = False


@dataclass(frozen=True, slots=True)
class Division:
    """The declared groups divided between zones, and what it was computed from.

    `selected` holds by spec the names of all VMs that its groups may use.
    """

    key: tuple[int, int, frozenset[str]]
    specs: tuple[GroupSpec, ...]
    labels: Mapping[str, Mapping[str, str]]
    shares: Mapping[tuple[str, str], Share]
    selected: Mapping[str, frozenset[str]]


@dataclass(slots=True)
class MeasureState:
    """Totals of the two measures, by spec and zone or by zone and reason."""

    measured_s: dict[str, float] = field(default_factory=dict)
    downtime_s: dict[tuple[str, str], float] = field(default_factory=dict)
    stranded_s: dict[tuple[str, str], float] = field(default_factory=dict)


@dataclass(slots=True)
class GroupsState:
    """Groups by name and VMs by name, as last read or announced.

    `vms_changes` counts the lists that differed. `silent_since_s` holds the VMs without
    fresh evidence. `tuning` replaces what the policy asks for. The fields from
    `incarnation` on are used by control programs only.
    """

    groups: dict[str, Group] = field(default_factory=dict)
    vms: dict[str, Vm] = field(default_factory=dict)
    vms_changes: int = 0
    views: dict[str, ViewState] = field(default_factory=dict)
    incarnation: str = ""
    refuse_old_fence: bool = False
    stopping: bool = False
    planned_s: float = float("-inf")
    silent_since_s: dict[str, float] = field(default_factory=dict)
    loaded: dict[str, LoadedModel] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    plans: dict[str, ZonePlan] = field(default_factory=dict)
    division: Division | None = None
    tuning: Tuning | None = None
    measures: MeasureState = field(default_factory=MeasureState)
