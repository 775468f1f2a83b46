"""Decides how long a group waits for members that stopped answering.

A paused member that comes back makes its group serve at once. A regroup costs a load of
all members. Waiting is therefore worth while for about the time that a regroup takes,
and for longer when no regroup is possible.
"""

from .models import GroupPhase
from .rows import GroupRow
from .view import PlanView


def missing_limit_s(view: PlanView, row: GroupRow) -> float:
    """Return how long members of the group may be silent before it is released."""
    if view.is_unreachable:
        # When no VM of the zone answers, this process is more likely cut off than
        # all VMs are dead, and a release could not reach them anyway.
        return float("inf")
    silent = sum(view.health(member.vm) is None for member in row.group.members)
    if _replacements(view, row) >= silent:
        return view.tuning.wait_with_replacement_s
    return view.tuning.wait_without_replacement_s


def _replacements(view: PlanView, row: GroupRow) -> int:
    """Return how many VMs of the group's domain could replace its silent members."""
    spec = view.spec_by_name.get(row.group.spec)
    if spec is None:
        return len(row.group.members)
    domain = row.group.fabric_domain
    usable = {vm.vm for vm in view.free_vms[spec.name] if vm.fabric_domain == domain}
    selected = {vm for vm in view.selected[spec.name] if view.health(vm) is not None}
    others = [other for other in view.rows.values() if other.name != row.name]
    for other in others:
        if other.group.fabric_domain == domain and _may_give(view, row, other):
            usable |= {member.vm for member in other.group.members} & selected
    return len(usable)


def _may_give(view: PlanView, row: GroupRow, other: GroupRow) -> bool:
    """Return whether the other group's VMs may complete a new group for this one."""
    if other.phase in (GroupPhase.DRAINING, GroupPhase.RELEASING):
        return True
    own = view.spec_by_name[row.group.spec]
    spec = view.spec_by_name.get(other.group.spec)
    if spec is None:
        return True
    usable = [item for item in view.rows_of(own.name) if view.is_answering(item)]
    below = len(usable) < view.share(own.name).min_groups
    if below and spec.priority < own.priority and view.tuning.preempt:
        return True
    # Two broken groups can make one whole group.
    return spec.priority <= own.priority and not view.is_answering(other)
