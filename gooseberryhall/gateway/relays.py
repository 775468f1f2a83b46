"""Peers that pass requests on to servers which this node does not reach. Pure state."""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from typing import Final

from ..transport.address import Address
from ..transport.pool import ConnectionPool

# Peers that share the requests of a node which is partitioned.
RELAYS: Final = 3
# Time for which a peer that could not pass a request on is not asked.
RELAY_BACKOFF_S: Final = 2.0
# Peers of the own zone that fail in a row, after which those of other zones go first.
MAX_FAILED_IN_ZONE: Final = 2
# Peers that are asked for one request, and those drawn to find one.
MAX_RELAYS_TRIED: Final = 3
MAX_DRAWS: Final = 8
# Time for which the list of peers is kept.
LIST_LIFETIME_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Relay:
    """A peer that may pass requests on."""

    node: str
    zone: str
    address: Address


@dataclass(slots=True)
class Relays:
    """Peers that passed requests on, and those that could not."""

    zone: str
    # Connections to peers.
    pool: ConnectionPool
    # Returns the peers of this node.
    list_peers: Callable[[], Sequence[Relay]] = tuple
    rng: random.Random = field(default_factory=random.Random)
    # Peers that passed the last request on, by node.
    _proved: dict[str, Relay] = field(default_factory=dict)
    _failed_until_s: dict[str, float] = field(default_factory=dict)
    _zone_failures: int = 0
    _local: list[Relay] = field(default_factory=list)
    _remote: list[Relay] = field(default_factory=list)
    _listed_s: float = float("-inf")

    def choose(self, tried: Collection[str], now_s: float) -> Relay | None:
        """Return a peer that was not tried yet for this request, or None."""
        proved = [item for item in self._proved.values() if item.node not in tried]
        if len(proved) >= RELAYS:
            return self.rng.choice(proved)
        found = self._draw_other(tried, now_s)
        if found is None:
            return self.rng.choice(proved) if proved else None
        # Each request may find out about one more peer.
        return self.rng.choice([*proved, found])

    def is_proved(self, relay: Relay) -> bool:
        """Return whether a peer passed the last request on."""
        return relay.node in self._proved

    def record_success(self, relay: Relay) -> None:
        """Record that a peer passed a server's answer on."""
        self._failed_until_s.pop(relay.node, None)
        if relay.zone == self.zone:
            self._zone_failures = 0
        if len(self._proved) < RELAYS:
            self._proved[relay.node] = relay

    def record_failure(self, relay: Relay, now_s: float) -> None:
        """Record that a peer does not pass requests on now."""
        self._proved.pop(relay.node, None)
        self._failed_until_s[relay.node] = now_s + RELAY_BACKOFF_S
        if relay.zone == self.zone:
            self._zone_failures += 1

    def _draw_other(self, tried: Collection[str], now_s: float) -> Relay | None:
        """Return a peer that is not proved; those of the own zone go first.

        All nodes of a zone may be partitioned together.
        """
        self._list(now_s)
        lists = [self._local, self._remote]
        if self._zone_failures >= min(MAX_FAILED_IN_ZONE, len(self._local)):
            lists.reverse()
        for items in lists:
            for item in self._sample(items):
                is_failed = self._failed_until_s.get(item.node, 0.0) > now_s
                if item.node not in tried and not is_failed:
                    return item
        return None

    def _sample(self, items: Sequence[Relay]) -> Sequence[Relay]:
        return self.rng.sample(items, min(MAX_DRAWS, len(items)))

    def _list(self, now_s: float) -> None:
        if now_s - self._listed_s < LIST_LIFETIME_S:
            return
        self._listed_s = now_s
        others = [item for item in self.list_peers() if item.node not in self._proved]
        self._local = [item for item in others if item.zone == self.zone]
        self._remote = [item for item in others if item.zone != self.zone]
