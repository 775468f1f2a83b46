"""Root reducer, which calls the event handlers of all packages.

The `reducer` module of each package exports `HANDLERS`, which maps an event type to a
function `(state, event, now_s) -> list[Effect]`. Several packages may handle the same
type; their effects are concatenated in the order of `_PACKAGE_HANDLERS`.
"""

from collections.abc import Callable, Mapping
from typing import Any

from ..config import reducer as config_reducer
from ..groups import reducer as groups_reducer
from ..limits import reducer as limits_reducer
from ..membership import reducer as membership_reducer
from ..requests import reducer as requests_reducer
from ..routing import reducer as routing_reducer
from .effects import Effect
from .events import Event
from .state import State

Handler = Callable[[State, Any, float], list[Effect]]

# Configuration and membership come first, so that the other packages decide on their
# new state.
_PACKAGE_HANDLERS: tuple[Mapping[type[Event], Handler], ...] = (
    config_reducer.HANDLERS,
    membership_reducer.HANDLERS,
    groups_reducer.HANDLERS,
    routing_reducer.HANDLERS,
    limits_reducer.HANDLERS,
    requests_reducer.HANDLERS,
)


def _merge_handlers() -> dict[type[Event], tuple[Handler, ...]]:
    merged: dict[type[Event], tuple[Handler, ...]] = {}
    for handlers in _PACKAGE_HANDLERS:
        for event_type, handler in handlers.items():
            merged[event_type] = (*merged.get(event_type, ()), handler)
    return merged


_HANDLERS = _merge_handlers()


def reduce(state: State, event: Event, now_s: float) -> list[Effect]:
    """Apply an event to the state and return the effects to perform."""
    effects: list[Effect] = []
    for handler in _HANDLERS.get(type(event), ()):
        effects.extend(handler(state, event, now_s))
    return effects
