"""What this node has seen of the servers it sends requests to."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from ..transport.exceptions import ExchangeAbortedError
from ..transport.exchange import Exchange
from .const import (
    GROUP_STALL_S,
    MAX_STALL_BACKOFF_S,
    PLAIN_BACKOFF_S,
    STALL_BACKOFF_S,
)

_FAILURE_WEIGHT = 0.2


@dataclass(frozen=True, slots=True)
class Attempt:
    """A request at a server."""

    exchange: Exchange
    # Whether the request can go on elsewhere.
    may_move: Callable[[], bool]


@dataclass(slots=True)
class BackendHealth:
    """Traffic of this node to one server."""

    in_flight: dict[int, Attempt] = field(default_factory=dict)
    # Start of the silence that counts as a stall.
    silent_since_s: float = 0.0
    # Last sign of progress of any request; 0 if there was none.
    progress_s: float = 0.0
    suspected_until_s: float = 0.0
    backoff_s: float = STALL_BACKOFF_S
    # Moving average of failures, from 0 to 1.
    failure_rate: float = 0.0


@dataclass(slots=True)
class Backends:
    """Health and load of servers by id."""

    on_stall: Callable[[str], None]
    _health: defaultdict[str, BackendHealth] = field(
        default_factory=lambda: defaultdict(BackendHealth)
    )
    # Requests in flight from other nodes.
    peer_load: dict[str, int] = field(default_factory=dict)
    # Time at which other nodes last saw progress.
    peer_progress_s: dict[str, float] = field(default_factory=dict)
    _next_key: int = 0

    def load(self, server_id: str) -> int:
        """Return the known requests in flight from all nodes."""
        health = self._health.get(server_id)
        own = len(health.in_flight) if health else 0
        return own + self.peer_load.get(server_id, 0)

    def local_load(self) -> dict[str, int]:
        """Return this node's requests in flight by server."""
        return {
            server_id: len(health.in_flight)
            for server_id, health in self._health.items()
            if health.in_flight
        }

    def progress_s(self, server_id: str) -> float:
        """Return when any node last saw progress; 0 if none did."""
        health = self._health.get(server_id)
        own_s = health.progress_s if health else 0.0
        return max(own_s, self.peer_progress_s.get(server_id, 0.0))

    def local_progress_s(self, server_id: str) -> float:
        """Return when this node last saw progress; 0 if it did not."""
        health = self._health.get(server_id)
        return health.progress_s if health else 0.0

    def is_suspected(self, server_id: str, now_s: float) -> bool:
        """Return whether the server stalled or failed a moment ago."""
        health = self._health.get(server_id)
        return health is not None and health.suspected_until_s > now_s

    def failure_rate(self, server_id: str) -> float:
        """Return the moving average of failures, from 0 to 1."""
        health = self._health.get(server_id)
        return health.failure_rate if health else 0.0

    def begin(self, server_id: str, attempt: Attempt, now_s: float) -> int:
        """Note a request and return the key that ends it."""
        health = self._health[server_id]
        if not health.in_flight:
            health.silent_since_s = now_s
        self._next_key += 1
        health.in_flight[self._next_key] = attempt
        return self._next_key

    def end(self, server_id: str, key: int) -> None:
        """Note the end of a request."""
        health = self._health[server_id]
        health.in_flight.pop(key, None)

    def progress(self, server_id: str, now_s: float) -> None:
        """Note that the server sent something for a request."""
        health = self._health[server_id]
        health.silent_since_s = now_s
        health.progress_s = now_s
        health.backoff_s = STALL_BACKOFF_S

    def note_result(self, server_id: str, *, failed: bool) -> None:
        """Note whether a request to the server failed."""
        health = self._health[server_id]
        health.failure_rate += _FAILURE_WEIGHT * (failed - health.failure_rate)

    def suspect(self, server_id: str, now_s: float) -> None:
        """Keep new requests from a server that could not be reached."""
        health = self._health[server_id]
        health.suspected_until_s = now_s + PLAIN_BACKOFF_S

    def check_stalls(self, group_heads: set[str], now_s: float) -> list[str]:
        """Abort requests at heads that are silent; return these heads.

        A head whose member is lost falls silent on all its streams at once.
        Requests that cannot go on elsewhere stay, as the group may only be slow.
        """
        stalled = []
        for server_id, health in self._health.items():
            elsewhere_s = self.peer_progress_s.get(server_id, 0.0)
            silent_s = now_s - max(health.silent_since_s, elsewhere_s)
            if not health.in_flight or silent_s < GROUP_STALL_S:
                continue
            if server_id not in group_heads:
                continue
            self._stall(server_id, health, now_s)
            stalled.append(server_id)
        return stalled

    def remove_unused(self, known: set[str]) -> None:
        """Drop servers that no longer exist and have no requests."""
        for server_id in list(self._health):
            if server_id not in known and not self._health[server_id].in_flight:
                del self._health[server_id]

    def _stall(self, server_id: str, health: BackendHealth, now_s: float) -> None:
        health.suspected_until_s = now_s + health.backoff_s
        health.backoff_s = min(2 * health.backoff_s, MAX_STALL_BACKOFF_S)
        # Requests that do not end at once are not reported again before a new limit.
        health.silent_since_s = now_s
        self.on_stall(server_id)
        for attempt in list(health.in_flight.values()):
            if attempt.may_move():
                attempt.exchange.abort(ExchangeAbortedError("the group is silent"))
