"""How the planner weighs downtime against stranded accelerators."""

from dataclasses import dataclass
from typing import Final

from ..config.models import Policy

# With replacements at hand, a longer wait costs more than the loads that it saves. It
# has to cover a few probes, because one late answer does not mean a lost member.
WAIT_FOR_MEMBER_S: Final = 5.0
# Without replacements a release would not bring the group back any sooner.
HOLD_FOR_MEMBER_S: Final = 120.0


@dataclass(frozen=True, slots=True)
class Tuning:
    """Choices of the planner.

    `wait_with_replacement_s` and `wait_without_replacement_s` bound how long a group
    waits for unresponsive members, with and without VMs that could replace them.
    `spares` is the number of free VMs that groups above the minimum leave in their
    domain. `preempt` dissolves groups of lower priority. `replace_early` forms another
    group while a broken one still waits.
    """

    wait_with_replacement_s: float = WAIT_FOR_MEMBER_S
    wait_without_replacement_s: float = HOLD_FOR_MEMBER_S
    spares: int = 0
    prefer_warm: bool = True
    preempt: bool = True
    replace_early: bool = True


def tuning_for(policy: Policy) -> Tuning:
    """Return the choices that the operator's weights ask for."""
    # A group that gives way strands its VMs for a drain and a load, which saves
    # downtime only.
    return Tuning(preempt=policy.downtime_weight >= policy.stranded_weight)
