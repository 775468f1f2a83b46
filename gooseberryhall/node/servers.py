"""Follows the entries of servers while a zone has no owner that does."""

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
    BACKGROUND_RETRY_S,
    FEED_PAUSE_S,
    LAPSE_SHARE,
    OWNER_FEED_PAUSE_S,
    RETRY_S,
    WANTED_POLL_S,
)
from .directory import Directory, ServerListener

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class ServerFollower:
    """The view of the servers, and whether it follows the store."""

    directory: Directory
    create_task: CreateTask
    peers: Peers
    zones: tuple[str, ...]
    # Whether this node decides groups of a zone.
    is_owner: Callable[[], bool]
    # Whether requests can be sent to any server.
    has_servers: Callable[[], bool]
    view: FleetView = field(default_factory=FleetView)
    # Whether the view follows the store; it need not while all zones have owners
    # that tell their groups.
    live: bool = False
    # Whether the store did not answer the last question.
    lost: bool = False

    def start(self) -> None:
        """Start to follow the store."""
        listener = ServerListener(
            self._on_snapshot,
            self._on_record,
            self._on_removed,
            self._on_store,
            self._async_wait_wanted,
            self._pause_s,
            self._retry_limit_s,
        )
        self.create_task(self.directory.async_follow_servers(listener))

    def forget_lapsed(self) -> None:
        """Drop servers whose entries did not return after the store was away."""
        for server_id in self.view.forget_lapsed(_now_s()):
            _log_server(server_id, "entry did not return")

    def _on_snapshot(
        self, records: Iterable[BackendServer], after_outage: bool
    ) -> None:
        self.view.apply_snapshot(records, after_outage=after_outage, now_s=_now_s())
        self.live = True

    def _on_store(self, answered: bool) -> None:
        """Note whether entries are followed; groups go on with what is known."""
        self.lost = not answered
        if not answered:
            self.live = False

    def _on_record(self, server: BackendServer) -> None:
        known = self.view.servers.get(server.server_id)
        self.view.apply_record(server, _now_s())
        if known is None:
            _log_server(server.server_id, "entry is new")
        elif server.leaving and not known.leaving:
            _log_server(server.server_id, "server is leaving")

    def _on_removed(self, server_ids: list[str]) -> None:
        known = [key for key in server_ids if key in self.view.servers]
        if len(known) > LAPSE_SHARE * len(self.view.servers):
            kept = [
                server
                for key, server in self.view.servers.items()
                if key not in set(known)
            ]
            self._on_snapshot(kept, after_outage=True)
            return
        for server_id in known:
            self.view.remove_server(server_id)
            _log_server(server_id, "entry is gone")

    async def _async_wait_wanted(self) -> bool:
        waited = False
        while not self._is_wanted():
            waited = True
            self.live = False
            # Only the configuration is asked for now.
            self.lost = False
            await asyncio.sleep(WANTED_POLL_S)
        return waited

    def _is_wanted(self) -> bool:
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
        return OWNER_FEED_PAUSE_S if self.is_owner() else FEED_PAUSE_S

    def _retry_limit_s(self) -> float:
        # Owners need the entries first; the others are told by them.
        if self.is_owner() or not self.has_servers():
            return RETRY_S
        return BACKGROUND_RETRY_S


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _log_server(server_id: str, message: str) -> None:
    log_event(_LOGGER, LogEvent.SERVER_CHANGED, message, server=server_id)
