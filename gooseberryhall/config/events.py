"""Events of the config package."""

from dataclasses import dataclass

from ..core.events import Event
from .models import AnyObject
from .operations import Change


@dataclass(frozen=True, slots=True)
class ConfigChangesReceived(Event):
    """Accepted edits arrived from the table or a link."""

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class ConfigSnapshotReceived(Event):
    """The whole configuration at a revision arrived from the table or a link."""

    revision: int
    objects: tuple[AnyObject, ...]
