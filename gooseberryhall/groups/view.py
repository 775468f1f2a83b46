"""What the planner of a zone sees, and questions about it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property

from ..config.models import GroupSpec, Policy
from ..const import EVIDENCE_MAX_AGE_S
from ..membership.evidence import ClosedReason, member_closed_reason
from ..membership.models import Evidence, MemberHealth, MemberState
from .const import ANSWER_LIMIT_S
from .models import Group, GroupPhase, Member, Vm, VmState
from .rows import GroupRow
from .shares import Labels, Share, is_drained
from .state import LoadedModel, OrderState
from .tuning import Tuning

_ACTIVE = (GroupPhase.LOADING, GroupPhase.SERVING)


@dataclass(frozen=True)
class PlanView:
    """The input of the planner; nothing in it changes while it plans.

    `rows` are the groups of the zone, `other_groups` those of all other zones and
    `selected` the VMs that groups of a spec may use. The
    mappings of times hold when this process first saw what they name.
    """

    zone: str
    now_s: float
    specs: tuple[GroupSpec, ...]
    policy: Policy
    labels: Labels
    vms: Mapping[str, Vm]
    evidence: Mapping[str, Evidence]
    rows: Mapping[str, GroupRow]
    shares: Mapping[tuple[str, str], Share]
    selected: Mapping[str, frozenset[str]]
    tuning: Tuning
    other_groups: tuple[Group, ...] = ()
    refuse_old_fence: bool = False
    revision: int = 0
    silent_since_s: Mapping[str, float] = field(default_factory=dict)
    phase_since_s: Mapping[tuple[str, int, str], float] = field(default_factory=dict)
    failed_since_s: Mapping[tuple[str, int], float] = field(default_factory=dict)
    orders: Mapping[str, OrderState] = field(default_factory=dict)
    loaded: Mapping[str, LoadedModel] = field(default_factory=dict)
    blocked: frozenset[str] = frozenset()

    @cached_property
    def spec_by_name(self) -> dict[str, GroupSpec]:
        """Return the declared specs by name."""
        return {spec.name: spec for spec in self.specs}

    @cached_property
    def group_of_vm(self) -> dict[str, str]:
        """Return the group of each assigned VM of the zone."""
        return {
            member.vm: row.name
            for row in self.rows.values()
            for member in row.group.members
        }

    @cached_property
    def zone_vms(self) -> tuple[Vm, ...]:
        """Return the listed VMs of the zone."""
        return tuple(vm for vm in self.vms.values() if vm.zone == self.zone)

    @cached_property
    def free_vms(self) -> dict[str, tuple[Vm, ...]]:
        """Return by spec the VMs that a new group may use."""
        usable = [vm for vm in self.zone_vms if self.is_free(vm)]
        return {
            spec.name: tuple(vm for vm in usable if vm.vm in self.selected[spec.name])
            for spec in self.specs
        }

    @cached_property
    def is_unreachable(self) -> bool:
        """Return whether no VM of the zone gives fresh evidence."""
        return all(self.health(vm.vm) is None for vm in self.zone_vms)

    def share(self, spec: str) -> Share:
        """Return how many groups of a spec the zone should have."""
        return self.shares.get((spec, self.zone), Share())

    def health(self, vm: str) -> MemberHealth | None:
        """Return a VM's health when its evidence is fresh."""
        return fresh_health(self.evidence.get(vm), self.now_s)

    def is_free(self, vm: Vm) -> bool:
        """Return whether a VM is healthy, idle and assigned to no group."""
        if vm.vm in self.group_of_vm or vm.vm in self.blocked:
            return False
        health = self.health(vm.vm)
        return (
            health is not None
            and vm.state is VmState.LIVE
            and not health.leaving
            and not health.group
            and health.state is MemberState.IDLE
            and not is_drained(self.labels.get(vm.vm, {}))
        )

    def rows_of(self, spec: str) -> list[GroupRow]:
        """Return the active groups of a spec in the zone, in order of their names."""
        return [
            row
            for _, row in sorted(self.rows.items())
            if row.group.spec == spec and row.phase in _ACTIVE
        ]

    @cached_property
    def closed_by_member(self) -> dict[tuple[str, str], ClosedReason | None]:
        """Return by group and VM why evidence does not show the member serving."""
        return {
            (row.name, member.vm): member_closed_reason(
                row.group, member, self.evidence.get(member.vm), self.now_s
            )
            for row in self.rows.values()
            for member in row.group.members
        }

    @cached_property
    def serving(self) -> frozenset[str]:
        """Return the names of the groups that serve by evidence."""
        return frozenset(
            row.name
            for row in self.rows.values()
            if row.phase is GroupPhase.SERVING
            and all(
                self.closed_reason(row, member) is None for member in row.group.members
            )
        )

    def closed_reason(self, row: GroupRow, member: Member) -> ClosedReason | None:
        """Return why evidence does not show the member serving in its group."""
        return self.closed_by_member[row.name, member.vm]

    def is_serving(self, row: GroupRow) -> bool:
        """Return whether the group serves by evidence."""
        return row.name in self.serving

    def is_answering(self, row: GroupRow) -> bool:
        """Return whether all members answered lately."""
        return all(
            self.silent_s(member.vm) < ANSWER_LIMIT_S for member in row.group.members
        )

    def failed_s(self, row: GroupRow) -> float:
        """Return for how long a member has failed while all members answered."""
        key = (row.name, row.group.generation)
        return self.now_s - self.failed_since_s.get(key, self.now_s)

    def phase_age_s(self, row: GroupRow) -> float:
        """Return for how long this process has seen the group in its phase."""
        since_s = self.phase_since_s.get(phase_key(row), self.now_s)
        return self.now_s - since_s

    def silent_s(self, vm: str) -> float:
        """Return for how long a VM has given no fresh evidence."""
        return self.now_s - self.silent_since_s.get(vm, self.now_s)


def phase_key(row: GroupRow) -> tuple[str, int, str]:
    """Return what identifies a group's stay in a phase."""
    return (row.name, row.group.generation, row.phase.value)


def fresh_health(evidence: Evidence | None, now_s: float) -> MemberHealth | None:
    """Return the health that evidence holds unless it is too old."""
    if evidence is None or now_s - evidence.observed_at_s > EVIDENCE_MAX_AGE_S:
        return None
    return evidence.health


def by_domain(vms: Iterable[Vm]) -> dict[str, list[Vm]]:
    """Return VMs by fabric domain."""
    domains: dict[str, list[Vm]] = {}
    for vm in vms:
        domains.setdefault(vm.fabric_domain, []).append(vm)
    return domains
