"""Limits the time that the node spends on bodies in very small pieces."""

from dataclasses import dataclass

from .const import FREE_PARTS, PART_COST_S, PARTS_TIME_SHARE


@dataclass(slots=True)
class PartPacer:
    """Share of the event loop's time for reads with many parts of bodies.

    Load pattern: many bodies in chunks of a few bytes, whose parsing would keep the
    node from all other requests.
    """

    _free_s: float = 0.0

    def delay_s(self, parts: int, now_s: float) -> float:
        """Return how long a connection must not be read after a read with `parts`."""
        if parts <= FREE_PARTS:
            return 0.0
        start_s = max(now_s, self._free_s)
        self._free_s = start_s + parts * PART_COST_S / PARTS_TIME_SHARE
        return self._free_s - now_s
