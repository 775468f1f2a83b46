"""Runs the planner and turns its decisions into transactions and orders.

A zone has at most one transaction in flight. Decisions are based only on the rows as
read from the table and on confirmed writes; after an unknown outcome the rows are read
again first.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from ..config.models import GroupSpec
from ..core.effects import Effect
from ..membership.models import MemberState
from ..telemetry.catalogue import LogEvent
from .const import (
    ANNOUNCE_PERIOD_S,
    SHARE_GRACE_S,
    VM_CONFLICT_BACKOFF_S,
    ZONE_READ_PERIOD_S,
)
from .decisions import LoadAdapters, ReleaseOrphan, SendGroupOrder, WaitForMember
from .effects import AnnounceGroups, OrderOutcome, ReadZone, RecordGroupEvent
from .events import DecisionCommitted, OrderFinished, ZoneRead
from .exceptions import GroupRowError
from .execution import decision_event, execution_rank, prepare_commit, prepare_order
from .lease import Lease
from .models import Group
from .planner import plan
from .rows import GroupRow, parse_rows, vm_key, with_version
from .shares import divide_groups, selected_vms
from .state import GroupsState, GroupViewState, ZonePlan, ZoneShares
from .tuning import tuning_for
from .view import PlanView, phase_key

if TYPE_CHECKING:
    from ..core.state import State


def all_zones(state: "State") -> list[str]:
    """Return the own zone and all zones with VMs or groups."""
    zones = {state.identity.zone}
    zones.update(vm.zone for vm in state.groups.vms.values())
    zones.update(group.zone for group in state.groups.groups.values())
    return sorted(zones)


def reduce_zone_plan(state: "State", zone: str, now_s: float) -> list[Effect]:
    """Plan a zone if its lease is held, and announce its groups if it is owned."""
    lease = state.groups.leases[zone]
    if not lease.owned:
        state.groups.plans.pop(zone, None)
        return []
    plan_state = _current_plan(state.groups, lease)
    effects: list[Effect] = []
    if lease.is_held(now_s):
        effects += _read_if_due(plan_state, zone, now_s)
        effects += _execute_plan(state, zone, now_s)
    return effects + _announce_if_due(state.groups, zone, now_s)


def _current_plan(groups: GroupsState, lease: Lease) -> ZonePlan:
    """Return the zone's planning state, discarding that of an earlier epoch."""
    plan_state = groups.plans.get(lease.zone)
    if plan_state is None or plan_state.epoch_version != lease.epoch_version:
        plan_state = ZonePlan(epoch_version=lease.epoch_version)
        groups.plans[lease.zone] = plan_state
    return plan_state


def _read_if_due(plan_state: ZonePlan, zone: str, now_s: float) -> list[Effect]:
    if plan_state.reading or plan_state.pending is not None:
        return []
    if now_s - plan_state.last_read_s < ZONE_READ_PERIOD_S:
        return []
    plan_state.reading = True
    return [ReadZone(zone, plan_state.epoch_version)]


def reduce_zone_read(state: "State", event: ZoneRead, now_s: float) -> list[Effect]:
    """Apply the groups as read from the table."""
    if event.epoch_version == 0:
        return _apply_follower_read(state, event, now_s)
    plan_state = state.groups.plans.get(event.zone)
    if plan_state is None or plan_state.epoch_version != event.epoch_version:
        return []
    plan_state.reading = False
    if event.snapshot is None:
        return []
    plan_state.last_read_s = now_s
    try:
        plan_state.rows = dict(parse_rows(event.snapshot.rows))
    except GroupRowError as exc:
        # Planning needs all rows; routing keeps the last groups that were read.
        plan_state.rows = None
        return [_row_refused_event(event.zone, exc)]
    plan_state.revision = event.snapshot.revision
    _publish_rows(state.groups, event.zone, plan_state, now_s)
    return [AnnounceGroups(event.zone), *_plan_if_held(state, event.zone, now_s)]


