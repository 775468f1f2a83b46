"""Event handlers of the groups package."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..core.effects import Effect
from ..core.events import Event
from .const import PLAN_PERIOD_S, VIEW_TIMEOUT_S
from .controller import (
    all_zones,
    reduce_decision_committed,
    reduce_order_finished,
    reduce_zone_plan,
    reduce_zone_read,
    replace_groups,
)
from .effects import ReadZone
from .events import (
    DecisionCommitted,
    GroupViewReceived,
    LeaseRead,
    LeaseWritten,
    OrderFinished,
    PlanningStarted,
    PlanningStopped,
    PlanningTick,
    VmsListed,
    ZoneRead,
)
from .lease import mark_lost
from .lease_reducer import (
    holder_of,
    reduce_lease_read,
    reduce_lease_tick,
    reduce_lease_written,
    reduce_leases_released,
)
from .measures import measure_zone
from .state import GroupsState, GroupViewState, LoadedModel
from .view import fresh_health

if TYPE_CHECKING:
    from ..core.reducer import Handler
    from ..core.state import State


def reduce_vms_listed(state: "State", event: VmsListed, now_s: float) -> list[Effect]:
    """Store the platform's newest VM list."""
    vms = {vm.vm: vm for vm in event.vms}
    if vms != state.groups.vms:
        state.groups.vms = vms
        state.groups.vms_changes += 1
    return []


def reduce_view_received(
    state: "State", event: GroupViewReceived, now_s: float
) -> list[Effect]:
    """Apply the groups of a zone unless a newer view was applied before."""
    view = state.groups.views.setdefault(event.zone, GroupViewState())
    if event.revision < view.revision:
        return []
    lease = state.groups.leases.get(event.zone)
    if lease is not None and lease.owned:
        if lease.is_held(now_s) or event.revision == view.revision:
            return []
        # Only a successor can announce a newer revision.
        mark_lost(lease)
    view.revision = event.revision
    view.received_s = now_s
    replace_groups(state.groups, event.zone, event.groups)
    return []


def reduce_planning_started(
    state: "State", event: PlanningStarted, now_s: float
) -> list[Effect]:
    """Store this process's incarnation and whether its engines check fencing."""
    state.groups.incarnation = event.incarnation
    state.groups.refuse_old_fence = event.refuse_old_fence
    return []


def reduce_tick(state: "State", event: PlanningTick, now_s: float) -> list[Effect]:
    """Renew or contend for leases, then plan the zones whose leases are held."""
    groups = state.groups
    if not groups.incarnation or groups.stopping:
        return []
    zones = all_zones(state)
    effects: list[Effect] = []
    for zone in zones:
        effects += reduce_lease_tick(groups, holder_of(state), zone, now_s)
    if now_s - groups.planned_s < PLAN_PERIOD_S:
        return effects
    groups.planned_s = now_s
    _update_observations(state, now_s)
    for zone in zones:
        measure_zone(state, zone, now_s)
        effects += reduce_zone_plan(state, zone, now_s)
        effects += _read_if_unannounced(groups, zone, now_s)
    return effects


def _update_observations(state: "State", now_s: float) -> None:
    """Record since when VMs are unresponsive and which weights engines loaded."""
    groups = state.groups
    evidence = state.membership.evidence
    unresponsive: dict[str, float] = {}
    for vm in {*groups.vms, *(_members(groups))}:
        health = fresh_health(evidence.get(vm), now_s)
        if health is None:
            unresponsive[vm] = groups.unresponsive_since_s.get(vm, now_s)
            continue
        group = groups.groups.get(health.group)
        if group is not None and group.generation == health.generation:
            groups.loaded[vm] = LoadedModel(
                health.boot_id, group.model, group.model_version
            )
    groups.unresponsive_since_s = unresponsive
    groups.loaded = {vm: item for vm, item in groups.loaded.items() if vm in groups.vms}


def _members(groups: GroupsState) -> set[str]:
    return {member.vm for group in groups.groups.values() for member in group.members}


def _read_if_unannounced(groups: GroupsState, zone: str, now_s: float) -> list[Effect]:
    """Read a zone's groups from the table when no holder announces them."""
    lease = groups.leases.get(zone)
    if lease is not None and lease.owned:
        return []
    view = groups.views.setdefault(zone, GroupViewState())
    if view.reading or now_s - max(view.received_s, view.sent_s) < VIEW_TIMEOUT_S:
        return []
    view.reading = True
    view.sent_s = now_s
    return [ReadZone(zone, epoch_version=0)]


def reduce_planning_stopped(
    state: "State", event: PlanningStopped, now_s: float
) -> list[Effect]:
    """Stop planning and release all leases."""
    state.groups.stopping = True
    return reduce_leases_released(state.groups, holder_of(state), now_s)


HANDLERS: "Mapping[type[Event], Handler]" = {
    VmsListed: reduce_vms_listed,
    GroupViewReceived: reduce_view_received,
    PlanningStarted: reduce_planning_started,
    PlanningTick: reduce_tick,
    PlanningStopped: reduce_planning_stopped,
    LeaseRead: reduce_lease_read,
    LeaseWritten: reduce_lease_written,
    ZoneRead: reduce_zone_read,
    DecisionCommitted: reduce_decision_committed,
    OrderFinished: reduce_order_finished,
}
