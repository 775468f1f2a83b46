"""Events of the routing concern."""

from dataclasses import dataclass

from ..core.events import Event


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Blocks that a group's prefix cache stored or evicted."""

    seq: int
    stored: bool
    blocks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CacheEventsReceived(Event):
    """Cache events of a group's lead arrived."""

    group: str
    generation: int
    changes: tuple[CacheChange, ...]


@dataclass(frozen=True, slots=True)
class LatencyObserved(Event):
    """Streams of a group gave a first token or showed their gap between tokens."""

    group: str
    first_token_s: float | None = None
    gap_s: float | None = None


@dataclass(frozen=True, slots=True)
class StragglerCheck(Event):
    """It is time to compare the groups' latencies."""
