"""Event handlers of the routing package."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..core.effects import Effect
from ..core.events import Event
from .effects import GroupEjected
from .events import CacheEventsReceived, LatencyObserved, StragglerCheckDue
from .prefix import apply_cache_changes
from .stragglers import eject_stragglers, observe_latency

if TYPE_CHECKING:
    from ..core.reducer import Handler
    from ..core.state import State


def _reduce_latency(
    state: "State", event: LatencyObserved, now_s: float
) -> list[Effect]:
    observe_latency(state.routing, event, now_s)
    return []


def _reduce_cache_events(
    state: "State", event: CacheEventsReceived, _now_s: float
) -> list[Effect]:
    apply_cache_changes(state.routing, event.group, event.generation, event.changes)
    return []


def _reduce_check(
    state: "State", _event: StragglerCheckDue, now_s: float
) -> list[Effect]:
    _remove_outdated_state(state)
    ejected = eject_stragglers(state.routing, state.groups.groups, now_s)
    return [GroupEjected(group) for group in ejected]


def _remove_outdated_state(state: "State") -> None:
    routing, groups = state.routing, state.groups.groups
    generations = {name: group.generation for name, group in groups.items()}
    for name in list(routing.latencies):
        generation = generations.get(name)
        # A group that was formed again has other VMs, which need not be slow.
        if generation is None or routing.generations.get(name) not in (
            None,
            generation,
        ):
            del routing.latencies[name]
    routing.generations = generations
    for name in [name for name in routing.prefixes if name not in groups]:
        del routing.prefixes[name]
    for name in [name for name in routing.loads if name not in groups]:
        if routing.loads[name].in_flight == 0:
            del routing.loads[name]


HANDLERS: "Mapping[type[Event], Handler]" = {
    LatencyObserved: _reduce_latency,
    CacheEventsReceived: _reduce_cache_events,
    StragglerCheckDue: _reduce_check,
}
