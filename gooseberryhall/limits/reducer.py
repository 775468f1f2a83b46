"""Event handlers of the limits package."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..core.effects import Effect
from ..core.events import Event
from .events import LimitsConfigured

if TYPE_CHECKING:
    from ..core.reducer import Handler
    from ..core.state import State


def _reduce_configured(
    state: "State", event: LimitsConfigured, _now_s: float
) -> list[Effect]:
    state.limits.queue_limit = event.queue_limit
    state.limits.queue_wait_limit_s = event.queue_wait_limit_s
    return []


HANDLERS: "Mapping[type[Event], Handler]" = {LimitsConfigured: _reduce_configured}
