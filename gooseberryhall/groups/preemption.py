"""Selects a group to preempt for a spec that is below its minimum."""

from ..config.models import GroupSpec
from .models import GroupPhase
from .rows import GroupRow
from .view import PlanView, vms_by_domain

_ENDING = (GroupPhase.DRAINING, GroupPhase.RELEASING)


def choose_victim(view: PlanView, spec: GroupSpec) -> GroupRow | None:
    """Return the lower-priority group to dissolve for a group of the spec.

    Returns None if groups that are already ending will free enough VMs.
    """
    free = {vm.vm for vm in view.free_vms[spec.name]}
    best: tuple[tuple[int, int, int, str], GroupRow] | None = None
    selected = [vm for vm in view.zone_vms if vm.vm in view.selected[spec.name]]
    for domain, vms in vms_by_domain(selected).items():
        names = {vm.vm for vm in vms}
        lacking = (
            spec.members
            - len(free & names)
            - _count_vms_to_be_freed(view, domain, names)
        )
        if lacking <= 0:
            return None
        for rank, row in _victims(view, spec, domain, names, lacking):
            if best is None or rank < best[0]:
                best = (rank, row)
    return best[1] if best else None


def find_reserved_vms(view: PlanView, spec: GroupSpec) -> frozenset[str]:
    """Return the free VMs of the domain in which ending groups will free the rest.

    Specs of lower priority must not use them while the other VMs still drain.
    """
    free = {vm.vm for vm in view.free_vms[spec.name]}
    best: frozenset[str] = frozenset()
    selected = [vm for vm in view.zone_vms if vm.vm in view.selected[spec.name]]
    for domain, vms in vms_by_domain(selected).items():
        names = {vm.vm for vm in vms}
        free_in_domain = frozenset(free & names)
        enough = (
            len(free_in_domain) + _count_vms_to_be_freed(view, domain, names)
            >= spec.members
        )
        if enough and len(free_in_domain) > len(best):
            best = free_in_domain
    return best


def _count_vms_to_be_freed(view: PlanView, domain: str, names: set[str]) -> int:
    """Return how many responsive VMs of ending groups the spec could use."""
    return sum(
        member.vm in names and view.health(member.vm) is not None
        for row in view.rows.values()
        if row.phase in _ENDING and row.group.fabric_domain == domain
        for member in row.group.members
    )


def _victims(
    view: PlanView, spec: GroupSpec, domain: str, names: set[str], lacking: int
) -> list[tuple[tuple[int, int, int, str], GroupRow]]:
    """Return the domain's lower-priority groups with the rank of their cost.

    The rank starts with the number of groups that have to be dissolved, so that as few
    VMs as possible are reassigned.
    """
    candidates = []
    for row in view.rows.values():
        other = view.spec_by_name.get(row.group.spec)
        if other is None or other.priority >= spec.priority:
            continue
        if row.phase in _ENDING or row.group.fabric_domain != domain:
            continue
        gained_vms = sum(member.vm in names for member in row.group.members)
        loses_minimum = (
            len(view.active_rows(other.name)) <= view.share(other.name).min_groups
        )
        if gained_vms:
            candidates.append((gained_vms, loses_minimum, other.priority, row))
    if sum(gained_vms for gained_vms, *_ in candidates) < lacking:
        return []
    return [
        ((-(-lacking // gained_vms), loses_minimum, priority, row.name), row)
        for gained_vms, loses_minimum, priority, row in candidates
    ]
