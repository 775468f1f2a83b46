"""Differences that an edit makes, by object and field."""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any

from pydantic import BaseModel, ConfigDict

from .models import AnyObject, ObjectKind
from .operations import Operation, apply_operations
from .state import ObjectKey


class Action(StrEnum):
    """How an edit changes an object."""

    CREATE = "create"
    REPLACE = "replace"
    DELETE = "delete"


class FieldDifference(BaseModel):
    """The value of a field before and after an edit; None when it was absent."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    field: str
    before: Any = None
    after: Any = None


class ObjectDifference(BaseModel):
    """The changed fields of one object."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    action: Action
    kind: ObjectKind
    name: str
    fields: tuple[FieldDifference, ...]


def describe_edit(
    objects: Mapping[ObjectKey, AnyObject], operations: Iterable[Operation]
) -> tuple[ObjectDifference, ...]:
    """Return the differences that the operations make, sorted by key."""
    after = dict(objects)
    keys = apply_operations(after, operations)
    return tuple(
        _describe(key, objects.get(key), after.get(key))
        for key in sorted(keys)
        if objects.get(key) != after.get(key)
    )


def _describe(
    key: ObjectKey, before: AnyObject | None, after: AnyObject | None
) -> ObjectDifference:
    old, new = _fields(before), _fields(after)
    fields = tuple(
        FieldDifference(field=name, before=old.get(name), after=new.get(name))
        for name in sorted(old.keys() | new.keys())
        if old.get(name) != new.get(name)
    )
    action = Action.REPLACE
    if before is None:
        action = Action.CREATE
    elif after is None:
        action = Action.DELETE
    return ObjectDifference(action=action, kind=key[0], name=key[1], fields=fields)


def _fields(item: AnyObject | None) -> dict[str, Any]:
    """Return the fields of an object, with each label as a separate field."""
    if item is None:
        return {}
    fields = item.model_dump(mode="json", exclude={"kind", "name"})
    labels = fields.pop("labels", {})
    return fields | {f"labels.{key}": value for key, value in labels.items()}
