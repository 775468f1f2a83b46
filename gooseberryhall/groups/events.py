"""Events of the groups concern."""

from dataclasses import dataclass

from ..core.events import Event
from .models import Group


@dataclass(frozen=True, slots=True)
class GroupsReceived(Event):
    """All groups of a zone, as read at a table revision, were announced."""

    zone: str
    revision: int
    groups: tuple[Group, ...]
