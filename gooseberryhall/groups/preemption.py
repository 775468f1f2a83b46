"""Chooses a group to dissolve for a spec that is below its minimum."""

from ..config.models import GroupSpec
from .models import GroupPhase
from .rows import GroupRow
from .view import PlanView, by_domain

_ENDING = (GroupPhase.DRAINING, GroupPhase.RELEASING)


def choose_victim(view: PlanView, spec: GroupSpec) -> GroupRow | None:
    """Return the lower-priority group whose VMs complete a group of the spec.

    None is returned when groups that already end will free enough VMs.
    """
    free = {vm.vm for vm in view.free_vms[spec.name]}
    best: tuple[tuple[int, int, int, str], GroupRow] | None = None
    selected = [vm for vm in view.zone_vms if vm.vm in view.selected[spec.name]]
    for domain, vms in by_domain(selected).items():
        names = {vm.vm for vm in vms}
        lacking = spec.members - len(free & names) - _coming(view, domain, names)
        if lacking <= 0:
            return None
        for rank, row in _victims(view, spec, domain, names, lacking):
            if best is None or rank < best[0]:
                best = (rank, row)
    return best[1] if best else None


def awaited_vms(view: PlanView, spec: GroupSpec) -> frozenset[str]:
    """Return the free VMs of the domain whose ending groups will complete a group.

    Specs of lower priority must not take them while the other VMs still drain.
    """
    free = {vm.vm for vm in view.free_vms[spec.name]}
    best: frozenset[str] = frozenset()
    selected = [vm for vm in view.zone_vms if vm.vm in view.selected[spec.name]]
    for domain, vms in by_domain(selected).items():
        names = {vm.vm for vm in vms}
        own = frozenset(free & names)
        enough = len(own) + _coming(view, domain, names) >= spec.members
        if enough and len(own) > len(best):
            best = own
    return best


def _coming(view: PlanView, domain: str, names: set[str]) -> int:
    """Return how many answering VMs of groups that end the spec could use."""
    return sum(
        member.vm in names and view.health(member.vm) is not None
        for row in view.rows.values()
        if row.phase in _ENDING and row.group.fabric_domain == domain
        for member in row.group.members
    )


def _victims(
    view: PlanView, spec: GroupSpec, domain: str, names: set[str], lacking: int
) -> list[tuple[tuple[int, int, int, str], GroupRow]]:
    """Return the domain's lower-priority groups, each ranked by what its loss costs.

    The number of groups that the domain has to lose comes first: as few VMs as
    possible are moved.
    """
    usable = []
    for row in view.rows.values():
        other = view.spec_by_name.get(row.group.spec)
        if other is None or other.priority >= spec.priority:
            continue
        if row.phase in _ENDING or row.group.fabric_domain != domain:
            continue
        gain = sum(member.vm in names for member in row.group.members)
        below = len(view.rows_of(other.name)) <= view.share(other.name).min_groups
        if gain:
            usable.append((gain, below, other.priority, row))
    if sum(gain for gain, *_ in usable) < lacking:
        return []
    return [
        ((-(-lacking // gain), below, priority, row.name), row)
        for gain, below, priority, row in usable
    ]
