"""State of the groups package."""

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
    """The weights that an engine loaded last; valid for one boot id."""

    boot_id: str
    model: str
    version: str


@dataclass(slots=True)
class OrderState:
    """The last order that was sent to a VM."""

    fence: int
    sent_s: float
    in_flight: bool = True
    outcome: OrderOutcome | None = None
    adapters: tuple[str, ...] | None = None


@dataclass(slots=True)
class PendingDecision:
    """A decision whose transaction is in flight."""

    decision: Decision
    old: GroupRow | None
    new: GroupRow | None


@dataclass(slots=True)
class ZonePlan:
    """Planning state of a zone's lease holder.

    `rows` is None until the table was read in the current epoch. `phase_since_s` is
    when this process first observed a group in its phase. `failed_since_s` is since
    when a member has failed although all members respond. `blocked_until_s` excludes
    VMs whose rows conflicted.
    """

    rows: dict[str, GroupRow] | None = None
    revision: int = 0
    last_read_s: float = float("-inf")
    reading: bool = False
    pending: PendingDecision | None = None
    epoch_version: int = 0
    orders: dict[str, OrderState] = field(default_factory=dict)
    phase_since_s: dict[tuple[str, int, str], float] = field(default_factory=dict)
    failed_since_s: dict[tuple[str, int], float] = field(default_factory=dict)
    blocked_until_s: dict[str, float] = field(default_factory=dict)
    waits: dict[str, WaitForMember] = field(default_factory=dict)


@dataclass(slots=True)
class GroupViewState:
    """State of the newest group view of a zone in this process.

    `received_s` is when it was received from the holder. `sent_s` is when this process
    last announced it or, without the lease, last requested it from the table.
    """

    revision: int = 0
    received_s: float = float("-inf")
    sent_s: float = float("-inf")
    reading: bool = False


@dataclass(frozen=True, slots=True)
class ZoneShares:
    """Shares of the declared groups by zone, with the inputs they depend on.

    `shares` is keyed by spec and zone. `selected` maps a spec to the names of all VMs
    that its groups may use.
    """

    key: tuple[int, int, frozenset[str]]
    specs: tuple[GroupSpec, ...]
    labels: Mapping[str, Mapping[str, str]]
    shares: Mapping[tuple[str, str], Share]
    selected: Mapping[str, frozenset[str]]


@dataclass(slots=True)
class MeasureTotals:
    """Total downtime by spec and zone, and total stranded time by zone and reason.

    `last_measured_s` is by zone.
    """

    last_measured_s: dict[str, float] = field(default_factory=dict)
    downtime_s: dict[tuple[str, str], float] = field(default_factory=dict)
    stranded_s: dict[tuple[str, str], float] = field(default_factory=dict)


@dataclass(slots=True)
class GroupsState:
    """State of groups and VMs, by name, as last read or announced.

    `vms_changes` counts the changes of the VM list. `unresponsive_since_s` contains the
    VMs without fresh evidence. `tuning` overrides the options that follow from the
    policy. Only control programs use the fields from `incarnation` on.
    """

    groups: dict[str, Group] = field(default_factory=dict)
    vms: dict[str, Vm] = field(default_factory=dict)
    vms_changes: int = 0
    views: dict[str, GroupViewState] = field(default_factory=dict)
    incarnation: str = ""
    refuse_old_fence: bool = False
    stopping: bool = False
    planned_s: float = float("-inf")
    unresponsive_since_s: dict[str, float] = field(default_factory=dict)
    loaded: dict[str, LoadedModel] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    plans: dict[str, ZonePlan] = field(default_factory=dict)
    zone_shares: ZoneShares | None = None
    tuning: Tuning | None = None
    measures: MeasureTotals = field(default_factory=MeasureTotals)
