"""The declared configuration in the table.

Rows: `config/head` holds the revision, `config/object/<kind>/<name>` each object and
`config/change/<revision>` each accepted edit. Every edit writes the head, so at most
one of several edits with the same base revision is accepted.
"""

import asyncio
import secrets
from dataclasses import dataclass, field

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from ..adapters.exceptions import TableUnavailableError
from ..adapters.table import ABSENT, Row, RowValue, Table, Transaction
from ..core.clock import wall_time_s
from .const import (
    CHANGE_PREFIX,
    HEAD_KEY,
    MAX_CHANGES_READ,
    MAX_RETAINED_CHANGES,
    OBJECT_PREFIX,
    REVISION_DIGITS,
)
from .difference import ObjectDifference
from .exceptions import ConfigUnreadableError
from .models import AnyObject
from .operations import Change, Operation, PutObject, apply_operations
from .state import ObjectKey

TOKEN_BYTES = 12
SNAPSHOT_ATTEMPTS = 3
_DIFFERENCES_ADAPTER: TypeAdapter[tuple[ObjectDifference, ...]] = TypeAdapter(
    tuple[ObjectDifference, ...]
)
_OBJECT_ADAPTER: TypeAdapter[AnyObject] = TypeAdapter(AnyObject)


@dataclass(frozen=True, slots=True)
class ConfigSnapshot:
    """All declared objects at a revision."""

    revision: int
    objects: dict[ObjectKey, AnyObject]


@dataclass(frozen=True, slots=True)
class Edit:
    """An edit to commit.

    `token` is its idempotency key: a retry of an edit that was accepted, but whose
    response was lost, is recognised instead of refused. `differences` is stored for the
    audit.
    """

    base_revision: int
    operations: tuple[Operation, ...]
    actor: str
    token: str = field(default_factory=lambda: secrets.token_hex(TOKEN_BYTES))
    differences: tuple[ObjectDifference, ...] = ()


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """An accepted change and the differences that it made."""

    change: Change
    differences: tuple[ObjectDifference, ...]


@dataclass(frozen=True, slots=True)
class EditConflict:
    """The base revision of an edit is not the revision in the table.

    `accepted` holds the newest changes after the base revision, at most
    `MAX_CHANGES_READ`.
    """

    base_revision: int
    revision: int
    operations: tuple[Operation, ...]
    accepted: tuple[Change, ...]


def object_key(key: ObjectKey) -> str:
    """Return the table key of an object."""
    return f"{OBJECT_PREFIX}{key[0]}/{key[1]}"


def change_key(revision: int) -> str:
    """Return the table key of a change."""
    return f"{CHANGE_PREFIX}{revision:0{REVISION_DIGITS}d}"


async def async_load_revision(table: Table) -> int:
    """Return the accepted revision, 0 before the first edit."""
    return _parse_revision(await table.async_read(HEAD_KEY))


async def async_load_snapshot(table: Table) -> ConfigSnapshot:
    """Return the accepted configuration.

    The objects are read in pages, so some of them may include an edit that is accepted
    meanwhile. Since changes hold whole objects, applying all changes after the first
    read of the head gives the exact configuration at the last of them.
    """
    for _ in range(SNAPSHOT_ATTEMPTS):
        revision = await async_load_revision(table)
        rows = (await table.async_read_prefix(OBJECT_PREFIX)).rows
        objects = {item.key: item.object for item in map(_parse_object_row, rows)}
        head = await async_load_revision(table)
        changes = await _async_read_changes(table, revision + 1, head)
        if len(changes) == head - revision:
            for change in changes:
                apply_operations(objects, change.operations)
            return ConfigSnapshot(head, objects)
    raise ConfigUnreadableError(CHANGE_PREFIX, "changes up to the head are missing")


async def async_load_changes(
    table: Table, after: int, limit: int = MAX_CHANGES_READ
) -> tuple[Change, ...]:
    """Return up to `limit` accepted changes after a revision, in order.

    The result is empty when the first of them is no longer retained.
    """
    head = await async_load_revision(table)
    return await _async_read_changes(table, after + 1, min(head, after + limit))


async def async_load_audit(
    table: Table, after: int, limit: int = MAX_CHANGES_READ
) -> tuple[AuditRecord, ...]:
    """Return up to `limit` retained changes after a revision with differences."""
    head = await async_load_revision(table)
    first = max(after, head - MAX_RETAINED_CHANGES) + 1
    return await _async_read_records(table, first, min(head, first + limit - 1))


