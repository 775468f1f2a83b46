"""Plans the groups of one zone: a pure function from what is known to decisions."""

from ..config.models import GroupSpec
from .const import SERVING_NOTICE_S
from .decisions import Decision, DrainGroup, FormGroup, Reason, ReleaseGroup
from .lifecycle import find_orphans, step_group
from .models import GroupPhase
from .placement import may_load, place_group
from .preemption import awaited_vms, choose_victim
from .rows import GroupRow
from .shares import spec_order
from .view import PlanView

_ACTIVE = (GroupPhase.LOADING, GroupPhase.SERVING)


def plan(view: PlanView) -> list[Decision]:
    """Return what to do now; at most one group is formed or drained for others."""
    decisions = [
        decision
        for _, row in sorted(view.rows.items())
        for decision in step_group(view, row)
    ]
    decisions += find_orphans(view)
    change = _next_change(view)
    if change is not None:
        decisions.append(change)
    return decisions


def _next_change(view: PlanView) -> Decision | None:
    ordered = sorted(view.specs, key=spec_order)
    load_allowed = may_load(view)
    reserved: frozenset[str] = frozenset()
    for spec in ordered:
        if not _lacks_minimum(view, spec):
            continue
        change = _complete_minimum(view, spec, load_allowed, reserved)
        if change is not None:
            return change
        reserved |= awaited_vms(view, spec)
    for spec in ordered:
        change = _roll_out(view, spec) or _remove_surplus(view, spec)
        if change is not None:
            return change
    if not load_allowed:
        return None
    for spec in ordered:
        change = _add_group(view, spec, reserved)
        if change is not None:
            return change
    return None


def _lacks_minimum(view: PlanView, spec: GroupSpec) -> bool:
    return len(_usable(view, spec)) < view.share(spec.name).min_groups


def _usable(view: PlanView, spec: GroupSpec) -> list[GroupRow]:
    return [row for row in view.rows_of(spec.name) if _is_usable(view, row)]


def _complete_minimum(
    view: PlanView, spec: GroupSpec, load_allowed: bool, reserved: frozenset[str]
) -> Decision | None:
    """Return a group that the minimum lacks, or the group to dissolve for it."""
    if load_allowed:
        formed = place_group(view, spec, reserved)
        if formed is not None:
            return formed
    waiting = len(view.rows_of(spec.name)) > len(_usable(view, spec))
    if waiting or not view.tuning.preempt:
        return None
    victim = choose_victim(view, spec)
    return _dissolve(victim) if victim else None


def _dissolve(victim: GroupRow) -> Decision:
    """Return the end of a group that gives way; one that loads has no work yet."""
    if victim.phase is GroupPhase.LOADING:
        return ReleaseGroup(victim.name, Reason.PREEMPTED)
    return DrainGroup(victim.name, Reason.PREEMPTED)


def _is_usable(view: PlanView, row: GroupRow) -> bool:
    """Return whether the group serves or is expected to serve without its members."""
    if row.phase is GroupPhase.LOADING or not view.tuning.replace_early:
        return True
    return view.is_answering(row)


def _add_group(
    view: PlanView, spec: GroupSpec, reserved: frozenset[str]
) -> FormGroup | None:
    """Return a group above the minimum."""
    rows = view.rows_of(spec.name)
    share = view.share(spec.name)
    surge = 1 if any(is_outdated(spec, row) for row in rows) else 0
    total = len(rows) + sum(
        group.spec == spec.name and group.phase in _ACTIVE
        for group in view.other_groups
    )
    if len(rows) >= share.max_groups + surge or total >= spec.max_groups + surge:
        return None
    spares = 0 if surge else view.tuning.spares
    return place_group(view, spec, reserved, spares)


def is_outdated(spec: GroupSpec, row: GroupRow) -> bool:
    """Return whether the group was formed for another model, version or size."""
    group = row.group
    declared = (spec.model, spec.version, spec.members)
    return (group.model, group.model_version, len(group.members)) != declared


def _roll_out(view: PlanView, spec: GroupSpec) -> Decision | None:
    """Return one outdated group to end, if the others keep the minimum serving."""
    rows = [row for row in view.rows.values() if row.group.spec == spec.name]
    for row in rows:
        if row.phase is GroupPhase.LOADING and is_outdated(spec, row):
            return ReleaseGroup(row.name, Reason.NEW_VERSION)
    changing = (GroupPhase.LOADING, GroupPhase.DRAINING)
    if any(row.phase in changing for row in rows):
        return None
    outdated = sorted(
        row.name
        for row in rows
        if row.phase is GroupPhase.SERVING and is_outdated(spec, row)
    )
    return _drain_one(view, spec, outdated, Reason.NEW_VERSION)


def _remove_surplus(view: PlanView, spec: GroupSpec) -> DrainGroup | None:
    """Return a group above the maximum, counted in the zone and in total."""
    rows = view.rows_of(spec.name)
    others = [
        group
        for group in view.other_groups
        if group.spec == spec.name and group.phase is GroupPhase.SERVING
    ]
    serving = [row for row in rows if row.phase is GroupPhase.SERVING]
    surge = 1 if any(is_outdated(spec, row) for row in rows) else 0
    if len(rows) <= view.share(spec.name).max_groups + surge:
        return None
    if len(serving) + len(others) <= spec.max_groups + surge:
        return None
    names = sorted((row.name for row in serving), reverse=True)
    return _drain_one(view, spec, names, Reason.SURPLUS)


def _drain_one(
    view: PlanView, spec: GroupSpec, names: list[str], reason: Reason
) -> DrainGroup | None:
    """Return the first group without which the minimum still serves everywhere."""
    serving = {
        row.name
        for row in view.rows_of(spec.name)
        if view.is_serving(row) and view.phase_age_s(row) >= SERVING_NOTICE_S
    }
    for name in sorted(names, key=lambda item: item in serving):
        if len(serving - {name}) >= view.share(spec.name).min_groups:
            return DrainGroup(name, reason)
    return None
