"""Event handlers of the groups concern."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..core.effects import Effect
from ..core.events import Event
from .events import GroupViewReceived, VmsListed
from .state import ViewState

if TYPE_CHECKING:
    from ..core.reducer import Handler
    from ..core.state import State


def reduce_vms_listed(state: "State", event: VmsListed, _now_s: float) -> list[Effect]:
    """Keep the platform's newest list."""
    state.groups.vms = {vm.vm: vm for vm in event.vms}
    return []


def reduce_view_received(
    state: "State", event: GroupViewReceived, _now_s: float
) -> list[Effect]:
    """Take over the groups of a zone unless a newer view is known."""
    view = state.groups.views.setdefault(event.zone, ViewState())
    if event.revision < view.revision:
        return []
    view.revision = event.revision
    others = {
        name: group
        for name, group in state.groups.groups.items()
        if group.zone != event.zone
    }
    state.groups.groups = others | {group.group: group for group in event.groups}
    return []


HANDLERS: "Mapping[type[Event], Handler]" = {
    VmsListed: reduce_vms_listed,
    GroupViewReceived: reduce_view_received,
}