def _apply_follower_read(state: "State", event: ZoneRead, now_s: float) -> list[Effect]:
    view = state.groups.views.setdefault(event.zone, GroupViewState())
    view.reading = False
    lease = state.groups.leases.get(event.zone)
    if event.snapshot is None or (lease is not None and lease.owned):
        return []
    if event.snapshot.revision < view.revision:
        return []
    try:
        rows = parse_rows(event.snapshot.rows).values()
    except GroupRowError as exc:
        return [_row_refused_event(event.zone, exc)]
    view.revision = event.snapshot.revision
    replace_groups(state.groups, event.zone, tuple(row.group for row in rows))
    return []


def _row_refused_event(zone: str, error: GroupRowError) -> RecordGroupEvent:
    fields = (("zone", zone), ("error", str(error)))
    return RecordGroupEvent(LogEvent.GROUP_ROW_REFUSED, "group row refused", fields)


def replace_groups(groups: GroupsState, zone: str, current: tuple[Group, ...]) -> None:
    """Replace all groups of a zone."""
    other_groups = {
        name: group for name, group in groups.groups.items() if group.zone != zone
    }
    groups.groups = {**other_groups, **{group.group: group for group in current}}


def _publish_rows(
    groups: GroupsState, zone: str, plan_state: ZonePlan, now_s: float
) -> None:
    """Publish new rows within the process and record when their phases started."""
    rows = plan_state.rows or {}
    replace_groups(groups, zone, tuple(row.group for row in rows.values()))
    keys = [phase_key(row) for row in rows.values()]
    since_s = plan_state.phase_since_s
    plan_state.phase_since_s = {key: since_s.get(key, now_s) for key in keys}
    view = groups.views.setdefault(zone, GroupViewState())
    view.revision = max(view.revision, plan_state.revision)
    members = {member.vm for row in rows.values() for member in row.group.members}
    relevant = members | groups.vms.keys()
    plan_state.orders = {
        vm: order for vm, order in plan_state.orders.items() if vm in relevant
    }


def _announce_if_due(groups: GroupsState, zone: str, now_s: float) -> list[Effect]:
    """Announce the groups periodically, also while the table is unavailable."""
    plan_state = groups.plans[zone]
    view = groups.views.setdefault(zone, GroupViewState())
    if plan_state.rows is None or now_s - view.sent_s < ANNOUNCE_PERIOD_S:
        return []
    view.sent_s = now_s
    return [AnnounceGroups(zone)]


def _plan_if_held(state: "State", zone: str, now_s: float) -> list[Effect]:
    lease = state.groups.leases[zone]
    if not lease.is_held(now_s) or zone not in state.groups.plans:
        return []
    return _execute_plan(state, zone, now_s)


def create_plan_view(state: "State", zone: str, now_s: float) -> PlanView:
    """Return the input of a zone's planner."""
    groups = state.groups
    plan_state = groups.plans.get(zone, ZonePlan())
    zone_shares = current_zone_shares(state, now_s)
    return PlanView(
        zone=zone,
        now_s=now_s,
        specs=zone_shares.specs,
        policy=state.config.policy,
        labels=zone_shares.labels,
        vms=groups.vms,
        evidence=state.membership.evidence,
        rows=_rows_of_zone(groups, zone),
        shares=zone_shares.shares,
        selected=zone_shares.selected,
        tuning=groups.tuning or tuning_for(state.config.policy),
        other_groups=tuple(
            group for group in groups.groups.values() if group.zone != zone
        ),
        refuse_old_fence=groups.refuse_old_fence,
        revision=plan_state.revision,
        unresponsive_since_s=groups.unresponsive_since_s,
        phase_since_s=plan_state.phase_since_s,
        failed_since_s=plan_state.failed_since_s,
        orders=plan_state.orders,
        loaded=groups.loaded,
        blocked=frozenset(
            vm for vm, until_s in plan_state.blocked_until_s.items() if now_s < until_s
        ),
    )


def _rows_of_zone(groups: GroupsState, zone: str) -> dict[str, GroupRow]:
    """Return the rows that the holder read, or else the announced groups as rows."""
    plan_state = groups.plans.get(zone)
    if plan_state is not None and plan_state.rows is not None:
        return plan_state.rows
    return {
        name: GroupRow(group)
        for name, group in groups.groups.items()
        if group.zone == zone
    }


