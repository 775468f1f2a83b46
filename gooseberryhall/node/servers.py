"""Follower of the server records in the store."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..core.tasks import CreateTask
from ..fleet.models import BackendServer
from ..fleet.view import FleetView
from ..gossip.peers import Peers
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import (
    BACKGROUND_MAX_RETRY_DELAY_S,
    DEMAND_POLL_S,
    LAPSED_SHARE,
    MAX_RETRY_DELAY_S,
    OWNER_WATCH_PAUSE_S,
    WATCH_PAUSE_S,
)
from .directory import Directory, ServerListener

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class ServerFollower:
    """Follows the server records for owners and while a zone lacks a working owner."""

    directory: Directory
    create_task: CreateTask
    peers: Peers
    zones: tuple[str, ...]
    # Whether this node owns a zone.
    is_owner: Callable[[], bool]
    # Whether requests can be sent to any server.
    has_servers: Callable[[], bool]
    view: FleetView = field(default_factory=FleetView)
    # Whether the view is up to date with the store. It need not be while all zones have
    # owners that announce their groups.
    following: bool = False
    # Whether the last call to the store failed.
    store_lost: bool = False

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

    def remove_lapsed(self) -> None:
        """Remove servers whose records did not return after a store outage."""
        for server_id in self.view.remove_lapsed(_now_s()):
            _log_server(server_id, "lapsed server record did not return")

    def _on_snapshot(
        self, records: Iterable[BackendServer], after_outage: bool
    ) -> None:
        self.view.apply_snapshot(records, after_outage=after_outage, now_s=_now_s())
        self.following = True

    def _on_store_state(self, answered: bool) -> None:
        """Record whether the store answered; without it the view stays as it is."""
        self.store_lost = not answered
        if not answered:
            self.following = False

    def _on_record(self, server: BackendServer) -> None:
        previous = self.view.servers.get(server.server_id)
        self.view.apply_record(server, _now_s())
        if previous is None:
            _log_server(server.server_id, "new server record")
        elif server.leaving and not previous.leaving:
            _log_server(server.server_id, "server is leaving")

    def _on_removed(self, server_ids: list[str]) -> None:
        removed = [key for key in server_ids if key in self.view.servers]
        if len(removed) > LAPSED_SHARE * len(self.view.servers):
            kept = [
                server
                for key, server in self.view.servers.items()
                if key not in set(removed)
            ]
            self._on_snapshot(kept, after_outage=True)
            return
        for server_id in removed:
            self.view.remove_server(server_id)
            _log_server(server_id, "server record was removed")

    async def _async_wait_needed(self) -> bool:
        waited = False
        while not self._is_needed():
            waited = True
            self.following = False
            # Only the configuration is followed now.
            self.store_lost = False
            await asyncio.sleep(DEMAND_POLL_S)
        return waited

    def _is_needed(self) -> bool:
        if self.is_owner():
            return True
        now_s = _now_s()
        announcements = [
            self.peers.fresh_announcement(zone, now_s) for zone in self.zones
        ]
        return any(
            received is None or received.store_lost for received in announcements
        )

    def _pause_s(self) -> float:
        return OWNER_WATCH_PAUSE_S if self.is_owner() else WATCH_PAUSE_S

    def _max_retry_delay_s(self) -> float:
        # Owners need the records first; other nodes receive announcements from them.
        if self.is_owner() or not self.has_servers():
            return MAX_RETRY_DELAY_S
        return BACKGROUND_MAX_RETRY_DELAY_S


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _log_server(server_id: str, message: str) -> None:
    log_event(_LOGGER, LogEvent.SERVER_CHANGED, message, server=server_id)
