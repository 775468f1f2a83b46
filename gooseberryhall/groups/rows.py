"""Table rows of groups and VMs.

`vm/<vm>` is written only by the transaction that assigns the VM, so its version is the
generation of the group. `group/<zone>/<group>` is rewritten when the phase changes. A
number that equals the revision of the row's own last write is stored as 0, because the
revision of a transaction is unknown until it is applied.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from ..adapters.table import ABSENT, Row, Transaction
from .exceptions import GroupRowError
from .lease import epoch_key
from .models import Group, GroupPhase, Member


def vm_key(vm: str) -> str:
    """Return the key of a VM's assignment row."""
    return f"vm/{vm}"


def group_prefix(zone: str) -> str:
    """Return the key prefix of a zone's group rows."""
    return f"group/{zone}/"


def group_key(zone: str, group: str) -> str:
    """Return the key of a group's row."""
    return group_prefix(zone) + group


@dataclass(frozen=True, slots=True)
class GroupRow:
    """A stored group with the fields that only the lease holder needs.

    `fence` is the fencing token of the current orders: the revision of the transaction
    that decided them. `reason` is why the group drains or is released.
    """

    group: Group
    adapters: tuple[str, ...] = ()
    fence: int = 0
    reason: str = ""

    @property
    def name(self) -> str:
        """Return the group's name."""
        return self.group.group

    @property
    def phase(self) -> GroupPhase:
        """Return the group's phase."""
        return self.group.phase


def row_value(row: GroupRow) -> dict[str, Any]:
    """Return the value that stores a group."""
    group = row.group
    return {
        "group": group.group,
        "spec": group.spec,
        "zone": group.zone,
        "fabric_domain": group.fabric_domain,
        "model": group.model,
        "model_version": group.model_version,
        "adapters": list(row.adapters),
        "generation": group.generation,
        "fence": row.fence,
        "phase": group.phase.value,
        "reason": row.reason,
        "members": [
            {"vm": member.vm, "boot_id": member.boot_id, "address": member.address}
            for member in group.members
        ],
    }


def parse_row(row: Row) -> GroupRow:
    """Return the group stored in a row.

    Raises GroupRowError if the row is malformed.
    """
    value = row.value
    try:
        group = Group(
            group=str(value["group"]),
            spec=str(value["spec"]),
            zone=str(value["zone"]),
            fabric_domain=str(value["fabric_domain"]),
            model=str(value["model"]),
            model_version=str(value["model_version"]),
            generation=int(value["generation"]),
            phase=GroupPhase(value["phase"]),
            members=tuple(
                Member(str(item["vm"]), str(item["boot_id"]), str(item["address"]))
                for item in value["members"]
            ),
        )
        parsed = GroupRow(
            group,
            tuple(str(name) for name in value["adapters"]),
            int(value["fence"]),
            str(value["reason"]),
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise GroupRowError(f"malformed row {row.key!r}") from exc
    return with_version(parsed, row.version)


def with_version(row: GroupRow, version: int) -> GroupRow:
    """Return the row as written at `version`, which replaces stored zeros."""
    group = replace(
        row.group, version=version, generation=row.group.generation or version
    )
    return replace(row, group=group, fence=row.fence or version)


def assignment_transaction(row: GroupRow, epoch_version: int) -> Transaction:
    """Return the transaction that assigns the members of a new group."""
    group = row.group
    vm_keys = [vm_key(member.vm) for member in group.members]
    key = group_key(group.zone, group.group)
    value = {"group": group.group, "zone": group.zone}
    return Transaction(
        checks={
            epoch_key(group.zone): epoch_version,
            key: ABSENT,
            **dict.fromkeys(vm_keys, ABSENT),
        },
        puts={key: row_value(row), **{name: dict(value) for name in vm_keys}},
    )


def update_transaction(old: GroupRow, new: GroupRow, epoch_version: int) -> Transaction:
    """Return the transaction that updates a group's row but no assignment."""
    key = group_key(old.group.zone, old.name)
    return Transaction(
        checks={epoch_key(old.group.zone): epoch_version, key: old.group.version},
        puts={key: row_value(new)},
    )


def removal_transaction(
    old: GroupRow, vms: Iterable[str], epoch_version: int
) -> Transaction:
    """Return the transaction that frees members.

    If no member is left, it also deletes the group's row.
    """
    freed = frozenset(vms)
    group = old.group
    key = group_key(group.zone, group.group)
    new = without_members(old, freed)
    vm_keys = [vm_key(member.vm) for member in group.members if member.vm in freed]
    checks = {
        epoch_key(group.zone): epoch_version,
        key: group.version,
        **dict.fromkeys(vm_keys, group.generation),
    }
    if not new.group.members:
        return Transaction(checks=checks, deletes=(key, *vm_keys))
    return Transaction(
        checks=checks, puts={key: row_value(new)}, deletes=tuple(vm_keys)
    )


def without_members(row: GroupRow, vms: frozenset[str]) -> GroupRow:
    """Return the row without the given VMs."""
    members = tuple(member for member in row.group.members if member.vm not in vms)
    return replace(row, group=replace(row.group, members=members))


def with_phase(row: GroupRow, phase: GroupPhase, reason: str) -> GroupRow:
    """Return the row in another phase; a release gets a fencing token of its own."""
    fence = 0 if phase is GroupPhase.RELEASING else row.fence
    return GroupRow(replace(row.group, phase=phase), row.adapters, fence, reason)


def parse_rows(rows: Iterable[Row]) -> Mapping[str, GroupRow]:
    """Return the groups of a zone by name.

    Raises GroupRowError if a row is malformed.
    """
    parsed = [parse_row(row) for row in rows]
    return {row.name: row for row in parsed}