async def async_edit(table: Table, edit: Edit) -> Result[Change, EditConflict]:
    """Accept an edit in one transaction, or return the conflicting changes.

    Raises TableUnavailableError when the outcome is unknown; the same edit can then be
    retried.
    """
    head = await table.async_read(HEAD_KEY)
    if _parse_revision(head) != edit.base_revision:
        return await _async_resolve_conflict(table, edit)
    change = Change(
        revision=edit.base_revision + 1,
        actor=edit.actor,
        token=edit.token,
        accepted_at_s=wall_time_s(),
        operations=edit.operations,
    )
    try:
        outcome = await table.async_commit(_build_transaction(change, edit, head))
    except TableUnavailableError:
        return await _async_recover_edit(table, edit)
    if isinstance(outcome, Ok):
        return Ok(change)
    return await _async_resolve_conflict(table, edit)


async def _async_recover_edit(table: Table, edit: Edit) -> Result[Change, EditConflict]:
    """Determine from the table whether an unconfirmed edit was accepted."""
    if await _async_read_record(table, edit.base_revision + 1) is None:
        raise TableUnavailableError(
            "the edit was not confirmed; it may still be accepted"
        )
    return await _async_resolve_conflict(table, edit)


async def _async_resolve_conflict(
    table: Table, edit: Edit
) -> Result[Change, EditConflict]:
    """Return the change if the edit was accepted, else the conflicting changes."""
    first = await _async_read_record(table, edit.base_revision + 1)
    if first is not None and _is_same_edit(first.change, edit):
        return Ok(first.change)
    revision = await async_load_revision(table)
    oldest = max(edit.base_revision, revision - MAX_CHANGES_READ) + 1
    accepted = await _async_read_changes(table, oldest, revision)
    return Err(EditConflict(edit.base_revision, revision, edit.operations, accepted))


def _is_same_edit(change: Change, edit: Edit) -> bool:
    return (change.token, change.operations) == (edit.token, edit.operations)


def _build_transaction(change: Change, edit: Edit, head: Row | None) -> Transaction:
    """Build the transaction of an edit.

    A change row is written only once. The check on it lets the table adapter find the
    token of this edit even after a later edit has overwritten the head.
    """
    puts: dict[str, RowValue] = {
        HEAD_KEY: {"revision": change.revision},
        change_key(change.revision): {
            "change": change.model_dump(mode="json"),
            "differences": [item.model_dump(mode="json") for item in edit.differences],
        },
    }
    deletes: list[str] = []
    # A transaction is unordered, so it holds only the last operation on each object.
    last = {operation.key: operation for operation in change.operations}
    for operation in last.values():
        key = object_key(operation.key)
        if isinstance(operation, PutObject):
            puts[key] = {"object": operation.object.model_dump(mode="json")}
        else:
            deletes.append(key)
    if change.revision > MAX_RETAINED_CHANGES:
        deletes.append(change_key(change.revision - MAX_RETAINED_CHANGES))
    checks = {
        HEAD_KEY: head.version if head else ABSENT,
        change_key(change.revision): ABSENT,
    }
    return Transaction(checks, puts, tuple(deletes), change.token)


async def _async_read_changes(
    table: Table, first: int, last: int
) -> tuple[Change, ...]:
    records = await _async_read_records(table, first, last)
    return tuple(record.change for record in records)


async def _async_read_records(
    table: Table, first: int, last: int
) -> tuple[AuditRecord, ...]:
    """Return the audit records of a range of revisions up to a missing one."""
    found = await asyncio.gather(
        *(_async_read_record(table, revision) for revision in range(first, last + 1))
    )
    records: list[AuditRecord] = []
    for record in found:
        if record is None:
            break
        records.append(record)
    return tuple(records)


async def _async_read_record(table: Table, revision: int) -> AuditRecord | None:
    key = change_key(revision)
    row = await table.async_read(key)
    if row is None:
        return None
    try:
        return AuditRecord(
            Change.model_validate(row.value.get("change")),
            _DIFFERENCES_ADAPTER.validate_python(row.value.get("differences")),
        )
    except ValidationError as exc:
        raise ConfigUnreadableError(key, _first_reason(exc)) from exc


def _parse_object_row(row: Row) -> PutObject:
    try:
        item = _OBJECT_ADAPTER.validate_python(row.value.get("object"))
    except ValidationError as exc:
        raise ConfigUnreadableError(row.key, _first_reason(exc)) from exc
    return PutObject(object=item)


def _parse_revision(head: Row | None) -> int:
    if head is None:
        return 0
    revision = head.value.get("revision")
    if not isinstance(revision, int):
        raise ConfigUnreadableError(HEAD_KEY, "revision is not a number")
    return revision


def _first_reason(exc: ValidationError) -> str:
    first = exc.errors(include_url=False, include_input=False)[0]
    return ".".join(map(str, first["loc"])) + ": " + first["msg"]
