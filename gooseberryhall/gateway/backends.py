"""Load and health of backend servers as observed by this node."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from ..admission.const import FULL_S
from ..transport.exceptions import ExchangeAbortedError
from ..transport.exchange import Exchange
from .const import (
    GROUP_STALL_TIMEOUT_S,
    MAX_STALL_BACKOFF_S,
    RECENT_PROGRESS_S,
    SHARED_STALL_TIMEOUT_S,
    STALL_BACKOFF_S,
    UNREACHABLE_BACKOFF_S,
)

_FAILURE_WEIGHT = 0.2
_MIN_SHARING_SERVERS = 2
_MIN_SILENT_REQUESTS = 2


@dataclass(frozen=True, slots=True)
class Attempt:
    """One send of a request to a server."""

    exchange: Exchange
    # Returns the fingerprint of the request and the ids of the shared parts of its
    # prompt.
    traits: Callable[[], frozenset[str]] = frozenset
    # Returns whether the request may be aborted if such requests crash servers.
    can_abandon: Callable[[], bool] = lambda: False


@dataclass(frozen=True, slots=True)
class Stall:
    """A group that sent nothing for any of its requests."""

    server_id: str
    # Time without progress, in seconds.
    silent_s: float
    # Requests in flight.
    requests: int


@dataclass(slots=True)
class BackendHealth:
    """In-flight requests and observed health of one server."""

    in_flight: dict[int, Attempt] = field(default_factory=dict)
    # Start of the period without progress that is compared with the stall timeout.
    no_progress_since_s: float = 0.0
    # Time of the last progress of any request; 0 if there was none.
    last_progress_s: float = 0.0
    suspected_until_s: float = 0.0
    backoff_s: float = STALL_BACKOFF_S
    # Moving average of failures, from 0 to 1.
    failure_rate: float = 0.0


@dataclass(slots=True)
class Backends:
    """Health and load of servers by server id."""

    on_stall: Callable[[Stall], None]
    _health: defaultdict[str, BackendHealth] = field(
        default_factory=lambda: defaultdict(BackendHealth)
    )
    # Requests in flight from other nodes, by server.
    peer_load: dict[str, int] = field(default_factory=dict)
    # Time at which other nodes last observed progress, by server.
    peer_progress_s: dict[str, float] = field(default_factory=dict)
    # Whether the load from other nodes is known; a node that has just started waits for
    # the first announcement with traffic.
    traffic_known: bool = True
    # Called after an attempt has ended.
    on_end: Callable[[], None] = lambda: None
    # Servers that rejected a request because they are full, until a time.
    _full_until_s: dict[str, float] = field(default_factory=dict)
    # When all servers that should send something were last silent.
    _shared_silence_s: float = float("-inf")
    _next_key: int = 0

    def load(self, server_id: str) -> int:
        """Return the requests in flight from all nodes, as last reported."""
        health = self._health.get(server_id)
        local = len(health.in_flight) if health else 0
        return local + self.peer_load.get(server_id, 0)

    def own_load(self, server_id: str) -> int:
        """Return this node's requests in flight at a server."""
        health = self._health.get(server_id)
        return len(health.in_flight) if health else 0

    def known_load(
        self, server_id: str, slots: int, max_queued: int, now_s: float
    ) -> tuple[int, int]:
        """Return the requests in flight at a server, and the part of other nodes.

        A server that is full has `max_queued` requests beyond its slots.
        """
        own = self.own_load(server_id)
        peers = self.peer_load.get(server_id, 0)
        if server_id in self._full_until_s and self.is_full(server_id, now_s):
            return max(own + peers, slots + max_queued), 0
        if not self.traffic_known:
            peers = max(peers, slots // 2 - own)
        return own + peers, peers

    def mark_full(self, server_id: str, now_s: float) -> None:
        """Record that a server rejected a request because it is full."""
        self._full_until_s[server_id] = now_s + FULL_S

    def is_full(self, server_id: str, now_s: float) -> bool:
        """Return whether a server rejected a request, and nothing has changed since."""
        return self._full_until_s.get(server_id, 0.0) > now_s

    def local_load(self) -> dict[str, int]:
        """Return this node's requests in flight by server."""
        return {
            server_id: len(health.in_flight)
            for server_id, health in self._health.items()
            if health.in_flight
        }

    def progress_s(self, server_id: str) -> float:
        """Return when any node last observed progress; 0 if none did."""
        health = self._health.get(server_id)
        local_s = health.last_progress_s if health else 0.0
        return max(local_s, self.peer_progress_s.get(server_id, 0.0))

    def local_progress_s(self, server_id: str) -> float:
        """Return when this node last observed progress; 0 if it did not."""
        health = self._health.get(server_id)
        return health.last_progress_s if health else 0.0

    def is_suspected(self, server_id: str, now_s: float) -> bool:
        """Return whether the server is in backoff after a stall or failed connect."""
        health = self._health.get(server_id)
        return health is not None and health.suspected_until_s > now_s

    def failure_rate(self, server_id: str) -> float:
        """Return the moving average of failures, from 0 to 1."""
        health = self._health.get(server_id)
        return health.failure_rate if health else 0.0

    def start_attempt(self, server_id: str, attempt: Attempt, now_s: float) -> int:
        """Register an attempt and return the key for `end_attempt`."""
        health = self._health[server_id]
        if not health.in_flight:
            health.no_progress_since_s = now_s
        self._next_key += 1
        health.in_flight[self._next_key] = attempt
        return self._next_key

    def end_attempt(self, server_id: str, key: int) -> None:
        """Remove an attempt that has ended."""
        health = self._health[server_id]
        health.in_flight.pop(key, None)
        self._full_until_s.pop(server_id, None)
        self.on_end()

    def record_progress(self, server_id: str, now_s: float) -> None:
        """Record that the server sent data for a request."""
        health = self._health[server_id]
        health.no_progress_since_s = now_s
        health.last_progress_s = now_s
        health.backoff_s = STALL_BACKOFF_S

    def record_result(self, server_id: str, *, failed: bool) -> None:
        """Update the failure rate with the result of a request."""
        health = self._health[server_id]
        health.failure_rate += _FAILURE_WEIGHT * (failed - health.failure_rate)

    def mark_unreachable(self, server_id: str, now_s: float) -> None:
        """Start the backoff of a server to which no connection was established."""
        health = self._health[server_id]
        health.suspected_until_s = now_s + UNREACHABLE_BACKOFF_S

    def check_stalls(self, leaders: set[str], now_s: float) -> list[str]:
        """Report silence to the requests of stalled group leaders; return the leaders.

        A leader that loses a member stops sending on all its streams simultaneously.
        """
        is_shared = self._is_silence_shared(now_s)
        if is_shared:
            self._shared_silence_s = now_s
        stalled = []
        for server_id, health in self._health.items():
            peer_s = self.peer_progress_s.get(server_id, 0.0)
            stalled_s = now_s - max(health.no_progress_since_s, peer_s)
            if not health.in_flight or not self._is_stalled(stalled_s, now_s):
                continue
            if server_id not in leaders:
                continue
            self._handle_stall(server_id, health, now_s, stalled_s)
            stalled.append(server_id)
        return stalled

    def skip_unobserved(self, gap_s: float, now_s: float) -> None:
        """Do not count a time in which this process did not run as silence."""
        for health in self._health.values():
            since_s = health.no_progress_since_s + gap_s
            health.no_progress_since_s = min(since_s, now_s)

    def _is_stalled(self, silent_s: float, now_s: float) -> bool:
        """Return whether a server that was silent for so long is stalled.

        After a silence that all servers shared, each gets time to go on.
        """
        shared_s = now_s - self._shared_silence_s
        if shared_s <= 0:
            return silent_s >= SHARED_STALL_TIMEOUT_S
        if silent_s >= SHARED_STALL_TIMEOUT_S + GROUP_STALL_TIMEOUT_S:
            return True
        return min(silent_s, shared_s) >= GROUP_STALL_TIMEOUT_S

    def _is_silence_shared(self, now_s: float) -> bool:
        """Return whether several servers should send something and none does."""
        waiting = sum(1 for health in self._health.values() if health.in_flight)
        if waiting < _MIN_SHARING_SERVERS:
            return False
        latest_s = max(self.latest_progress_s(), *self.peer_progress_s.values(), 0.0)
        return now_s - latest_s >= RECENT_PROGRESS_S

    def latest_progress_s(self) -> float:
        """Return when this node last observed progress of any server; 0 if never."""
        return max(
            (health.last_progress_s for health in self._health.values()), default=0.0
        )

    def exchanges(self) -> list[Exchange]:
        """Return the exchanges of all attempts in flight."""
        return [
            attempt.exchange
            for health in self._health.values()
            for attempt in health.in_flight.values()
        ]

    def is_silent(self, now_s: float) -> bool:
        """Return whether requests are in flight and nothing arrives for any of them."""
        waiting = [item for item in self._health.values() if item.in_flight]
        if sum(len(item.in_flight) for item in waiting) < _MIN_SILENT_REQUESTS:
            return False
        since_s = max(item.no_progress_since_s for item in waiting)
        return now_s - since_s >= GROUP_STALL_TIMEOUT_S

    def forget_suspicions(self) -> None:
        """End the backoff of all servers."""
        for health in self._health.values():
            health.suspected_until_s = 0.0
            health.backoff_s = STALL_BACKOFF_S

    def abort_crashing(self, is_blocked: Callable[[frozenset[str]], bool]) -> None:
        """Abort requests that would crash their servers, before they are answered."""
        for health in self._health.values():
            for attempt in list(health.in_flight.values()):
                if is_blocked(attempt.traits()) and attempt.can_abandon():
                    attempt.exchange.abort(
                        ExchangeAbortedError("requests like this one crash servers")
                    )

    def remove_unused(self, server_ids: set[str]) -> None:
        """Remove servers that are not in `server_ids` and have no requests."""
        for server_id in list(self._health):
            if server_id not in server_ids and not self._health[server_id].in_flight:
                del self._health[server_id]
                self._full_until_s.pop(server_id, None)

    def _handle_stall(
        self, server_id: str, health: BackendHealth, now_s: float, silent_s: float
    ) -> None:
        health.suspected_until_s = now_s + health.backoff_s
        health.backoff_s = min(2 * health.backoff_s, MAX_STALL_BACKOFF_S)
        # Requests that stay in flight are not reported again before another timeout.
        health.no_progress_since_s = now_s
        for attempt in health.in_flight.values():
            attempt.exchange.report_silence()
        self.on_stall(Stall(server_id, silent_s, len(health.in_flight)))
