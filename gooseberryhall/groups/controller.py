"""Turns the planner's decisions into transactions and orders.

A zone has at most one decision in flight. The rows as read from the table, with the
versions of confirmed writes, are the only base of decisions; after an unknown outcome
they are read again first.
"""

from typing import TYPE_CHECKING

from ..adapters.engine import Order, OrderKind
from ..adapters.table import Transaction
from ..config.models import GroupSpec
from ..core.effects import Effect
from ..telemetry.catalogue import LogEvent
from .const import VIEW_PERIOD_S, ZONE_READ_PERIOD_S
from .decisions import (
    Decision,
    DrainGroup,
    FormGroup,
    FreeMembers,
    MarkServing,
    ReleaseGroup,
    ReleaseStray,
    SendGroupOrder,
    WaitForMember,
)
from .effects import (
    AnnounceGroups,
    CommitDecision,
    Outcome,
    ReadZone,
    ReportGroups,
    SendOrder,
)
from .events import DecisionCommitted, OrderFinished, ZoneRead
from .lease import Lease
from .models import Group, GroupPhase
from .planner import plan
from .rows import (
    GroupRow,
    assignment,
    parse_rows,
    removal,
    rewrite,
    vm_key,
    with_phase,
    with_version,
    without_members,
)
from .shares import divide
from .state import GroupsState, OrderState, PendingDecision, ViewState, ZonePlan
from .view import PlanView, phase_key

if TYPE_CHECKING:
    from ..core.state import State

# A VM row without a group in the zone belongs to a write that is not yet visible.
BLOCKED_VM_S = 30.0
# VMs silent for longer no longer count when the declared groups are divided.
SHARE_GRACE_S = 15.0


def known_zones(state: "State") -> list[str]:
    """Return all zones with VMs or groups and the own zone."""
    zones = {state.identity.zone}
    zones.update(vm.zone for vm in state.groups.vms.values())
    zones.update(group.zone for group in state.groups.groups.values())
    return sorted(zones)


def reduce_zone_plan(state: "State", zone: str, now_s: float) -> list[Effect]:
    """Plan a zone whose lease is held and announce its groups."""
    lease = state.groups.leases[zone]
    if not lease.owned:
        state.groups.plans.pop(zone, None)
        return []
    plan_state = _current_plan(state.groups, lease)
    effects: list[Effect] = []
    if lease.is_held(now_s):
        effects += _read_if_due(plan_state, zone, now_s)
        effects += _carry_out(state, zone, now_s)
    return effects + _announce_if_due(state.groups, zone, now_s)


def _current_plan(groups: GroupsState, lease: Lease) -> ZonePlan:
    """Return the zone's plan; what an earlier epoch knew is dropped."""
    plan_state = groups.plans.get(lease.zone)
    if plan_state is None or plan_state.epoch_version != lease.epoch_version:
        plan_state = ZonePlan(epoch_version=lease.epoch_version)
        groups.plans[lease.zone] = plan_state
    return plan_state


def _read_if_due(plan_state: ZonePlan, zone: str, now_s: float) -> list[Effect]:
    if plan_state.reading or plan_state.pending is not None:
        return []
    if now_s - plan_state.read_s < ZONE_READ_PERIOD_S:
        return []
    plan_state.reading = True
    return [ReadZone(zone, plan_state.epoch_version)]


def reduce_zone_read(state: "State", event: ZoneRead, now_s: float) -> list[Effect]:
    """Take over the groups as read from the table."""
    if event.epoch_version == 0:
        return _take_onlooker_read(state, event, now_s)
    plan_state = state.groups.plans.get(event.zone)
    if plan_state is None or plan_state.epoch_version != event.epoch_version:
        return []
    plan_state.reading = False
    if event.snapshot is None:
        return []
    plan_state.read_s = now_s
    plan_state.rows = dict(parse_rows(event.snapshot.rows))
    plan_state.revision = event.snapshot.revision
    _note_change(state.groups, event.zone, plan_state, now_s)
    return [AnnounceGroups(event.zone), *_plan_if_held(state, event.zone, now_s)]


def _take_onlooker_read(state: "State", event: ZoneRead, now_s: float) -> list[Effect]:
    view = state.groups.views.setdefault(event.zone, ViewState())
    view.reading = False
    lease = state.groups.leases.get(event.zone)
    if event.snapshot is None or (lease is not None and lease.owned):
        return []
    if event.snapshot.revision >= view.revision:
        view.revision = event.snapshot.revision
        view.seen_s = now_s
        rows = parse_rows(event.snapshot.rows).values()
        replace_groups(state.groups, event.zone, tuple(row.group for row in rows))
    return []


