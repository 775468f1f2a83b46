"""A whole configuration as the checks see it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from .models import AnyObject, DeclaredObject
from .state import ObjectKey

ObjectT = TypeVar("ObjectT", bound=DeclaredObject)
Objects = Mapping[ObjectKey, AnyObject]

LISTED_NAMES = 3


@dataclass(frozen=True, slots=True)
class Configuration:
    """Declared objects together with the VMs that the platform lists.

    `vms` maps each listed VM to its fabric domain. It is None while the list is not
    known; checks on it are then left out.
    """

    objects: Objects
    vms: Mapping[str, str] | None = None
    _by_type: dict[type[DeclaredObject], list[Any]] = field(default_factory=dict)

    def of_type(self, object_type: type[ObjectT]) -> list[ObjectT]:
        """Return all objects of one type, sorted by name.

        The lists are kept, since each pair of specs is checked against all of them.
        """
        found: list[ObjectT] | None = self._by_type.get(object_type)
        if found is None:
            values = self.objects.values()
            found = [item for item in values if isinstance(item, object_type)]
            found.sort(key=lambda item: item.name)
            self._by_type[object_type] = found
        return found


def list_names(names: Iterable[str]) -> str:
    """Return the first names and how many more there are."""
    ordered = sorted(names)
    text = ", ".join(ordered[:LISTED_NAMES]) or "(none)"
    more = len(ordered) - LISTED_NAMES
    return f"{text} and {more} more" if more > 0 else text
