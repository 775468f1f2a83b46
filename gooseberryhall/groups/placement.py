"""Selects the VMs of a new group."""

from ..config.models import GroupSpec
from .decisions import FormGroup
from .models import GroupPhase, Member, Vm
from .view import PlanView, vms_by_domain


def may_start_load(view: PlanView) -> bool:
    """Return whether one more group may start to load its weights."""
    zones = sorted({vm.zone for vm in view.vms.values()} | {view.zone})
    limit = view.policy.max_concurrent_loads
    # Each zone gets a part of the limit. A zone whose part is 0 may still load a single
    # group while the total is below the limit.
    zone_part, remainder = divmod(limit, len(zones))
    zone_limit = max(1, zone_part + (zones.index(view.zone) < remainder))
    zone_loads = sum(row.phase is GroupPhase.LOADING for row in view.rows.values())
    other_loads = sum(group.phase is GroupPhase.LOADING for group in view.other_groups)
    return zone_loads < zone_limit and zone_loads + other_loads < limit


def place_group(
    view: PlanView,
    spec: GroupSpec,
    reserved: frozenset[str] = frozenset(),
    spares: int = 0,
) -> FormGroup | None:
    """Return a new group of the spec that leaves `spares` VMs free in its domain.

    Prefers domains by the number of warm VMs, then those with few groups of the spec,
    then small ones.
    """
    candidates = []
    free = [vm for vm in view.free_vms[spec.name] if vm.vm not in reserved]
    for domain, vms in vms_by_domain(free).items():
        if len(vms) < spec.members + spares:
            continue
        chosen = _choose_members(view, spec, vms)
        warm = sum(is_warm(view, spec, vm) for vm in chosen)
        same_spec = sum(
            row.group.fabric_domain == domain for row in view.active_rows(spec.name)
        )
        candidates.append((-warm, same_spec, len(vms), domain, chosen))
    if not candidates:
        return None
    _, _, _, domain, chosen = min(candidates, key=lambda item: item[:4])
    return FormGroup(
        group=_unused_name(view, spec),
        spec=spec.name,
        fabric_domain=domain,
        members=tuple(_member(view, vm) for vm in chosen),
    )


def is_warm(view: PlanView, spec: GroupSpec, vm: Vm) -> bool:
    """Return whether the spec's weights are the last that the VM's engine loaded."""
    if not view.tuning.prefer_warm:
        return False
    loaded = view.loaded.get(vm.vm)
    health = view.health(vm.vm)
    return (
        loaded is not None
        and health is not None
        and loaded.boot_id == health.boot_id
        and (loaded.model, loaded.version) == (spec.model, spec.version)
    )


def _choose_members(view: PlanView, spec: GroupSpec, vms: list[Vm]) -> list[Vm]:
    def rank(vm: Vm) -> tuple[bool, int, str]:
        uses = sum(vm in free for free in view.free_vms.values())
        return (not is_warm(view, spec, vm), uses, vm.vm)

    return sorted(vms, key=rank)[: spec.members]


def _member(view: PlanView, vm: Vm) -> Member:
    health = view.health(vm.vm)
    return Member(vm.vm, health.boot_id if health else "", vm.address)


def _unused_name(view: PlanView, spec: GroupSpec) -> str:
    number = 1
    while f"{spec.name}-{view.zone}-{number}" in view.rows:
        number += 1
    return f"{spec.name}-{view.zone}-{number}"