def replace_groups(groups: GroupsState, zone: str, current: tuple[Group, ...]) -> None:
    """Replace all groups of a zone."""
    kept = {name: group for name, group in groups.groups.items() if group.zone != zone}
    groups.groups = {**kept, **{group.group: group for group in current}}


def _note_change(
    groups: GroupsState, zone: str, plan_state: ZonePlan, now_s: float
) -> None:
    """Make new rows visible to the rest of the process and date their phases."""
    rows = plan_state.rows or {}
    replace_groups(groups, zone, tuple(row.group for row in rows.values()))
    keys = [phase_key(row) for row in rows.values()]
    since_s = plan_state.phase_since_s
    plan_state.phase_since_s = {key: since_s.get(key, now_s) for key in keys}
    view = groups.views.setdefault(zone, ViewState())
    view.revision = max(view.revision, plan_state.revision)


def _announce_if_due(groups: GroupsState, zone: str, now_s: float) -> list[Effect]:
    """Announce the groups periodically, also while the table is down."""
    plan_state = groups.plans[zone]
    view = groups.views.setdefault(zone, ViewState())
    if plan_state.rows is None or now_s - view.sent_s < VIEW_PERIOD_S:
        return []
    view.sent_s = now_s
    return [AnnounceGroups(zone)]


def _plan_if_held(state: "State", zone: str, now_s: float) -> list[Effect]:
    lease = state.groups.leases[zone]
    if not lease.is_held(now_s) or zone not in state.groups.plans:
        return []
    return _carry_out(state, zone, now_s)


def make_view(state: "State", zone: str, now_s: float) -> PlanView:
    """Return what the planner of a zone sees now."""
    groups = state.groups
    plan_state = groups.plans.get(zone, ZonePlan())
    specs = tuple(state.config.of_type(GroupSpec))
    labels = {vm: state.config.labels_of_vm(vm) for vm in groups.vms}
    long_silent = {
        vm
        for vm, since_s in groups.silent_since_s.items()
        if now_s - since_s > SHARE_GRACE_S
    }
    return PlanView(
        zone=zone,
        now_s=now_s,
        specs=specs,
        policy=state.config.policy,
        labels=labels,
        vms=groups.vms,
        evidence=state.membership.evidence,
        rows=plan_state.rows or {},
        shares=divide(specs, groups.vms.values(), labels, long_silent),
        other_groups=tuple(
            group for group in groups.groups.values() if group.zone != zone
        ),
        refuse_old_fence=groups.refuse_old_fence,
        revision=plan_state.revision,
        silent_since_s=groups.silent_since_s,
        phase_since_s=plan_state.phase_since_s,
        orders=plan_state.orders,
        loaded=groups.loaded,
        blocked=frozenset(
            vm for vm, until_s in plan_state.blocked_until_s.items() if now_s < until_s
        ),
    )


def _carry_out(state: "State", zone: str, now_s: float) -> list[Effect]:
    """Plan once; return the orders and the first transaction that follow."""
    plan_state = state.groups.plans[zone]
    if plan_state.rows is None or state.config.revision == 0:
        return []
    effects: list[Effect] = []
    view = make_view(state, zone, now_s)
    plan_state.notes = {}
    for decision in plan(view):
        match decision:
            case WaitForMember():
                plan_state.notes[decision.group] = f"waits for {decision.vm}"
            case SendGroupOrder() | ReleaseStray():
                effects.append(_send_order(plan_state, view, decision))
            case _ if plan_state.pending is None and not plan_state.reading:
                effects += _commit(plan_state, view, decision)
    return effects


def _send_order(
    plan_state: ZonePlan, view: PlanView, decision: SendGroupOrder | ReleaseStray
) -> SendOrder:
    if isinstance(decision, ReleaseStray):
        order = _stray_order(view, decision)
    else:
        order = _group_order(view, decision)
    plan_state.orders[order.vm] = OrderState(order.fence, view.now_s)
    return SendOrder(view.zone, plan_state.epoch_version, order)


def _group_order(view: PlanView, decision: SendGroupOrder) -> Order:
    """Return the order that the group's phase asks for."""
    row = view.rows[decision.group]
    group = row.group
    rank, member = next(
        (rank, member)
        for rank, member in enumerate(group.members)
        if member.vm == decision.vm
    )
    releasing = row.phase is GroupPhase.RELEASING
    return Order(
        kind=OrderKind.RELEASE if releasing else OrderKind.FORM,
        vm=member.vm,
        address=member.address,
        fence=row.fence,
        group=group.group,
        generation=group.generation,
        rank=rank,
        members=group.members,
        model=group.model,
        version=group.model_version,
        adapters=row.adapters,
    )


