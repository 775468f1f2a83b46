"""What a node knows of its peers."""

from dataclasses import dataclass

from ..transport.address import Address
from .const import ANNOUNCEMENT_TTL_S, MS_PER_S
from .messages import Gossip, ServerTraffic, ZoneAnnouncement


@dataclass(slots=True)
class Peer:
    """Another node of the system."""

    name: str
    # Zone of the node; empty if it was listed without one.
    zone: str
    address: Address
    received_s: float
    sent_s: float = 0.0
    message: Gossip | None = None


@dataclass(slots=True)
class PeerTraffic:
    """Traffic of peers to a server."""

    in_flight: int = 0
    # Time of the last progress on the clock of this process; 0 if there was none.
    progress_s: float = 0.0

    def add(self, item: ServerTraffic, received_s: float) -> None:
        """Add the traffic that one peer reported at `received_s`."""
        self.in_flight += item.in_flight
        if item.progress_age_ms is not None:
            at_s = received_s - item.progress_age_ms / MS_PER_S
            self.progress_s = max(self.progress_s, at_s)


@dataclass(frozen=True, slots=True)
class ReceivedAnnouncement:
    """The last announcement of a zone."""

    node: str
    announcement: ZoneAnnouncement
    received_s: float
    # Whether the owner cannot follow the store, so that it may miss leaving servers.
    store_lost: bool = False

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the announcement is younger than `ANNOUNCEMENT_TTL_S`."""
        return now_s - self.received_s < ANNOUNCEMENT_TTL_S
