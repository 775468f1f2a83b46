"""Effects of the routing package."""

from dataclasses import dataclass

from ..core.effects import Effect


@dataclass(frozen=True, slots=True)
class GroupEjected(Effect):
    """A slow group was ejected and gets no new requests for a while."""

    group: str