def _stray_order(view: PlanView, decision: ReleaseStray) -> Order:
    """Return a release whose fence is the revision at which the VM had no group."""
    return Order(
        kind=OrderKind.RELEASE,
        vm=decision.vm,
        address=view.vms[decision.vm].address,
        fence=view.revision,
        group=decision.group,
        generation=decision.generation,
    )


def _commit(plan_state: ZonePlan, view: PlanView, decision: Decision) -> list[Effect]:
    pending, transaction = _transaction(plan_state, view, decision)
    plan_state.pending = pending
    return [CommitDecision(view.zone, plan_state.epoch_version, transaction)]


def _transaction(
    plan_state: ZonePlan, view: PlanView, decision: Decision
) -> tuple[PendingDecision, Transaction]:
    epoch_version = plan_state.epoch_version
    if isinstance(decision, FormGroup):
        formed = _new_row(view, decision)
        return PendingDecision(decision, None, formed), assignment(
            formed, epoch_version
        )
    old = view.rows[decision.group]
    if isinstance(decision, FreeMembers):
        left = without_members(old, frozenset(decision.vms))
        new = left if left.group.members else None
        return PendingDecision(decision, old, new), removal(
            old, decision.vms, epoch_version
        )
    match decision:
        case DrainGroup():
            new = with_phase(old, GroupPhase.DRAINING, decision.reason.value)
        case ReleaseGroup():
            new = with_phase(old, GroupPhase.RELEASING, decision.reason.value)
        case _:
            new = with_phase(old, GroupPhase.SERVING, "")
    return PendingDecision(decision, old, new), rewrite(old, new, epoch_version)


def _new_row(view: PlanView, decision: FormGroup) -> GroupRow:
    spec = view.spec_by_name[decision.spec]
    group = Group(
        group=decision.group,
        spec=spec.name,
        zone=view.zone,
        fabric_domain=decision.fabric_domain,
        model=spec.model,
        model_version=spec.version,
        generation=0,
        phase=GroupPhase.LOADING,
        members=decision.members,
    )
    return GroupRow(group, adapters=spec.adapters)


def reduce_decision_committed(
    state: "State", event: DecisionCommitted, now_s: float
) -> list[Effect]:
    """Apply a confirmed decision; read the zone again after any other outcome."""
    plan_state = state.groups.plans.get(event.zone)
    if plan_state is None or plan_state.epoch_version != event.epoch_version:
        return []
    pending, plan_state.pending = plan_state.pending, None
    if event.revision is None or pending is None or plan_state.rows is None:
        plan_state.read_s = float("-inf")
        _block_conflicting_vms(plan_state, event, now_s)
        return []
    if pending.old is not None:
        del plan_state.rows[pending.old.name]
    if pending.new is not None:
        row = with_version(pending.new, event.revision)
        plan_state.rows[row.name] = row
    plan_state.revision = event.revision
    _note_change(state.groups, event.zone, plan_state, now_s)
    return [
        AnnounceGroups(event.zone),
        _report(event.zone, pending.decision),
        *_plan_if_held(state, event.zone, now_s),
    ]


def _block_conflicting_vms(
    plan_state: ZonePlan, event: DecisionCommitted, now_s: float
) -> None:
    if event.conflict is None:
        return
    prefix = vm_key("")
    for key in event.conflict.rows:
        if key.startswith(prefix):
            vm = key.removeprefix(prefix)
            plan_state.blocked_until_s[vm] = now_s + BLOCKED_VM_S


def reduce_order_finished(
    state: "State", event: OrderFinished, now_s: float
) -> list[Effect]:
    """Note the outcome; the next probe decides whether the order is sent again."""
    plan_state = state.groups.plans.get(event.zone)
    order = plan_state.orders.get(event.vm) if plan_state else None
    if order is None or order.fence != event.fence:
        return []
    order.in_flight = False
    order.outcome = event.outcome.value
    if event.outcome is Outcome.ACCEPTED:
        return []
    fields = (("vm", event.vm), ("fence", event.fence), ("outcome", order.outcome))
    return [ReportGroups(LogEvent.ORDER_FAILED, "order failed", fields)]


def _report(zone: str, decision: Decision) -> ReportGroups:
    name, message = _REPORTS[type(decision)]
    fields = [("zone", zone), ("group", decision.group)]
    reason = getattr(decision, "reason", None)
    if reason is not None:
        fields.append(("reason", reason.value))
    return ReportGroups(name, message, tuple(fields))


_REPORTS = {
    FormGroup: (LogEvent.GROUP_ASSIGNED, "group assigned"),
    MarkServing: (LogEvent.GROUP_SERVING, "group serving"),
    DrainGroup: (LogEvent.GROUP_DRAINING, "group drains"),
    ReleaseGroup: (LogEvent.GROUP_RELEASED, "group released"),
    FreeMembers: (LogEvent.MEMBERS_FREED, "members freed"),
}
