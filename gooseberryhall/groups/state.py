"""State of the groups concern."""

from dataclasses import dataclass, field

from .models import Group, Vm


@dataclass(slots=True)
class GroupsState:
    """Groups by name and VMs by name, as last read or announced.

    `revisions` holds the table revision of the groups of each zone.
    """

    groups: dict[str, Group] = field(default_factory=dict)
    vms: dict[str, Vm] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)
