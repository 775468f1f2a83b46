"""Simulated table, engines and control processes that run the groups reducer.

The driver advances the clock, a plain number. Effects are queued until the driver
executes them, so it can inject a pause or a fault between a decision and its effect.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from gooseberryhall.adapters.engine import Order, OrderKind
from gooseberryhall.adapters.table import (
    ABSENT,
    TOKEN_FIELD,
    Conflict,
    Row,
    RowValue,
    Snapshot,
    Transaction,
)
from gooseberryhall.config.models import AnyObject
from gooseberryhall.core.effects import Effect
from gooseberryhall.core.events import Event
from gooseberryhall.core.reducer import reduce
from gooseberryhall.core.state import Identity, State
from gooseberryhall.groups.effects import (
    AnnounceGroups,
    CommitDecision,
    OrderOutcome,
    ReadLease,
    ReadZone,
    RecordGroupEvent,
    SendOrder,
    WriteLease,
)
from gooseberryhall.groups.events import (
    DecisionCommitted,
    GroupViewReceived,
    LeaseRead,
    LeaseWritten,
    OrderFinished,
    PlanningStarted,
    PlanningTick,
    VmsListed,
    ZoneRead,
)
from gooseberryhall.groups.lease import epoch_key, lease_key
from gooseberryhall.groups.models import Vm
from gooseberryhall.groups.rows import group_prefix
from gooseberryhall.membership.models import Evidence, MemberHealth, MemberState


class SimTable:
    """Rows with versions and conditional writes, as in the platform's table.

    `lose_answers` is the number of upcoming writes whose response is lost.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.rows: dict[str, Row] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = 0

    def commit(self, transaction: Transaction) -> Result[int, Conflict]:
        """Apply a transaction or return the rows that differ from its checks."""
        conflicts = {
            key: self.rows.get(key)
            for key, version in transaction.checks.items()
            if self._version(key) != version
        }
        if conflicts:
            return Err(Conflict(conflicts))
        self.revision += 1
        for key, value in transaction.puts_with_token().items():
            self.rows[key] = Row(key, self.revision, value)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return Ok(self.revision)

    def read(self, key: str) -> Row | None:
        """Return a row or None."""
        return self.rows.get(key)

    def read_prefix(self, prefix: str) -> Snapshot:
        """Return all rows whose key has the prefix."""
        rows = sorted(
            (row for key, row in self.rows.items() if key.startswith(prefix)),
            key=lambda row: row.key,
        )
        return Snapshot(self.revision, tuple(rows))

    def value(self, key: str) -> RowValue:
        """Return a row's value without its token, empty if it is absent."""
        row = self.rows.get(key)
        if row is None:
            return {}
        return {name: item for name, item in row.value.items() if name != TOKEN_FIELD}

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else ABSENT


@dataclass(slots=True)
class SimEngine:
    """The model engine of one VM."""

    vm: Vm
    boot: int = 1
    responsive: bool = True
    refuse_old_fence: bool = True
    load_s: float = 20.0
    warm_load_s: float = 4.0
    group: str = ""
    generation: int = 0
    fence: int = 0
    loaded: tuple[str, str] = ("", "")
    loading_until_s: float = 0.0
    leaving: bool = False
    active: int = 0

    def restart(self) -> None:
        """Start a new incarnation with empty memory."""
        self.boot += 1
        self.responsive = True
        self.group, self.generation, self.fence = "", 0, 0
        self.loaded = ("", "")
        self.active = 0

    def apply_order(self, order: Order, now_s: float) -> OrderOutcome:
        """Apply an order; an engine that honours fencing tokens refuses a stale one."""
        if not self.responsive:
            return OrderOutcome.UNAVAILABLE
        if self.refuse_old_fence and order.fence < self.fence:
            return OrderOutcome.STALE_FENCE
        self.fence = max(self.fence, order.fence)
        if order.kind is OrderKind.RELEASE:
            self.group, self.generation = "", 0
            return OrderOutcome.ACCEPTED
        if (self.group, self.generation) == (order.group, order.generation):
            return OrderOutcome.ACCEPTED
        self.group, self.generation = order.group, order.generation
        weights = (order.model, order.version)
        load_s = self.warm_load_s if self.loaded == weights else self.load_s
        self.loading_until_s = now_s + load_s
        self.loaded = weights
        return OrderOutcome.ACCEPTED

    def health(self, now_s: float) -> MemberHealth | None:
        """Return the response to a probe, or None while the engine is unresponsive."""
        if not self.responsive:
            return None
        state = MemberState.IDLE
        if self.group:
            loading = now_s < self.loading_until_s
            state = MemberState.LOADING if loading else MemberState.SERVING
        return MemberHealth(
            vm=self.vm.vm,
            boot_id=f"{self.vm.vm}-{self.boot}",
            group=self.group,
            generation=self.generation,
            state=state,
            leaving=self.leaving,
            active=self.active,
            queued=0,
            fence=self.fence,
        )


def probe_all(engines: Iterable[SimEngine], now_s: float) -> dict[str, Evidence]:
    """Probe each engine once and return the evidence by VM."""
    return {
        engine.vm.vm: Evidence(engine.vm.vm, engine.health(now_s), now_s)
        for engine in engines
    }


