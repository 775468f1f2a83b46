"""Edits of the declared objects."""

from collections.abc import Iterable
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from .models import AnyObject, Name, ObjectKind
from .state import ObjectKey


class PutObject(BaseModel):
    """Create or replace one object."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    op: Literal["put"] = "put"
    object: AnyObject

    @property
    def key(self) -> ObjectKey:
        """Return the key of the object that changes."""
        return (self.object.kind, self.object.name)


class DeleteObject(BaseModel):
    """Remove one object."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    op: Literal["delete"] = "delete"
    kind: ObjectKind
    name: Name

    @property
    def key(self) -> ObjectKey:
        """Return the key of the object that changes."""
        return (self.kind, self.name)


Operation = Annotated[PutObject | DeleteObject, Field(discriminator="op")]


class Change(BaseModel):
    """An accepted edit: applying it to `revision - 1` gives `revision`."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    revision: Annotated[int, Field(ge=1)]
    actor: str
    token: str
    accepted_at_s: float = 0.0
    operations: tuple[Operation, ...]


def apply_operations(
    objects: dict[ObjectKey, AnyObject], operations: Iterable[Operation]
) -> set[ObjectKey]:
    """Apply operations to `objects` in place and return the keys they refer to."""
    keys: set[ObjectKey] = set()
    for operation in operations:
        keys.add(operation.key)
        if isinstance(operation, PutObject):
            objects[operation.key] = operation.object
        else:
            objects.pop(operation.key, None)
    return keys
