"""Event handlers of the groups concern."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..core.effects import Effect
from ..core.events import Event
from .const import PLAN_PERIOD_S, VIEW_LIMIT_S
from .controller import (
    known_zones,
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
from .lease import lose
from .lease_reducer import (
    holder_of,
    reduce_lease_read,
    reduce_lease_tick,
    reduce_lease_written,
    reduce_leases_released,
)
from .measures import measure_zone
from .state import GroupsState, LoadedModel, ViewState
from .view import fresh_health

if TYPE_CHECKING:
    from ..core.reducer import Handler
    from ..core.state import State


def reduce_vms_listed(state: "State", event: VmsListed, now_s: float) -> list[Effect]:
    """Keep the platform's newest list."""
    vms = {vm.vm: vm for vm in event.vms}
    if vms != state.groups.vms:
        state.groups.vms = vms
        state.groups.vms_changes += 1
    return []


def reduce_view_received(
    state: "State", event: GroupViewReceived, now_s: float
) -> list[Effect]:
    """Take over the groups of a zone unless a newer view is known."""
    view = state.groups.views.setdefault(event.zone, ViewState())
    if event.revision < view.revision:
        return []
    lease = state.groups.leases.get(event.zone)
    if lease is not None and lease.owned:
        if lease.is_held(now_s) or event.revision == view.revision:
            return []
        # Only a later holder can announce a newer revision.
        lose(lease)
    view.revision = event.revision
    view.seen_s = now_s
    replace_groups(state.groups, event.zone, event.groups)
    return []


def reduce_planning_started(
    state: "State", event: PlanningStarted, now_s: float
) -> list[Effect]:
    """Note who this process is and how its engines take orders."""
    state.groups.incarnation = event.incarnation
    state.groups.refuse_old_fence = event.refuse_old_fence
    return []


def reduce_tick(state: "State", event: PlanningTick, now_s: float) -> list[Effect]:
    """Renew or contend for leases, then plan the zones that are held."""
    groups = state.groups
    if not groups.incarnation or groups.stopping:
        return []
    zones = known_zones(state)
    effects: list[Effect] = []
    for zone in zones:
        effects += reduce_lease_tick(groups, holder_of(state), zone, now_s)
    if now_s - groups.planned_s < PLAN_PERIOD_S:
        return effects
    groups.planned_s = now_s
    _note_evidence(state, now_s)
    for zone in zones:
        measure_zone(state, zone, now_s)
        effects += reduce_zone_plan(state, zone, now_s)
        effects += _read_unannounced(groups, zone, now_s)
    return effects


def _note_evidence(state: "State", now_s: float) -> None:
    """Note since when VMs are silent and which weights their engines hold."""
    groups = state.groups
    evidence = state.membership.evidence
    silent: dict[str, float] = {}
    for vm in {*groups.vms, *(_members(groups))}:
        health = fresh_health(evidence.get(vm), now_s)
        if health is None:
            silent[vm] = groups.silent_since_s.get(vm, now_s)
            continue
        group = groups.groups.get(health.group)
        if group is not None and group.generation == health.generation:
            groups.loaded[vm] = LoadedModel(
                health.boot_id, group.model, group.model_version
            )
    groups.silent_since_s = silent
    groups.loaded = {vm: item for vm, item in groups.loaded.items() if vm in groups.vms}


def _members(groups: GroupsState) -> set[str]:
    return {member.vm for group in groups.groups.values() for member in group.members}


def _read_unannounced(groups: GroupsState, zone: str, now_s: float) -> list[Effect]:
    """Read a zone's groups from the table when no holder announces them."""
    lease = groups.leases.get(zone)
    if lease is not None and lease.owned:
        return []
    view = groups.views.setdefault(zone, ViewState())
    if view.reading or now_s - max(view.seen_s, view.sent_s) < VIEW_LIMIT_S:
        return []
    view.reading = True
    view.sent_s = now_s
    return [ReadZone(zone, epoch_version=0)]


def reduce_planning_stopped(
    state: "State", event: PlanningStopped, now_s: float
) -> list[Effect]:
    """Release all leases and plan no more."""
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
