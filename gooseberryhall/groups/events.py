"""Events of the groups concern."""

from dataclasses import dataclass

from ..core.events import Event
from .models import Group, Vm


@dataclass(frozen=True, slots=True)
class VmsListed(Event):
    """The platform's list of VMs was read."""

    vms: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class GroupViewReceived(Event):
    """Another process announced all groups of a zone."""

    zone: str
    revision: int
    groups: tuple[Group, ...]
