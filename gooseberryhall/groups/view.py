"""Input of the planner of a zone, with derived properties."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property

from ..config.models import GroupSpec, Policy
from ..const import EVIDENCE_MAX_AGE_S
from ..membership.evidence import ClosedReason, member_closed_reason
from ..membership.models import Evidence, MemberHealth, MemberState
from .const import UNRESPONSIVE_AFTER_S
from .models import Group, GroupPhase, Member, Vm, VmState
from .rows import GroupRow
from .shares import Labels, Share, has_drain_label
from .state import LoadedModel, OrderState
from .tuning import Tuning

_ACTIVE = (GroupPhase.LOADING, GroupPhase.SERVING)


@dataclass(frozen=True)
class PlanView:
    """Immutable input of the planner.

    `rows` are the groups of the zone, `other_groups` those of all other zones.
    `selected` maps a spec to the VMs that its groups may use. The `*_since_s` mappings
    contain the times at which this process first observed a state.
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
    unresponsive_since_s: Mapping[str, float] = field(default_factory=dict)
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
        """Return the zone's VMs in the platform's list."""
        return tuple(vm for vm in self.vms.values() if vm.zone == self.zone)

    @cached_property
    def free_vms(self) -> dict[str, tuple[Vm, ...]]:
        """Return the VMs that a new group may use, by spec."""
        usable = [vm for vm in self.zone_vms if self.is_free(vm)]
        return {
            spec.name: tuple(vm for vm in usable if vm.vm in self.selected[spec.name])
            for spec in self.specs
        }

    @cached_property
    def is_zone_unreachable(self) -> bool:
        """Return whether no VM of the zone has fresh evidence."""
        return all(self.health(vm.vm) is None for vm in self.zone_vms)

    def share(self, spec: str) -> Share:
        """Return the zone's share of the groups of a spec."""
        return self.shares.get((spec, self.zone), Share())

    def health(self, vm: str) -> MemberHealth | None:
        """Return a VM's health, or None without fresh evidence."""
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
            and not has_drain_label(self.labels.get(vm.vm, {}))
        )

    def active_rows(self, spec: str) -> list[GroupRow]:
        """Return the zone's loading and serving groups of a spec, sorted by name."""
        return [
            row
            for _, row in sorted(self.rows.items())
            if row.group.spec == spec and row.phase in _ACTIVE
        ]

    @cached_property
    def closed_by_member(self) -> dict[tuple[str, str], ClosedReason | None]:
        """Return why members do not serve by evidence, by group and VM."""
        return {
            (row.name, member.vm): member_closed_reason(
                row.group, member, self.evidence.get(member.vm), self.now_s
            )
            for row in self.rows.values()
            for member in row.group.members
        }

    @cached_property
    def serving(self) -> frozenset[str]:
        """Return the names of the groups whose members all serve by evidence."""
        return frozenset(
            row.name
            for row in self.rows.values()
            if row.phase is GroupPhase.SERVING
            and all(
                self.closed_reason(row, member) is None for member in row.group.members
            )
        )

    def closed_reason(self, row: GroupRow, member: Member) -> ClosedReason | None:
        """Return why a member does not serve by evidence, or None if it does."""
        return self.closed_by_member[row.name, member.vm]

    def is_serving(self, row: GroupRow) -> bool:
        """Return whether the group serves by evidence."""
        return row.name in self.serving

    def is_responsive(self, row: GroupRow) -> bool:
        """Return whether all members responded recently."""
        return all(
            self.unresponsive_s(member.vm) < UNRESPONSIVE_AFTER_S
            for member in row.group.members
        )

    def failed_s(self, row: GroupRow) -> float:
        """Return for how long a member has failed while all members responded."""
        key = (row.name, row.group.generation)
        return self.now_s - self.failed_since_s.get(key, self.now_s)

    def phase_age_s(self, row: GroupRow) -> float:
        """Return for how long this process has observed the group in its phase."""
        since_s = self.phase_since_s.get(phase_key(row), self.now_s)
        return self.now_s - since_s

    def unresponsive_s(self, vm: str) -> float:
        """Return for how long a VM has had no fresh evidence."""
        return self.now_s - self.unresponsive_since_s.get(vm, self.now_s)


def phase_key(row: GroupRow) -> tuple[str, int, str]:
    """Return the key of a group generation and its phase."""
    return (row.name, row.group.generation, row.phase.value)


def fresh_health(evidence: Evidence | None, now_s: float) -> MemberHealth | None:
    """Return the health in the evidence unless the evidence is too old."""
    if evidence is None or now_s - evidence.observed_at_s > EVIDENCE_MAX_AGE_S:
        return None
    return evidence.health


def vms_by_domain(vms: Iterable[Vm]) -> dict[str, list[Vm]]:
    """Return the VMs grouped by fabric domain."""
    domains: dict[str, list[Vm]] = {}
    for vm in vms:
        domains.setdefault(vm.fabric_domain, []).append(vm)
    return domains
