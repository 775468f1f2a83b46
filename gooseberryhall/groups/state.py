"""State of the groups concern."""

from dataclasses import dataclass, field

from .models import Group, Vm


@dataclass(slots=True)
class ViewState:
    """The newest view of a zone's groups that this process holds."""

    revision: int = 0


@dataclass(slots=True)
class GroupsState:
    """Groups by name and VMs by name, as last read or announced."""

    groups: dict[str, Group] = field(default_factory=dict)
    vms: dict[str, Vm] = field(default_factory=dict)
    views: dict[str, ViewState] = field(default_factory=dict)
