"""Follower of the server records in the store."""

import asyncio
import logging
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from ..core.clock import now_s as boot_time_s
from ..core.tasks import CreateTask
from ..fleet.models import BackendServer
from ..fleet.view import LAPSED_RECORD_GRACE_S, FleetView
from ..gossip.peers import Peers
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import (
    BACKGROUND_MAX_RETRY_DELAY_S,
    LAPSED_SHARE,
    LEAVING_SERVER_DELAY_S,
    MAX_LEAVING,
    MAX_RETRY_DELAY_S,
    OUTDATED_RECORDS_S,
    OWNER_PAUSE_SHARE,
    OWNER_WAIT_SHARE,
    OWNER_WATCH_PAUSE_S,
    RECORD_READERS,
    STARTUP_OWNER_WAIT_S,
    WATCH_PAUSE_S,
    WATCH_PAUSE_SHARE,
)
from .directory import Directory, ServerListener
from .settings import NodeSettings

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class ServerFollower:
    """Follows the server records for owners and while a zone lacks a working owner."""

    directory: Directory
    create_task: CreateTask
    peers: Peers
    settings: NodeSettings
    # Whether this node owns a zone.
    is_owner: Callable[[], bool]
    # Time since a zone, by name, last had an owner with access to the store.
    without_owner_s: Callable[[str, float], float]
    # Ids of the servers to which requests can be sent.
    routable: Callable[[], Collection[str]]
    view: FleetView = field(default_factory=FleetView)
    # Whether the view is up to date with the store. It need not be while all zones have
    # owners that announce their groups.
    following: bool = False
    # Whether the last call to the store failed.
    store_lost: bool = False
    # End of the time in which records that lapsed in an outage of the store return, on
    # the clock of the event loop.
    _lapses_until_s: float = 0.0
    # Time of the last answer of the store, on the clock that includes suspended time.
    _answered_s: float = field(default_factory=boot_time_s)
    _needed: asyncio.Event = field(default_factory=asyncio.Event)

    def start(self) -> None:
        """Start to follow the store."""
        listener = ServerListener(
            self._on_snapshot,
            self._on_record,
            self._on_removed,
            self._on_store_state,
            self._async_wait_needed,
            self._pause_s,
            self._max_retry_delay_s,
        )
        self.create_task(self.directory.async_follow_servers(listener))

    def is_outdated(self) -> bool:
        """Return whether the store should have answered again by now.

        This process may be slow, or may have been paused, so that changes of the
        records are not yet applied.
        """
        limit_s = self._pause_s() + OUTDATED_RECORDS_S
        return boot_time_s() - self._answered_s > limit_s

    def remove_lapsed(self) -> None:
        """Remove servers whose records did not return after a store outage."""
        for server_id in self.view.remove_lapsed(_now_s()):
            _log_server(server_id, "lapsed server record did not return")

    def _on_snapshot(
        self, records: Iterable[BackendServer], after_outage: bool
    ) -> None:
        now_s = _now_s()
        if after_outage:
            self._lapses_until_s = now_s + LAPSED_RECORD_GRACE_S
        self.view.apply_snapshot(records, after_outage=after_outage, now_s=now_s)
        self.following = True
        self._log_kept()

    def _log_kept(self) -> None:
        if kept := self.view.lapsed_servers():
            log_event(
                _LOGGER,
                LogEvent.LAPSED_SERVERS_KEPT,
                "records are missing after an outage; their servers are kept",
                servers=sorted(kept),
            )

    def _on_store_state(self, answered: bool) -> None:
        """Record whether the store answered; without it the view stays as it is."""
        self.store_lost = not answered
        if not answered:
            self.following = False
            return
        self._answered_s = boot_time_s()

    def _on_record(self, server: BackendServer) -> None:
        previous = self.view.servers.get(server.server_id)
        applied = self.view.apply_record(server, _now_s())
        if not applied and server.leaving:
            log_event(
                _LOGGER,
                LogEvent.RECORD_OUTDATED,
                "record of a leaving server is older than what is known; it is ignored",
                server=server.server_id,
                heartbeat=server.heartbeat,
                known_heartbeat=previous.heartbeat if previous else None,
                started_at_ms=server.started_at_ms,
                known_start_ms=previous.started_at_ms if previous else None,
            )
        elif previous is None:
            _log_server(server.server_id, "new server record")
        elif server.leaving and not previous.leaving:
            _log_server(server.server_id, "server is leaving")

    def _on_removed(self, server_ids: list[str]) -> None:
        removed = [key for key in server_ids if key in self.view.servers]
        if self._have_lapsed(removed):
            self.view.keep_lapsed(removed, self._lapses_until_s)
            self._log_kept()
            return
        for server_id in removed:
            self.view.remove_server(server_id, _now_s())
            _log_server(server_id, "server record was removed")

    def _have_lapsed(self, removed: list[str]) -> bool:
        """Return whether records lapsed in an outage, rather than their servers left.

        The store may remove such records when it has just come back. While it answers,
        any number of servers may leave at once.
        """
        if _now_s() >= self._lapses_until_s:
            return False
        return len(removed) > max(MAX_LEAVING, LAPSED_SHARE * len(self.view.servers))

    def update_demand(self) -> None:
        """Start or stop to follow the records, depending on the owners of the zones."""
        if self._is_needed():
            self._needed.set()
            return
        self._needed.clear()

    async def _async_wait_needed(self) -> bool:
        if self._is_needed():
            return False
        self._needed.clear()
        self.following = False
        # Only the configuration is followed now.
        self.store_lost = False
        await self._needed.wait()
        # Since the records were last read, owners have told which servers there are.
        self.view.keep_only(self.routable(), _now_s())
        return True

    def _is_needed(self) -> bool:
        if self.is_owner():
            return True
        now_s = _now_s()
        return any(self._is_needed_for(zone, now_s) for zone in self.settings.zones)

    def _is_needed_for(self, zone: str, now_s: float) -> bool:
        """Return whether a zone lacks an owner and this node cannot wait for a new one.

        The nodes that contend first need the records for it. The others soon get an
        announcement of the new owner; if not, they read the records themselves, before
        requests reach a leaving server too late.
        """
        received = self.peers.fresh_announcement(zone, now_s)
        if received is not None and not received.store_lost:
            return False
        if zone == self.settings.zone and self._is_contender(zone, now_s):
            return True
        wait_s = self._spare_s() * OWNER_WAIT_SHARE
        if not self.routable():
            # Callers wait for the first groups; a live owner makes itself known sooner.
            wait_s = min(wait_s, STARTUP_OWNER_WAIT_S)
        return self.without_owner_s(zone, now_s) >= wait_s

    def _is_contender(self, zone: str, now_s: float) -> bool:
        # Without peers the node has not yet learned which nodes go first.
        return (
            bool(self.peers.peers)
            and self.peers.contention_rank(zone, now_s) < RECORD_READERS
        )

    def _spare_s(self) -> float:
        """Return how much later than at once a leaving server may be noticed."""
        return max(0.0, self.settings.leaving_limit_s - LEAVING_SERVER_DELAY_S)

    def _pause_s(self) -> float:
        if self.is_owner():
            return OWNER_WATCH_PAUSE_S + self._spare_s() * OWNER_PAUSE_SHARE
        return WATCH_PAUSE_S + self._spare_s() * WATCH_PAUSE_SHARE

    def _max_retry_delay_s(self) -> float:
        # Owners need the records first; other nodes receive announcements from them.
        if self.is_owner() or not self.routable():
            return MAX_RETRY_DELAY_S
        return BACKGROUND_MAX_RETRY_DELAY_S


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _log_server(server_id: str, message: str) -> None:
    log_event(_LOGGER, LogEvent.SERVER_CHANGED, message, server=server_id)
