"""Effects of the routing concern."""

from dataclasses import dataclass

from ..core.effects import Effect


@dataclass(frozen=True, slots=True)
class GroupEjected(Effect):
    """A group gets no new work for a while because it is slow."""

    group: str
