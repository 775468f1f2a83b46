"""Event handlers of the groups concern."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..core.effects import Effect
from ..core.events import Event
from .events import GroupsReceived

if TYPE_CHECKING:
    from ..core.reducer import Handler
    from ..core.state import State


def _reduce_groups_received(
    state: "State", event: GroupsReceived, _now_s: float
) -> list[Effect]:
    """Replace the groups of a zone, unless a later view is already known."""
    if event.revision < state.groups.revisions.get(event.zone, 0):
        return []
    state.groups.revisions[event.zone] = event.revision
    others = {
        name: group
        for name, group in state.groups.groups.items()
        if group.zone != event.zone
    }
    state.groups.groups = others | {group.group: group for group in event.groups}
    return []


HANDLERS: "Mapping[type[Event], Handler]" = {
    GroupsReceived: _reduce_groups_received,
}
