"""Events of the routing package."""

from dataclasses import dataclass

from ..core.events import Event


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Blocks that a group's prefix cache stored, or evicted if not `stored`."""

    seq: int
    stored: bool
    blocks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CacheEventsReceived(Event):
    """Cache events of a group, read from its leader, arrived."""

    group: str
    generation: int
    changes: tuple[CacheChange, ...]


@dataclass(frozen=True, slots=True)
class LatencyObserved(Event):
    """Time to the first token or mean gap between tokens of a group was measured."""

    group: str
    first_token_s: float | None = None
    gap_s: float | None = None


@dataclass(frozen=True, slots=True)
class StragglerCheckDue(Event):
    """It is time to compare the latencies of groups and eject slow ones."""
