"""The configuration that the checks validate."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from .models import AnyObject, DeclaredObject
from .state import ObjectKey

ObjectT = TypeVar("ObjectT", bound=DeclaredObject)
Objects = Mapping[ObjectKey, AnyObject]

MAX_LISTED_NAMES = 3


@dataclass(frozen=True, slots=True)
class Configuration:
    """Declared objects together with the VMs that the platform lists.

    `vms` maps each listed VM to its fabric domain. It is None while the list is
    unavailable; the checks of VMs are then skipped.
    """

    objects: Objects
    vms: Mapping[str, str] | None = None
    _by_type: dict[type[DeclaredObject], list[Any]] = field(default_factory=dict)

    def of_type(self, object_type: type[ObjectT]) -> list[ObjectT]:
        """Return all objects of one type, sorted by name.

        Lists are cached, because the check of each pair of specs reads them.
        """
        found: list[ObjectT] | None = self._by_type.get(object_type)
        if found is None:
            values = self.objects.values()
            found = [item for item in values if isinstance(item, object_type)]
            found.sort(key=lambda item: item.name)
            self._by_type[object_type] = found
        return found


def format_names(names: Iterable[str]) -> str:
    """Return a text with the first names and the number of the others."""
    ordered = sorted(names)
    text = ", ".join(ordered[:MAX_LISTED_NAMES]) or "(none)"
    more = len(ordered) - MAX_LISTED_NAMES
    return f"{text} and {more} more" if more > 0 else text
