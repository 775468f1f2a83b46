"""Plans the groups of one zone as a pure function from its state to decisions."""

from ..config.models import GroupSpec
from .const import SERVING_PROPAGATION_S
from .decisions import Decision, DrainGroup, FormGroup, Reason, ReleaseGroup
from .lifecycle import find_orphans, step_group
from .models import GroupPhase
from .placement import may_start_load, place_group
from .preemption import choose_victim, find_reserved_vms
from .rows import GroupRow
from .shares import spec_sort_key
from .view import PlanView

_ACTIVE = (GroupPhase.LOADING, GroupPhase.SERVING)


def plan(view: PlanView) -> list[Decision]:
    """Return the decisions for the zone.

    At most one group is formed, or ended in favor of others, at a time.
    """
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
    ordered = sorted(view.specs, key=spec_sort_key)
    load_allowed = may_start_load(view)
    reserved: frozenset[str] = frozenset()
    for spec in ordered:
        if not _is_below_minimum(view, spec):
            continue
        change = _complete_minimum(view, spec, load_allowed, reserved)
        if change is not None:
            return change
        reserved |= find_reserved_vms(view, spec)
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


def _is_below_minimum(view: PlanView, spec: GroupSpec) -> bool:
    return len(_usable_rows(view, spec)) < view.share(spec.name).min_groups


def _usable_rows(view: PlanView, spec: GroupSpec) -> list[GroupRow]:
    return [row for row in view.active_rows(spec.name) if _is_usable(view, row)]


def _complete_minimum(
    view: PlanView, spec: GroupSpec, load_allowed: bool, reserved: frozenset[str]
) -> Decision | None:
    """Return a new group for the minimum, or the group to preempt for it."""
    if load_allowed:
        formed = place_group(view, spec, reserved)
        if formed is not None:
            return formed
    waiting = len(view.active_rows(spec.name)) > len(_usable_rows(view, spec))
    if waiting or not view.tuning.preempt:
        return None
    victim = choose_victim(view, spec)
    return _end_preempted_group(victim) if victim else None


def _end_preempted_group(victim: GroupRow) -> Decision:
    """Return the decision that ends a preempted group.

    A loading group has no requests yet and needs no drain.
    """
    if victim.phase is GroupPhase.LOADING:
        return ReleaseGroup(victim.name, Reason.PREEMPTED)
    return DrainGroup(victim.name, Reason.PREEMPTED)


def _is_usable(view: PlanView, row: GroupRow) -> bool:
    """Return whether the group counts towards the minimum.

    It does while it loads or all members respond, or if `replace_early` is off.
    """
    if row.phase is GroupPhase.LOADING or not view.tuning.replace_early:
        return True
    return view.is_responsive(row)


def _add_group(
    view: PlanView, spec: GroupSpec, reserved: frozenset[str]
) -> FormGroup | None:
    """Return a new group above the minimum."""
    rows = view.active_rows(spec.name)
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
    """Return an outdated group to end if the others keep the minimum serving."""
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
    """Return the group to drain if both the zone and the total exceed the maximum."""
    rows = view.active_rows(spec.name)
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
    """Return the first group to drain that leaves the minimum serving.

    Groups that do not serve come first.
    """
    serving = {
        row.name
        for row in view.active_rows(spec.name)
        if view.is_serving(row) and view.phase_age_s(row) >= SERVING_PROPAGATION_S
    }
    for name in sorted(names, key=lambda item: item in serving):
        if len(serving - {name}) >= view.share(spec.name).min_groups:
            return DrainGroup(name, reason)
    return None
