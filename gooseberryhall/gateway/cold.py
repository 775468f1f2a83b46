"""Which cold servers this node may send requests to, and what their owner grants."""

import logging
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from copy import deepcopy
from dataclasses import dataclass, field, replace

from ..core.clock import now_s as boot_time_s
from ..fleet.cold import (
    CLOCK_GAP_LIMIT_S,
    GRANT_HOLD_S,
    SLOTS_RETURN_S,
    ColdLimit,
    SendWindow,
    StatedCold,
    cold_left_s,
)
from ..fleet.grants import GrantLedger, may_use_grant
from ..fleet.models import BackendServer, ColdGrant
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)


def _no_limit(_: str) -> ColdLimit | None:
    return None


@dataclass(slots=True)
class ColdServers:
    """Cold servers as this node knows them, its requests to them, and its grants.

    All times are of the clock that counts suspended time.
    """

    node: str = ""
    zone: str = ""
    # Returns the limits of a service, or None if its servers are never cold.
    limit: Callable[[str], ColdLimit | None] = _no_limit
    # Returns what a server last said of its cold time.
    stated: Callable[[BackendServer], StatedCold | None] = lambda _: None
    # Whether this node or another has received requests from callers.
    traffic_seen: Callable[[], bool] = lambda: False
    # Returns when a zone was last restored after an evacuation, on the same clock.
    restored_s: Callable[[str], float | None] = lambda _: None
    clock: Callable[[], float] = boot_time_s
    _ledger: GrantLedger = field(default_factory=GrantLedger)
    _window: SendWindow = field(default_factory=SendWindow)
    # Requests that were placed at a server and are not written yet.
    _placed: Counter[str] = field(default_factory=Counter)
    # Incarnation tag of each server, and the end of its cold time as last known.
    _known: dict[str, tuple[int, float]] = field(default_factory=dict)
    # Servers that were cold at the last update, and when others became warm.
    _cold: set[str] = field(default_factory=set)
    _warm_s: dict[str, float] = field(default_factory=dict)
    _observed_s: float | None = None
    # Earlier grants may be older than the time of their arrival.
    _valid_from_s: float = 0.0

    def snapshot(self) -> "ColdServers":
        """Return a copy for decisions that must not change this one."""
        return replace(
            self,
            _window=deepcopy(self._window),
            _placed=self._placed.copy(),
            _known=dict(self._known),
        )

    def observe_clock(self) -> float:
        """Return the time; after a pause of this process, discard earlier grants."""
        now_s = self.clock()
        if (
            self._observed_s is not None
            and now_s - self._observed_s > CLOCK_GAP_LIMIT_S
        ):
            self._valid_from_s = now_s + GRANT_HOLD_S
        self._observed_s = now_s
        return now_s

    def left_s(self, server: BackendServer) -> float:
        """Return for how long a server is still cold; 0 if it is warm."""
        limit = self.limit(server.service)
        if limit is None:
            return 0.0
        now_s = self.clock()
        return cold_left_s(
            server,
            limit.start_s,
            now_s,
            cold_until_s=self._see(server, limit, now_s),
            stated=self.stated(server),
            restored_s=self.restored_s(server.zone),
        )

    def may_send(self, server: BackendServer, *, placing: bool = False) -> bool:
        """Return whether a request may be sent to a server now.

        With `placing`, requests that are about to be written count as sent, and servers
        that were warm at the last update are not looked at again. All candidates of all
        requests are asked in this way, and the answer is checked before the request is
        written.
        """
        if placing and server.server_id not in self._cold:
            return True
        limit = self.limit(server.service)
        if limit is None:
            return True
        now_s = self.observe_clock()
        if not self.left_s(server):
            return True
        server_id = server.server_id
        sent = self._window.count(server_id, limit, now_s)
        return may_use_grant(
            server.cold_grant,
            server_id,
            self.node,
            self.zone,
            sent=sent + (self._placed[server_id] if placing else 0),
            valid_from_s=self._valid_from_s,
            now_s=now_s,
        )

    def is_cold(self, server_id: str) -> bool:
        """Return whether a server was cold at the last update."""
        return server_id in self._cold

    def start_placing(self, server: BackendServer) -> None:
        """Record that a request will be written to a server."""
        self._placed[server.server_id] += 1

    def end_placing(self, server: BackendServer) -> None:
        """Record that a request was written, or that it will not be."""
        self._placed[server.server_id] -= 1
        if self._placed[server.server_id] <= 0:
            del self._placed[server.server_id]

    def record_sent(self, server: BackendServer) -> None:
        """Record that a request was written to a server."""
        limit = self.limit(server.service)
        if limit is not None:
            self._window.record(server.server_id, limit, self.clock())

    def usable_slots(self, server: BackendServer, slots: int) -> int:
        """Return how many slots may be used; after the cold time they return gradually.

        While a server is cold, the number of its requests in a window is limited.
        """
        if server.server_id in self._cold:
            if self.left_s(server):
                return slots
            share = 0.0
        elif server.server_id in self._warm_s:
            warm_s = self.clock() - self._warm_s[server.server_id]
            share = min(1.0, warm_s / SLOTS_RETURN_S)
        else:
            return slots
        return max(1, int(slots * share))

    def describe(
        self,
        server: BackendServer,
        known: Collection[str],
        live: Collection[str],
        *,
        may_grant: bool,
    ) -> BackendServer:
        """Return a server with its cold time and grant for an announcement.

        `known` and `live` are the nodes of the owner's zone.
        """
        limit = self.limit(server.service)
        if limit is None:
            # Datagrams of deployments without cold servers stay as they were.
            return replace(server, cold_remaining_s=None, cold_grant=None)
        now_s = self.observe_clock()
        left_s = self.left_s(server)
        grant = None
        if left_s and may_grant and now_s >= self._valid_from_s:
            issued = self._ledger.issue(server.server_id, known, live, limit, now_s)
            if issued is not None:
                grant = ColdGrant(*issued, self.zone, now_s)
        return replace(
            server, cold_remaining_s=left_s, arrived_s=now_s, cold_grant=grant
        )

    def update(self, servers: Iterable[BackendServer]) -> int:
        """Notice servers that became cold or warm; return the number of cold ones."""
        now_s = self.observe_clock()
        cold = set()
        for server in servers:
            left_s = self.left_s(server)
            if not left_s:
                continue
            cold.add(server.server_id)
            if server.server_id not in self._cold:
                log_event(
                    _LOGGER,
                    LogEvent.SERVER_COLD,
                    "server is cold; it gets few requests",
                    server=server.server_id,
                    left_s=round(left_s, 3),
                    granted=self._is_granted(server, now_s),
                )
        for server_id in self._cold - cold:
            self._warm_s[server_id] = now_s
            log_event(
                _LOGGER,
                LogEvent.SERVER_WARM,
                "server is not cold any more; its slots return",
                server=server_id,
            )
        for server_id, warm_s in list(self._warm_s.items()):
            if server_id in cold or now_s - warm_s >= SLOTS_RETURN_S:
                del self._warm_s[server_id]
        self._cold = cold
        return len(cold)

    def retain(self, server_ids: Collection[str]) -> None:
        """Forget the servers that are no longer listed."""
        self._ledger.retain(server_ids)
        self._window.retain(server_ids)
        for server_id in list(self._known):
            if server_id not in server_ids:
                del self._known[server_id]

    def _see(self, server: BackendServer, limit: ColdLimit, now_s: float) -> float:
        """Record what is known of an incarnation; return the end of its cold time.

        One that is first seen after traffic has begun may just have started.
        """
        tag = server.incarnation_tag
        known = self._known.get(server.server_id)
        if server.cold_remaining_s is not None:
            known = (tag, server.arrived_s + server.cold_remaining_s)
        elif known is None or known[0] != tag:
            known = (tag, now_s + limit.start_s if self.traffic_seen() else 0.0)
        self._known[server.server_id] = known
        return known[1]

    def _is_granted(self, server: BackendServer, now_s: float) -> bool:
        return may_use_grant(
            server.cold_grant,
            server.server_id,
            self.node,
            self.zone,
            sent=0,
            valid_from_s=self._valid_from_s,
            now_s=now_s,
        )
