"""Divides the declared numbers of groups between zones.

Each zone's lease holder plans its own zone only. All holders compute the same shares
from the VM list, the selectors and the VMs that have been unresponsive for long, so the
share of a zone that is down moves to the others.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from ..config.const import DRAIN_LABEL, DRAIN_VALUE
from ..config.models import GroupSpec
from ..config.selectors import parse_selector
from .models import Vm, VmState

Labels = Mapping[str, Mapping[str, str]]


@dataclass(frozen=True, slots=True)
class Share:
    """How many groups of a spec a zone should have."""

    min_groups: int = 0
    max_groups: int = 0


def selected_vms(spec: GroupSpec, vms: Iterable[Vm], labels: Labels) -> list[Vm]:
    """Return the live VMs that the spec may use, except for VMs to be drained."""
    selector = parse_selector(spec.vm_selector)
    return [
        vm
        for vm in vms
        if vm.state is VmState.LIVE
        and not has_drain_label(labels.get(vm.vm, {}))
        and selector.matches(labels.get(vm.vm, {}))
    ]


def has_drain_label(labels: Mapping[str, str]) -> bool:
    """Return whether the labels request a drain of the VM."""
    return labels.get(DRAIN_LABEL) == DRAIN_VALUE


def spec_sort_key(spec: GroupSpec) -> tuple[int, int, str]:
    """Return the key that sorts specs by priority, then by size.

    Large groups come first because they are hardest to fit.
    """
    return (-spec.priority, -spec.members, spec.name)


def divide_groups(
    specs: Iterable[GroupSpec],
    vms: Iterable[Vm],
    labels: Labels,
    unresponsive: Collection[str],
) -> dict[tuple[str, str], Share]:
    """Return the shares by spec and zone.

    Groups are placed one at a time, `min_groups` of all specs first, each in the zone
    with the fewest groups of its spec. Groups that fit in no zone are added to the
    minimum of the zones with most VMs, so that they count as missing there.
    """
    all_vms = [vm for vm in vms if vm.vm not in unresponsive]
    ordered = sorted(specs, key=spec_sort_key)
    selected = {spec.name: selected_vms(spec, all_vms, labels) for spec in ordered}
    pool = _VmPool(selected)
    minimum: dict[tuple[str, str], int] = defaultdict(int)
    maximum: dict[tuple[str, str], int] = defaultdict(int)
    for spec in ordered:
        for _ in range(spec.min_groups):
            zone = pool.place(spec) or _largest_zone(selected[spec.name], minimum, spec)
            if zone is not None:
                minimum[spec.name, zone] += 1
                maximum[spec.name, zone] += 1
    for spec in ordered:
        for _ in range(spec.max_groups - spec.min_groups):
            zone = pool.place(spec)
            if zone is None:
                break
            maximum[spec.name, zone] += 1
    return {key: Share(minimum[key], maximum[key]) for key in maximum}


class _VmPool:
    """VMs by zone and fabric domain, without those that are allocated to a group."""

    def __init__(self, selected: Mapping[str, list[Vm]]) -> None:
        self._allocated: set[str] = set()
        self._placed: dict[tuple[str, str], int] = defaultdict(int)
        self._domains: dict[str, dict[tuple[str, str], list[str]]] = {}
        self._spec_counts: dict[str, int] = defaultdict(int)
        for spec, vms in selected.items():
            domains: dict[tuple[str, str], list[str]] = defaultdict(list)
            for vm in sorted(vms, key=lambda item: item.vm):
                domains[vm.zone, vm.fabric_domain].append(vm.vm)
                self._spec_counts[vm.vm] += 1
            self._domains[spec] = domains

    def place(self, spec: GroupSpec) -> str | None:
        """Allocate VMs to one group and return its zone, or None if none fits."""
        fitting = []
        for (zone, domain), vms in self._domains[spec.name].items():
            free = [vm for vm in vms if vm not in self._allocated]
            if len(free) >= spec.members:
                placed = self._placed[spec.name, zone]
                fitting.append((placed, -len(free), zone, domain, free))
        if not fitting:
            return None
        _, _, zone, _, free = min(fitting, key=lambda item: item[:4])
        # VMs that fewer specs may use are allocated first; the others stay for them.
        free.sort(key=lambda vm: (self._spec_counts[vm], vm))
        self._allocated.update(free[: spec.members])
        self._placed[spec.name, zone] += 1
        return zone


def _largest_zone(
    vms: Iterable[Vm], minimum: Mapping[tuple[str, str], int], spec: GroupSpec
) -> str | None:
    counts: dict[str, int] = defaultdict(int)
    for vm in vms:
        counts[vm.zone] += 1
    if not counts:
        return None
    return min(
        counts,
        key=lambda zone: (minimum.get((spec.name, zone), 0), -counts[zone], zone),
    )
