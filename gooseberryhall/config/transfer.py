"""Splits configuration into messages that fit into frames and reassembles it."""

from collections import deque
from collections.abc import Iterable, Iterator
from typing import Any, TypeVar
from weakref import WeakKeyDictionary

from pydantic import BaseModel

from ..links.link import Link
from ..links.messages import ConfigChanges, ConfigSnapshot
from .const import MAX_BATCH_BYTES, MAX_RECENT_CHANGES_BYTES
from .events import ConfigSnapshotReceived
from .operations import Change
from .state import ConfigState

ModelT = TypeVar("ModelT", bound=BaseModel)


class RecentChanges:
    """Buffer of the newest applied changes, limited in bytes."""

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._changes: deque[tuple[Change, int]] = deque()
        self._bytes = 0

    def add(self, changes: Iterable[Change]) -> None:
        """Add applied changes; a gap or no changes (a snapshot) clears the buffer."""
        changes = tuple(changes)
        newest = self._changes[-1][0].revision if self._changes else 0
        if not changes or changes[0].revision != newest + 1:
            self._changes.clear()
            self._bytes = 0
        for change in changes:
            size = _json_size_bytes(change)
            self._changes.append((change, size))
            self._bytes += size
        while self._bytes > MAX_RECENT_CHANGES_BYTES:
            self._bytes -= self._changes.popleft()[1]

    def after(self, revision: int) -> tuple[Change, ...] | None:
        """Return all changes after a revision, or None if some are missing."""
        if not self._changes or self._changes[0][0].revision > revision + 1:
            return None
        return tuple(item for item, _ in self._changes if item.revision > revision)


class SnapshotAssembler:
    """Assemble snapshots from their parts, which arrive in order on each link."""

    def __init__(self) -> None:
        """Create an assembler without parts."""
        self._parts: WeakKeyDictionary[Link, list[ConfigSnapshot]] = WeakKeyDictionary()

    def add(self, link: Link, message: ConfigSnapshot) -> ConfigSnapshotReceived | None:
        """Add a part and return the snapshot if this part completes it."""
        parts = [] if message.part == 1 else self._parts.get(link, [])
        parts.append(message)
        self._parts[link] = parts
        expected = [(message.revision, number + 1) for number in range(message.part)]
        if [(item.revision, item.part) for item in parts] != expected:
            self._parts.pop(link)
            return None
        if message.part < message.parts:
            return None
        self._parts.pop(link)
        objects = tuple(item for part in parts for item in part.objects)
        return ConfigSnapshotReceived(message.revision, objects)


def snapshot_messages(config: ConfigState) -> list[ConfigSnapshot]:
    """Return messages with the whole configuration."""
    batches = list(_batches(config.objects.values())) or [()]
    return [
        ConfigSnapshot(
            revision=config.revision, objects=batch, part=number, parts=len(batches)
        )
        for number, batch in enumerate(batches, 1)
    ]


def change_messages(changes: Iterable[Change]) -> list[ConfigChanges]:
    """Return messages with the changes."""
    return [ConfigChanges(changes=batch) for batch in _batches(changes)]


def _batches(items: Iterable[ModelT]) -> Iterator[tuple[ModelT, ...]]:
    batch: list[ModelT] = []
    batch_bytes = 0
    for item in items:
        size = _json_size_bytes(item)
        if batch and batch_bytes + size > MAX_BATCH_BYTES:
            yield tuple(batch)
            batch, batch_bytes = [], 0
        batch.append(item)
        batch_bytes += size
    if batch:
        yield tuple(batch)


def _json_size_bytes(item: Any) -> int:
    return len(item.model_dump_json())
