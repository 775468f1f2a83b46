"""The reducer over all events.

Each concern exports `HANDLERS`, a mapping from an event type to a function
`(state, event, now_s) -> list[Effect]`. Several concerns may handle one type; their
effects are joined in the order of `_CONCERNS`.
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

# Configuration and evidence come first, so that later concerns decide on new facts.
_CONCERNS: tuple[Mapping[type[Event], Handler], ...] = (
    config_reducer.HANDLERS,
    membership_reducer.HANDLERS,
    groups_reducer.HANDLERS,
    routing_reducer.HANDLERS,
    limits_reducer.HANDLERS,
    requests_reducer.HANDLERS,
)


def _collect() -> dict[type[Event], tuple[Handler, ...]]:
    collected: dict[type[Event], tuple[Handler, ...]] = {}
    for handlers in _CONCERNS:
        for event_type, handler in handlers.items():
            collected[event_type] = (*collected.get(event_type, ()), handler)
    return collected


_HANDLERS = _collect()


def reduce(state: State, event: Event, now_s: float) -> list[Effect]:
    """Apply one event to the state and return the effects to carry out."""
    effects: list[Effect] = []
    for handler in _HANDLERS.get(type(event), ()):
        effects.extend(handler(state, event, now_s))
    return effects