def current_zone_shares(state: "State", now_s: float) -> ZoneShares:
    """Return the shares of all zones, recomputed only after a change of the inputs."""
    groups = state.groups
    unavailable = frozenset(_unavailable_vms(state, now_s))
    key = (state.config.revision, groups.vms_changes, unavailable)
    if groups.zone_shares is None or groups.zone_shares.key != key:
        specs = tuple(state.config.of_type(GroupSpec))
        labels = {vm: state.config.labels_of_vm(vm) for vm in groups.vms}
        shares = divide_groups(specs, groups.vms.values(), labels, unavailable)
        vms = groups.vms.values()
        selected = {
            spec.name: frozenset(vm.vm for vm in selected_vms(spec, vms, labels))
            for spec in specs
        }
        groups.zone_shares = ZoneShares(key, specs, labels, shares, selected)
    return groups.zone_shares


def _unavailable_vms(state: "State", now_s: float) -> Iterator[str]:
    """Yield the VMs that cannot contribute to the share of their zone.

    A VM's health reports that it is leaving before the platform's list does.
    """
    for vm, since_s in state.groups.unresponsive_since_s.items():
        if now_s - since_s > SHARE_GRACE_S:
            yield vm
    for vm, evidence in state.membership.evidence.items():
        if evidence.health is not None and evidence.health.leaving:
            yield vm


def _execute_plan(state: "State", zone: str, now_s: float) -> list[Effect]:
    """Run the planner and return its orders and its most urgent transaction."""
    plan_state = state.groups.plans[zone]
    if plan_state.rows is None or state.config.revision == 0:
        return []
    effects: list[Effect] = []
    view = create_plan_view(state, zone, now_s)
    _update_failures(plan_state, view)
    plan_state.waits = {}
    for decision in sorted(plan(view), key=execution_rank):
        match decision:
            case WaitForMember():
                plan_state.waits[decision.group] = decision
            case SendGroupOrder() | LoadAdapters() | ReleaseOrphan():
                effects.append(prepare_order(plan_state, view, decision))
            case _ if plan_state.pending is None and not plan_state.reading:
                effects += prepare_commit(plan_state, view, decision)
    return effects


def _update_failures(plan_state: ZonePlan, view: PlanView) -> None:
    """Record since when members have failed while all members of the group respond."""
    failing = {}
    for row in view.rows.values():
        states = [view.health(member.vm) for member in row.group.members]
        if any(health is None for health in states):
            continue
        if any(health and health.state is MemberState.FAILED for health in states):
            key = (row.name, row.group.generation)
            failing[key] = plan_state.failed_since_s.get(key, view.now_s)
    plan_state.failed_since_s = failing


def reduce_decision_committed(
    state: "State", event: DecisionCommitted, now_s: float
) -> list[Effect]:
    """Apply a confirmed decision; after any other outcome read the zone again."""
    plan_state = state.groups.plans.get(event.zone)
    if plan_state is None or plan_state.epoch_version != event.epoch_version:
        return []
    pending, plan_state.pending = plan_state.pending, None
    if event.revision is None or pending is None or plan_state.rows is None:
        plan_state.last_read_s = float("-inf")
        _block_conflicting_vms(plan_state, event, now_s)
        return []
    row = pending.old
    if pending.old is not None:
        del plan_state.rows[pending.old.name]
    if pending.new is not None:
        row = with_version(pending.new, event.revision)
        plan_state.rows[row.name] = row
    plan_state.revision = event.revision
    _publish_rows(state.groups, event.zone, plan_state, now_s)
    return [
        AnnounceGroups(event.zone),
        decision_event(event.zone, pending.decision, row),
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
            plan_state.blocked_until_s[vm] = now_s + VM_CONFLICT_BACKOFF_S


def reduce_order_finished(
    state: "State", event: OrderFinished, now_s: float
) -> list[Effect]:
    """Record the outcome of an order; the next probe decides whether to resend it."""
    plan_state = state.groups.plans.get(event.zone)
    order = plan_state.orders.get(event.vm) if plan_state else None
    if order is None or order.fence != event.fence:
        return []
    order.in_flight = False
    order.outcome = event.outcome
    if event.outcome is OrderOutcome.ACCEPTED:
        return []
    fields = (
        ("vm", event.vm),
        ("fence", event.fence),
        ("outcome", event.outcome.value),
    )
    return [RecordGroupEvent(LogEvent.ORDER_FAILED, "order failed", fields)]