@dataclass(slots=True)
class SimNode:
    """State and pending effects of the control process of an entry VM."""

    state: State
    now_s: float = 0.0
    pending_effects: list[Effect] = field(default_factory=list)
    views: list[GroupViewReceived] = field(default_factory=list)
    recorded_events: list[RecordGroupEvent] = field(default_factory=list)

    @classmethod
    def create(
        cls, node: str, zone: str, objects: Iterable[AnyObject], refuse_old_fence: bool
    ) -> "SimNode":
        """Return a process in which a configuration is in force."""
        state = State(Identity(node, zone, "sim"))
        state.config.revision = 1
        state.config.objects = {(item.kind, item.name): item for item in objects}
        created = cls(state)
        created.dispatch(PlanningStarted(f"{node}-1", refuse_old_fence))
        return created

    def dispatch(self, event: Event) -> None:
        """Apply an event and queue its effects."""
        self.pending_effects += reduce(self.state, event, self.now_s)

    def observe(self, vms: Iterable[Vm], evidence: dict[str, Evidence]) -> None:
        """Apply the VM list and the evidence of the engines."""
        self.dispatch(VmsListed(tuple(vms)))
        self.state.membership.evidence.update(evidence)

    def tick(self) -> None:
        """Dispatch a planning tick, as the timer does."""
        self.dispatch(PlanningTick())

    def run_effect(
        self, effect: Effect, table: SimTable, engines: dict[str, SimEngine]
    ) -> None:
        """Execute one effect as the service does."""
        match effect:
            case ReadLease():
                self.dispatch(_read_lease(effect, table))
            case WriteLease():
                self.dispatch(self._write_lease(effect, table))
            case ReadZone(zone=zone, epoch_version=epoch_version):
                prefix = group_prefix(zone)
                snapshot = None if table.down else table.read_prefix(prefix)
                self.dispatch(ZoneRead(zone, epoch_version, snapshot))
            case CommitDecision():
                self.dispatch(self._commit(effect, table))
            case SendOrder():
                self.dispatch(self._send_order(effect, engines))
            case AnnounceGroups(zone=zone):
                self._announce(zone)
            case RecordGroupEvent():
                self.recorded_events.append(effect)
            case _:
                pass

    def run_effects(self, table: SimTable, engines: dict[str, SimEngine]) -> None:
        """Execute effects until none is pending."""
        while self.pending_effects:
            self.run_effect(self.pending_effects.pop(0), table, engines)

    def may_act(self, zone: str, epoch_version: int) -> bool:
        """Return whether the lease under which an effect was decided is still held."""
        lease = self.state.groups.leases[zone]
        return lease.epoch_version == epoch_version and lease.is_held(self.now_s)

    def _write_lease(self, effect: WriteLease, table: SimTable) -> LeaseWritten:
        revision, conflict = _commit_outcome(effect.transaction, table)
        return LeaseWritten(
            effect.zone, effect.transaction, effect.decided_s, revision, conflict
        )

    def _commit(self, effect: CommitDecision, table: SimTable) -> DecisionCommitted:
        if self.may_act(effect.zone, effect.epoch_version):
            return commit_now(effect, table)
        return DecisionCommitted(effect.zone, effect.epoch_version, None)

    def _send_order(
        self, effect: SendOrder, engines: dict[str, SimEngine]
    ) -> OrderFinished:
        if self.may_act(effect.zone, effect.epoch_version):
            return order_now(effect, engines, self.now_s)
        order = effect.order
        return OrderFinished(
            effect.zone, order.vm, order.fence, OrderOutcome.LEASE_LAPSED
        )

    def _announce(self, zone: str) -> None:
        plan_state = self.state.groups.plans.get(zone)
        if plan_state is not None and plan_state.rows is not None:
            groups = tuple(row.group for row in plan_state.rows.values())
            self.views.append(GroupViewReceived(zone, plan_state.revision, groups))


def commit_now(effect: CommitDecision, table: SimTable) -> DecisionCommitted:
    """Commit a transaction whose lease was checked earlier."""
    revision, conflict = _commit_outcome(effect.transaction, table)
    return DecisionCommitted(effect.zone, effect.epoch_version, revision, conflict)


def order_now(
    effect: SendOrder, engines: dict[str, SimEngine], now_s: float
) -> OrderFinished:
    """Send an order whose lease was checked earlier."""
    order = effect.order
    outcome = engines[order.vm].apply_order(order, now_s)
    return OrderFinished(effect.zone, order.vm, order.fence, outcome)


def _read_lease(effect: ReadLease, table: SimTable) -> LeaseRead:
    if table.down:
        return LeaseRead(effect.zone, ok=False)
    lease_row = table.read(lease_key(effect.zone))
    epoch_row = table.read(epoch_key(effect.zone)) if effect.with_epoch else None
    return LeaseRead(effect.zone, True, effect.with_epoch, lease_row, epoch_row)


def _commit_outcome(
    transaction: Transaction, table: SimTable
) -> tuple[int | None, Conflict | None]:
    if table.down:
        return None, None
    outcome = table.commit(transaction)
    if table.lose_answers:
        table.lose_answers -= 1
        return None, None
    match outcome:
        case Ok(revision):
            return revision, None
        case Err(conflict):
            return None, conflict
