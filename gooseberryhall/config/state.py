"""State of the config package."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from .models import AnyObject, DeclaredObject, ObjectKind, Policy

ObjectT = TypeVar("ObjectT", bound=DeclaredObject)

ObjectKey = tuple[ObjectKind, str]


@dataclass(slots=True)
class ConfigState:
    """The configuration in force on this process; revision 0 means none yet."""

    revision: int = 0
    objects: dict[ObjectKey, AnyObject] = field(default_factory=dict)

    def of_type(self, object_type: type[ObjectT]) -> Iterable[ObjectT]:
        """Yield all objects of one type."""
        return (item for item in self.objects.values() if isinstance(item, object_type))

    def labels_of_vm(self, vm: str) -> dict[str, str]:
        """Return the labels that the operator gave to a VM."""
        item = self.objects.get((ObjectKind.VM_LABELS, vm))
        return dict(getattr(item, "labels", {}))

    @property
    def policy(self) -> Policy:
        """Return the policy in force."""
        item = self.objects.get((ObjectKind.POLICY, "default"))
        return item if isinstance(item, Policy) else Policy(name="default")
