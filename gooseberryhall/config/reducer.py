"""Event handlers of the config package."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..core.effects import Effect
from ..core.events import Event
from ..core.state import State
from .effects import ConfigApplied, RequestConfig
from .events import ConfigChangesReceived, ConfigSnapshotReceived
from .operations import Change, apply_operations
from .state import ObjectKey

if TYPE_CHECKING:
    from ..core.reducer import Handler


def reduce_changes(
    state: State, event: ConfigChangesReceived, _now_s: float
) -> list[Effect]:
    """Apply changes that follow the revision in force; request missing ones."""
    config = state.config
    applied: list[Change] = []
    keys: set[ObjectKey] = set()
    effects: list[Effect] = []
    for change in sorted(event.changes, key=lambda item: item.revision):
        if change.revision <= config.revision:
            continue
        if change.revision != config.revision + 1:
            effects.append(RequestConfig(after=config.revision))
            break
        keys |= apply_operations(config.objects, change.operations)
        config.revision = change.revision
        applied.append(change)
    if applied:
        config_applied = ConfigApplied(config.revision, frozenset(keys), tuple(applied))
        effects.insert(0, config_applied)
    return effects


def reduce_snapshot(
    state: State, event: ConfigSnapshotReceived, _now_s: float
) -> list[Effect]:
    """Replace the configuration if the snapshot is newer."""
    config = state.config
    if event.revision <= config.revision:
        return []
    objects = {(item.kind, item.name): item for item in event.objects}
    keys = frozenset(
        key
        for key in config.objects.keys() | objects.keys()
        if config.objects.get(key) != objects.get(key)
    )
    config.objects = objects
    config.revision = event.revision
    return [ConfigApplied(event.revision, keys)]


HANDLERS: "Mapping[type[Event], Handler]" = {
    ConfigChangesReceived: reduce_changes,
    ConfigSnapshotReceived: reduce_snapshot,
}
