"""The declared configuration in the table.

Rows: `config/head` holds the revision, `config/object/<kind>/<name>` each object and
`config/change/<revision>` each accepted edit. Every edit writes the head, so two edits
on one base cannot both be accepted.
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
    KEPT_CHANGES,
    MAX_CHANGES_READ,
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
    """An edit to accept.

    `token` identifies the edit over repeated attempts: an edit that was accepted
    before, but whose answer was lost, is recognised instead of refused. `differences`
    is kept for the audit.
    """

    base_revision: int
    operations: tuple[Operation, ...]
    actor: str
    token: str = field(default_factory=lambda: secrets.token_hex(TOKEN_BYTES))
    differences: tuple[ObjectDifference, ...] = ()


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """An accepted change and what it changed."""

    change: Change
    differences: tuple[ObjectDifference, ...]


@dataclass(frozen=True, slots=True)
class EditConflict:
    """The edit was based on another revision than the one in the table.

    `accepted` holds the changes after the edit's base; the oldest may be missing when
    there are more than `MAX_CHANGES_READ`.
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
    return _revision(await table.async_read(HEAD_KEY))


async def async_load_snapshot(table: Table) -> ConfigSnapshot:
    """Return the accepted configuration.

    The objects are read in pages, so an edit accepted meanwhile may show in a part of
    them. Changes hold whole objects: applying all changes since the first read of the
    head again gives the exact configuration at the last of them.
    """
    for _ in range(SNAPSHOT_ATTEMPTS):
        revision = await async_load_revision(table)
        rows = (await table.async_read_prefix(OBJECT_PREFIX)).rows
        objects = {item.key: item.object for item in map(_put, rows)}
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

    The result is empty when the first of them is no longer kept.
    """
    head = await async_load_revision(table)
    return await _async_read_changes(table, after + 1, min(head, after + limit))


async def async_load_audit(
    table: Table, after: int, limit: int = MAX_CHANGES_READ
) -> tuple[AuditRecord, ...]:
    """Return up to `limit` kept changes after a revision with their differences."""
    head = await async_load_revision(table)
    first = max(after, head - KEPT_CHANGES) + 1
    return await _async_read_entries(table, first, min(head, first + limit - 1))


async def async_edit(table: Table, edit: Edit) -> Result[Change, EditConflict]:
    """Accept an edit in one transaction, or return the conflicting changes.

    Raises TableUnavailableError when the outcome is not known; the same edit may then
    be sent again.
    """
    head = await table.async_read(HEAD_KEY)
    if _revision(head) != edit.base_revision:
        return await _async_conflict(table, edit)
    change = Change(
        revision=edit.base_revision + 1,
        actor=edit.actor,
        token=edit.token,
        accepted_at_s=wall_time_s(),
        operations=edit.operations,
    )
    try:
        outcome = await table.async_commit(_transaction(change, edit, head))
    except TableUnavailableError:
        return await _async_recover(table, edit)
    if isinstance(outcome, Ok):
        return Ok(change)
    return await _async_conflict(table, edit)


async def _async_recover(table: Table, edit: Edit) -> Result[Change, EditConflict]:
    """Read back an edit whose commit was not confirmed."""
    if await _async_read_entry(table, edit.base_revision + 1) is None:
        raise TableUnavailableError(
            "the edit was not confirmed; it may still be accepted"
        )
    return await _async_conflict(table, edit)


async def _async_conflict(table: Table, edit: Edit) -> Result[Change, EditConflict]:
    """Return the change of an edit accepted before, else the conflicting changes."""
    first = await _async_read_entry(table, edit.base_revision + 1)
    if first is not None and _is_same_edit(first.change, edit):
        return Ok(first.change)
    revision = await async_load_revision(table)
    oldest = max(edit.base_revision, revision - MAX_CHANGES_READ) + 1
    accepted = await _async_read_changes(table, oldest, revision)
    return Err(EditConflict(edit.base_revision, revision, edit.operations, accepted))


def _is_same_edit(change: Change, edit: Edit) -> bool:
    return (change.token, change.operations) == (edit.token, edit.operations)


def _transaction(change: Change, edit: Edit, head: Row | None) -> Transaction:
    """Build the transaction of an edit.

    The check on the change row, which is never written again, lets the table adapter
    find the token of this edit even after a later edit has rewritten the head.
    """
    puts: dict[str, RowValue] = {
        HEAD_KEY: {"revision": change.revision},
        change_key(change.revision): {
            "change": change.model_dump(mode="json"),
            "differences": [item.model_dump(mode="json") for item in edit.differences],
        },
    }
    deletes: list[str] = []
    # A transaction has no order, so only the last operation on an object counts.
    last = {operation.key: operation for operation in change.operations}
    for operation in last.values():
        key = object_key(operation.key)
        if isinstance(operation, PutObject):
            puts[key] = {"object": operation.object.model_dump(mode="json")}
        else:
            deletes.append(key)
    if change.revision > KEPT_CHANGES:
        deletes.append(change_key(change.revision - KEPT_CHANGES))
    checks = {
        HEAD_KEY: head.version if head else ABSENT,
        change_key(change.revision): ABSENT,
    }
    return Transaction(checks, puts, tuple(deletes), change.token)


async def _async_read_changes(
    table: Table, first: int, last: int
) -> tuple[Change, ...]:
    entries = await _async_read_entries(table, first, last)
    return tuple(entry.change for entry in entries)


async def _async_read_entries(
    table: Table, first: int, last: int
) -> tuple[AuditRecord, ...]:
    """Return the entries of a range of revisions up to the first missing one."""
    found = await asyncio.gather(
        *(_async_read_entry(table, revision) for revision in range(first, last + 1))
    )
    entries: list[AuditRecord] = []
    for entry in found:
        if entry is None:
            break
        entries.append(entry)
    return tuple(entries)


async def _async_read_entry(table: Table, revision: int) -> AuditRecord | None:
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


def _put(row: Row) -> PutObject:
    try:
        item = _OBJECT_ADAPTER.validate_python(row.value.get("object"))
    except ValidationError as exc:
        raise ConfigUnreadableError(row.key, _first_reason(exc)) from exc
    return PutObject(object=item)


def _revision(head: Row | None) -> int:
    if head is None:
        return 0
    revision = head.value.get("revision")
    if not isinstance(revision, int):
        raise ConfigUnreadableError(HEAD_KEY, "revision is not a number")
    return revision


def _first_reason(exc: ValidationError) -> str:
    first = exc.errors(include_url=False, include_input=False)[0]
    return ".".join(map(str, first["loc"])) + ": " + first["msg"]
