"""Decides how long a group waits for a member that stopped answering."""

from typing import Final

from .rows import GroupRow
from .view import PlanView

# With replacements at hand, waiting is worth less than the time of a load.
WAIT_FOR_MEMBER_S: Final = 10.0
# Without replacements a release would not bring the group back any sooner.
HOLD_FOR_MEMBER_S: Final = 120.0


def missing_limit_s(view: PlanView, row: GroupRow) -> float:
    """Return how long members of the group may be silent before it is released."""
    silent = {
        member.vm for member in row.group.members if view.health(member.vm) is None
    }
    free = [
        vm
        for vm in view.free_vms.get(row.group.spec, ())
        if vm.fabric_domain == row.group.fabric_domain
    ]
    return WAIT_FOR_MEMBER_S if len(free) >= len(silent) else HOLD_FOR_MEMBER_S
