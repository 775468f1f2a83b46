"""How the planner weighs downtime against stranded accelerators."""

from dataclasses import dataclass
from typing import Final

from ..config.models import Policy

# With replacements at hand, a longer wait costs more than the load that it may save.
WAIT_FOR_MEMBER_S: Final = 10.0
# Without replacements a release would not bring the group back any sooner.
HOLD_FOR_MEMBER_S: Final = 120.0


@dataclass(frozen=True, slots=True)
class Tuning:
    """Choices of the planner.

    `wait_s` and `hold_s` bound how long a group waits for silent members, with and
    without VMs that could replace them. `spares` is the number of free VMs that groups
    above the minimum leave in their domain. `preempt` dissolves groups of lower
    priority, `preempt_minimum` also those that their own spec's minimum needs.
    `replace_early` forms another group while a broken one still waits.
    """

    wait_s: float = WAIT_FOR_MEMBER_S
    hold_s: float = HOLD_FOR_MEMBER_S
    spares: int = 0
    prefer_warm: bool = True
    preempt: bool = True
    preempt_minimum: bool = True
    replace_early: bool = True


def tuning_for(policy: Policy) -> Tuning:
    """Return the choices that the operator's weights ask for."""
    # Groups of lower priority that give way strand their VMs for a drain and a load.
    return Tuning(preempt_minimum=policy.downtime_weight >= policy.stranded_weight)
