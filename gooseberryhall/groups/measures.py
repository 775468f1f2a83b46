"""Measures of planning: downtime of groups and stranded accelerators.

The process that holds a zone's lease, or held it last, measures the zone. The sum over
all nodes is therefore the total of the deployment, also while the table is unavailable.
"""

from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge

from ..config.models import GroupSpec
from ..membership.evidence import group_closed_reason
from .controller import create_plan_view
from .explain import stranded_reason
from .state import MeasureTotals
from .view import PlanView

if TYPE_CHECKING:
    from ..core.state import State

DOWNTIME = Counter(
    "gooseberryhall_group_downtime_seconds_total",
    "Seconds in which declared groups did not serve, by spec and zone",
)
STRANDED = Counter(
    "gooseberryhall_stranded_vm_seconds_total",
    "Seconds of healthy VMs in no serving group, by zone and reason",
)
LEASES = Gauge(
    "gooseberryhall_lease_held", "1 while this process holds the lease of a zone"
)
GROUPS = Gauge("gooseberryhall_groups", "Groups of owned zones by spec and phase")


def measure_zone(state: "State", zone: str, now_s: float) -> None:
    """Add the time since the last call to the totals of an owned zone."""
    measures = state.groups.measures
    lease = state.groups.leases.get(zone)
    plan_state = state.groups.plans.get(zone)
    if lease is None or not lease.owned or plan_state is None:
        measures.last_measured_s.pop(zone, None)
        return
    if plan_state.rows is None or state.config.revision == 0:
        return
    elapsed_s = now_s - measures.last_measured_s.get(zone, now_s)
    measures.last_measured_s[zone] = now_s
    if elapsed_s <= 0:
        return
    view = create_plan_view(state, zone, now_s)
    _add_downtime(measures, view, elapsed_s)
    _add_stranded(measures, view, elapsed_s)


def count_missing_groups(view: PlanView, spec: GroupSpec) -> int:
    """Return how many declared groups of a spec are missing in the zone.

    A group that another zone has above its own minimum compensates for a missing one.
    """
    serving = sum(view.is_serving(row) for row in view.active_rows(spec.name))
    in_zone = view.share(spec.name).min_groups - serving
    if in_zone <= 0:
        return 0
    elsewhere = sum(
        group.spec == spec.name
        and group_closed_reason(group, view.evidence, view.now_s) is None
        for group in view.other_groups
    )
    return max(0, min(in_zone, spec.min_groups - serving - elsewhere))


def _add_downtime(measures: MeasureTotals, view: PlanView, elapsed_s: float) -> None:
    for spec in view.specs:
        key = (spec.name, view.zone)
        total_s = measures.downtime_s.get(key, 0.0)
        measures.downtime_s[key] = total_s + elapsed_s * count_missing_groups(
            view, spec
        )


def _add_stranded(measures: MeasureTotals, view: PlanView, elapsed_s: float) -> None:
    for vm in view.zone_vms:
        reason = stranded_reason(view, vm)
        if reason is not None:
            key = (view.zone, reason.value)
            measures.stranded_s[key] = measures.stranded_s.get(key, 0.0) + elapsed_s


def export_metrics(state: "State", now_s: float) -> None:
    """Update the metrics of totals, leases and groups."""
    for zone, lease in state.groups.leases.items():
        LEASES.set({"zone": zone}, int(lease.is_held(now_s)))
    measures = state.groups.measures
    for (spec, zone), total_s in measures.downtime_s.items():
        DOWNTIME.set({"spec": spec, "zone": zone}, total_s)
    for (zone, reason), total_s in measures.stranded_s.items():
        STRANDED.set({"zone": zone, "reason": reason}, total_s)
    counts: dict[tuple[str, str, str], int] = {}
    for zone, plan_state in state.groups.plans.items():
        for row in (plan_state.rows or {}).values():
            labels = (zone, row.group.spec, row.phase.value)
            counts[labels] = counts.get(labels, 0) + 1
    for previous_labels, _ in GROUPS.get_all():
        GROUPS.set(previous_labels, 0)
    for (zone, spec, phase), count in counts.items():
        GROUPS.set({"zone": zone, "spec": spec, "phase": phase}, count)
