"""Zones of which this node can reach no server. Pure state.

Load pattern: all servers of a zone are lost at the same moment. Each request of the
zone's callers would try several of them, one after the other, and be refused, while
the servers of other zones have room.
"""

from dataclasses import dataclass, field
from typing import Final

# Servers of a zone that must be unreachable, so that the loss of one server does not
# keep requests from its zone.
MIN_UNREACHABLE_SERVERS: Final = 2
# Time for which a failed connection counts; servers that start again are back soon.
FAILURE_LIFETIME_S: Final = 0.6


@dataclass(slots=True)
class ZoneFailures:
    """Servers that could not be reached since a server of their zone last sent data."""

    # Times of the last failed connections, by zone and server.
    _failed_s: dict[str, dict[str, float]] = field(default_factory=dict)

    def record_failure(self, zone: str, server_id: str, now_s: float) -> None:
        """Record that no connection to a server was made."""
        failed_s = self._failed_s.setdefault(zone, {})
        failed_s[server_id] = now_s
        for key, time_s in list(failed_s.items()):
            if now_s - time_s >= FAILURE_LIFETIME_S:
                del failed_s[key]

    def record_progress(self, zone: str) -> None:
        """Record that a server of a zone sent something."""
        if self._failed_s:
            self._failed_s.pop(zone, None)

    def clear(self) -> None:
        """Forget all failed connections."""
        self._failed_s.clear()

    def is_suspected(self, zone: str, now_s: float) -> bool:
        """Return whether the servers of a zone seem to be out of reach."""
        failed_s = self._failed_s.get(zone, {})
        recent = [time_s for time_s in failed_s.values() if _is_recent(time_s, now_s)]
        return len(recent) >= MIN_UNREACHABLE_SERVERS


def _is_recent(time_s: float, now_s: float) -> bool:
    return now_s - time_s < FAILURE_LIFETIME_S
