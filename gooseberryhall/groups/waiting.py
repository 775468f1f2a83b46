"""Decides how long a group waits for unresponsive members.

When a paused member returns, its group serves at once, whereas a new group costs a load
on all members. It is therefore worthwhile to wait for about as long as it takes to form
a new group, and for longer if no new group is possible.
"""

from .models import GroupPhase
from .rows import GroupRow
from .view import PlanView


def member_wait_limit_s(view: PlanView, row: GroupRow) -> float:
    """Return how long the group waits for unresponsive members before its release."""
    if view.is_zone_unreachable:
        # If no VM of the zone responds, a network partition of this process is more
        # likely than a failure of all VMs, and a release could not reach them anyway.
        return float("inf")
    unresponsive = sum(view.health(member.vm) is None for member in row.group.members)
    if _count_replacements(view, row) >= unresponsive:
        return view.tuning.wait_with_replacement_s
    return view.tuning.wait_without_replacement_s


def _count_replacements(view: PlanView, row: GroupRow) -> int:
    """Return how many VMs of the group's domain could replace unresponsive members."""
    spec = view.spec_by_name.get(row.group.spec)
    if spec is None:
        return len(row.group.members)
    domain = row.group.fabric_domain
    candidates = {
        vm.vm for vm in view.free_vms[spec.name] if vm.fabric_domain == domain
    }
    selected = {vm for vm in view.selected[spec.name] if view.health(vm) is not None}
    others = [other for other in view.rows.values() if other.name != row.name]
    for other in others:
        if other.group.fabric_domain == domain and _may_provide_vms(view, row, other):
            candidates |= {member.vm for member in other.group.members} & selected
    return len(candidates)


def _may_provide_vms(view: PlanView, row: GroupRow, other: GroupRow) -> bool:
    """Return whether the other group's VMs may be used to replace this group."""
    if other.phase in (GroupPhase.DRAINING, GroupPhase.RELEASING):
        return True
    own_spec = view.spec_by_name[row.group.spec]
    spec = view.spec_by_name.get(other.group.spec)
    if spec is None:
        return True
    responsive_groups = [
        item for item in view.active_rows(own_spec.name) if view.is_responsive(item)
    ]
    is_below_minimum = len(responsive_groups) < view.share(own_spec.name).min_groups
    if is_below_minimum and spec.priority < own_spec.priority and view.tuning.preempt:
        return True
    # The responsive members of two broken groups can form one complete group.
    return spec.priority <= own_spec.priority and not view.is_responsive(other)
