"""Groups and VMs that an edit affects."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..config.models import AnyObject, GroupSpec, ObjectKind, VmLabels
from ..config.operations import Operation, apply_operations
from ..config.selectors import parse_selector
from ..config.state import ObjectKey
from ..groups.state import GroupsState


@dataclass(frozen=True, slots=True)
class AffectedNames:
    """Sorted names of the affected groups and VMs."""

    groups: tuple[str, ...]
    vms: tuple[str, ...]


def find_affected(
    groups: GroupsState,
    objects: Mapping[ObjectKey, AnyObject],
    operations: Sequence[Operation],
) -> AffectedNames:
    """Return the groups and VMs that the operations affect.

    A group is affected when its spec or the labels of a member change. A VM is affected
    when its labels change or a changed spec selects it before or after the edit.
    """
    after = dict(objects)
    keys = apply_operations(after, operations)
    changed = {key for key in keys if objects.get(key) != after.get(key)}
    specs = {name for kind, name in changed if kind is ObjectKind.GROUP_SPEC}
    vms = {name for kind, name in changed if kind is ObjectKind.VM_LABELS}
    affected_groups = {
        group.group
        for group in groups.groups.values()
        if group.spec in specs or any(member.vm in vms for member in group.members)
    }
    for state in (objects, after):
        vms |= _selected_vms(state, specs)
    return AffectedNames(tuple(sorted(affected_groups)), tuple(sorted(vms)))


def _selected_vms(
    objects: Mapping[ObjectKey, AnyObject], specs: Iterable[str]
) -> set[str]:
    found = (objects.get((ObjectKind.GROUP_SPEC, name)) for name in specs)
    selectors = [
        parse_selector(spec.vm_selector)
        for spec in found
        if isinstance(spec, GroupSpec)
    ]
    return {
        item.name
        for item in objects.values()
        if isinstance(item, VmLabels)
        and any(selector.matches(item.labels) for selector in selectors)
    }
