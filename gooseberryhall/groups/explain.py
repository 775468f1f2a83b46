"""Explains to operators why groups do not serve and why VMs are stranded."""

from enum import StrEnum
from typing import TYPE_CHECKING, Any

from ..config.models import GroupSpec
from ..membership.evidence import group_closed_reason
from ..membership.models import MemberState
from .controller import all_zones, create_plan_view
from .models import Group, GroupPhase, Vm, VmState
from .placement import may_start_load
from .shares import has_drain_label
from .state import ZonePlan
from .view import PlanView, vms_by_domain

if TYPE_CHECKING:
    from ..core.state import State


class StrandedReason(StrEnum):
    """Why a healthy VM is in no serving group."""

    GROUP_LOADING = "group_loading"
    GROUP_DRAINING = "group_draining"
    GROUP_RELEASING = "group_releasing"
    GROUP_CLOSED = "group_closed"
    OTHER_GROUP = "other_group"
    DRAIN_LABEL = "drain_label"
    NOT_SELECTED = "not_selected"
    SPARE = "spare"


_PHASE_REASONS = {
    GroupPhase.LOADING: StrandedReason.GROUP_LOADING,
    GroupPhase.DRAINING: StrandedReason.GROUP_DRAINING,
    GroupPhase.RELEASING: StrandedReason.GROUP_RELEASING,
}


def stranded_reason(view: PlanView, vm: Vm) -> StrandedReason | None:
    """Return why a VM is stranded, or None if it serves or is not healthy."""
    health = view.health(vm.vm)
    if health is None or health.leaving or vm.state is VmState.LEAVING:
        return None
    if health.state is MemberState.FAILED and vm.vm not in view.group_of_vm:
        return None
    name = view.group_of_vm.get(vm.vm)
    if name is not None:
        row = view.rows[name]
        if view.is_serving(row):
            return None
        return _PHASE_REASONS.get(row.phase, StrandedReason.GROUP_CLOSED)
    if health.group:
        return StrandedReason.OTHER_GROUP
    if has_drain_label(view.labels.get(vm.vm, {})):
        return StrandedReason.DRAIN_LABEL
    if not any(vm.vm in names for names in view.selected.values()):
        return StrandedReason.NOT_SELECTED
    return StrandedReason.SPARE


def status(state: "State", now_s: float) -> dict[str, Any]:
    """Return the status of leases, groups, VMs and missing groups, with reasons."""
    zones = all_zones(state)
    views = {zone: create_plan_view(state, zone, now_s) for zone in zones}
    return {
        "leases": {zone: _explain_lease(state, zone, now_s) for zone in zones},
        "groups": {
            name: explain_group(state, group, now_s)
            for name, group in sorted(state.groups.groups.items())
        },
        "vms": {
            vm.vm: explain_vm(views[vm.zone], vm)
            for _, vm in sorted(state.groups.vms.items())
        },
        "missing": {
            zone: {
                spec.name: reason
                for spec in view.specs
                if (reason := explain_missing(view, spec))
            }
            for zone, view in views.items()
            if _is_planned_here(state, zone)
        },
    }


def explain_group(state: "State", group: Group, now_s: float) -> dict[str, Any]:
    """Return the status of a group and what keeps it from serving."""
    evidence = state.membership.evidence
    closed = group_closed_reason(group, evidence, now_s)
    plan_state = state.groups.plans.get(group.zone, ZonePlan())
    row = (plan_state.rows or {}).get(group.group)
    wait = plan_state.waits.get(group.group)
    view = create_plan_view(state, group.zone, now_s)
    result: dict[str, Any] = {
        "spec": group.spec,
        "zone": group.zone,
        "phase": group.phase.value,
        "generation": group.generation,
        "serves": closed is None,
        "closed_by": closed.value if closed else None,
        "members": {},
    }
    if row is not None:
        result["phase_reason"] = row.reason
        for member in group.members:
            reason = view.closed_reason(row, member)
            result["members"][member.vm] = reason.value if reason else "serving"
    if wait is not None:
        result["waits_for"] = wait.vm
        result["waits_s"] = max(0.0, wait.until_s - now_s)
    return result


def explain_vm(view: PlanView, vm: Vm) -> dict[str, Any]:
    """Return where a VM is used, or why it is stranded."""
    health = view.health(vm.vm)
    reason = stranded_reason(view, vm)
    return {
        "zone": vm.zone,
        "fabric_domain": vm.fabric_domain,
        "listed": vm.state.value,
        "healthy": health is not None,
        "silent_s": view.unresponsive_s(vm.vm),
        "group": view.group_of_vm.get(vm.vm),
        "stranded_by": reason.value if reason else None,
        "selected_by": sorted(
            spec for spec, names in view.selected.items() if vm.vm in names
        ),
    }


def explain_missing(view: PlanView, spec: GroupSpec) -> str | None:
    """Return why the zone has fewer groups of a spec than its share.

    Returns None if it has enough.
    """
    share = view.share(spec.name)
    rows = view.active_rows(spec.name)
    if len(rows) >= share.min_groups:
        return None
    count = f"{len(rows)} of {share.min_groups} groups"
    domains = vms_by_domain(view.free_vms[spec.name])
    max_free = max((len(vms) for vms in domains.values()), default=0)
    if max_free < spec.members:
        selected = len(view.selected[spec.name])
        return (
            f"{count}: no fabric domain has {spec.members} free VMs "
            f"(most: {max_free}); the selector matches {selected} VMs in all zones"
        )
    if not may_start_load(view):
        return f"{count}: max_concurrent_loads is reached"
    return f"{count}: the next group is about to be assigned"


def _is_planned_here(state: "State", zone: str) -> bool:
    plan_state = state.groups.plans.get(zone)
    return plan_state is not None and plan_state.rows is not None


def _explain_lease(state: "State", zone: str, now_s: float) -> dict[str, Any]:
    lease = state.groups.leases.get(zone)
    view = state.groups.views.get(zone)
    return {
        "held": lease is not None and lease.is_held(now_s),
        "owned": lease is not None and lease.owned,
        "epoch": lease.epoch if lease else 0,
        "view_revision": view.revision if view else 0,
    }
