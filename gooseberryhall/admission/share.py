"""Share of one node in the places that all nodes see at the same servers.

Load pattern: a burst at twice the capacity. All nodes see the same few places 0.15 to
0.45 s late; if each used them for its own requests, these servers would get many times
what they take. Each node uses as many as its part of the traffic, spread over the age
of the figures.
"""

from dataclasses import dataclass

from .const import FIGURES_AGE_S, MIN_SAVED_PLACES, SCARCE_SLOTS_PER_NODE


@dataclass(frozen=True, slots=True)
class Supply:
    """What this node knows of the servers that may take a request."""

    # Slots that look free.
    free: int = 0
    # Further requests that the servers are expected to take.
    places: float = 0.0
    # Requests in flight from this node, and from all nodes.
    own: int = 0
    total: int = 0

    def scale(self, factor: float) -> "Supply":
        """Return the supply of all servers, of which this one counts a sample."""
        return Supply(
            int(self.free * factor),
            self.places * factor,
            int(self.own * factor),
            int(self.total * factor),
        )

    def is_scarce(self, nodes: int) -> bool:
        """Return whether there are too few free slots for all nodes."""
        return self.free < SCARCE_SLOTS_PER_NODE * nodes

    def node_places(self, nodes: int) -> float:
        """Return this node's part of the places, by its part of the traffic.

        Each node counts as if it had one more request, so that an idle one has a part.
        """
        return self.places * (self.own + 1) / (max(self.total, self.own) + nodes)


@dataclass(slots=True)
class Allowance:
    """Places that this node may use now, as a token bucket.

    It starts with a random part of a place, so that nodes that have less than a place
    each do not use theirs at the same time.
    """

    tokens: float
    updated_s: float

    def refill(self, node_places: float, now_s: float) -> None:
        """Add the places of the time since the last call."""
        elapsed_s = min(FIGURES_AGE_S, now_s - self.updated_s)
        self.updated_s = now_s
        added = node_places * elapsed_s / FIGURES_AGE_S
        self.tokens = min(max(MIN_SAVED_PLACES, node_places), self.tokens + added)

    def spend(self) -> None:
        """Use a place, or what is left if servers have enough for all."""
        self.tokens = max(0.0, self.tokens - 1.0)

    def refund(self) -> None:
        """Give a place back that a server refused."""
        self.tokens += 1.0

    def delay_s(self, node_places: float) -> float | None:
        """Return the time until a place may be used; None if there will be none."""
        missing = 1.0 - self.tokens
        if missing <= 0.0:
            return 0.0
        if node_places <= 0.0:
            return None
        return missing * FIGURES_AGE_S / node_places
