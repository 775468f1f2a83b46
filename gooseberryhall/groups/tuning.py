"""Planner options that trade group downtime against stranded accelerators."""

from dataclasses import dataclass
from typing import Final

from ..config.models import Policy

# With replacements available, a longer wait costs more than the loads that it saves. It
# spans a few probes, because one late response does not mean that a member is lost.
WAIT_WITH_REPLACEMENT_S: Final = 5.0
# Without replacements, releasing the group would not restore it any sooner.
WAIT_WITHOUT_REPLACEMENT_S: Final = 120.0


@dataclass(frozen=True, slots=True)
class Tuning:
    """Options of the planner.

    `wait_with_replacement_s` and `wait_without_replacement_s` bound how long a group
    waits for unresponsive members, with and without VMs that could replace them.
    `spares` is the number of VMs that groups above the minimum leave free in their
    fabric domain. `prefer_warm` places groups on VMs that have loaded the weights.
    `preempt` dissolves groups of lower priority. `replace_early` forms another group
    while an unresponsive one still waits for its members.
    """

    wait_with_replacement_s: float = WAIT_WITH_REPLACEMENT_S
    wait_without_replacement_s: float = WAIT_WITHOUT_REPLACEMENT_S
    spares: int = 0
    prefer_warm: bool = True
    preempt: bool = True
    replace_early: bool = True


def tuning_for(policy: Policy) -> Tuning:
    """Return the options for the weights that the operator configured."""
    # Preemption strands the VMs during a drain and a load and reduces only downtime.
    return Tuning(preempt=policy.downtime_weight >= policy.stranded_weight)
