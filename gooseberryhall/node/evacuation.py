"""Applies updates of evacuations, and passes them on to peers and operators."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..core.clock import now_s as boot_time_s
from ..fleet.evacuation import EvacuationRows, Evacuations, EvacuationUpdate
from ..fleet.models import BackendServer
from ..fleet.pause import PauseHold
from ..gateway.metrics import GatewayMetrics
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class EvacuationFollower:
    """Keeps the evacuations of zones up to date and records their progress."""

    evacuations: Evacuations
    metrics: GatewayMetrics
    # Servers that get requests, by id.
    servers: Callable[[], Mapping[str, BackendServer]]
    # Requests of this node in flight, by server.
    local_load: Callable[[], Mapping[str, int]]
    # Called when peers should be informed at once.
    on_change: Callable[[], None]
    _hold: PauseHold = field(default_factory=PauseHold)
    # Zones whose evacuation is logged, with the servers that got requests there.
    _logged: dict[str, set[str]] = field(default_factory=dict)
    # Evacuated zones that have no more requests of this node.
    _idle: set[str] = field(default_factory=set)
    _refused: set[str] = field(default_factory=set)

    def apply_rows(self, rows: EvacuationRows) -> None:
        """Apply rows of the store.

        Rows of a complete read may be old, because one is made after a start or after
        changes were missed; so may rows that came during a pause.
        """
        recent = not rows.complete and not self.is_held()
        if self.evacuations.apply_rows(rows, _now_s(), recent=recent):
            self.on_change()

    def apply_peer(self, updates: Mapping[str, EvacuationUpdate] | None) -> None:
        """Apply the updates of a peer; None if it does not know the evacuations."""
        if updates is None:
            return
        if self.evacuations.apply_peer(updates, _now_s()):
            self.on_change()
        self._hold.record_update(boot_time_s())

    def updates(self) -> dict[str, EvacuationUpdate] | None:
        """Return the updates for peers; None if this node may not know them."""
        if not self.evacuations.limit_s:
            return None
        updates = self.evacuations.updates(_now_s())
        if not updates and (self.is_held() or not self.evacuations.is_known):
            return None
        return updates

    def is_held(self) -> bool:
        """Return whether this process may have missed an evacuation in a pause."""
        return bool(self.evacuations.limit_s) and self._hold.is_held(boot_time_s())

    def tick(self) -> None:
        """Record that the process runs, and log what changed."""
        if not self.evacuations.limit_s:
            return
        paused_s = self._hold.record_tick(boot_time_s())
        if paused_s is not None:
            self.evacuations.cut_off(_now_s())
            log_event(
                _LOGGER,
                LogEvent.SENDS_HELD,
                "process was paused; nothing is sent before a peer was heard",
                paused_s=round(paused_s, 2),
            )
        self._log_changes()
        self._log_unknown_zones()

    def _log_changes(self) -> None:
        active = self.evacuations.active_zones()
        if not active and not self._logged:
            return
        self.metrics.evacuated_zones.set({}, len(active))
        for zone in active:
            if zone not in self._logged:
                self._logged[zone] = set()
                _log(LogEvent.EVACUATION_BEGAN, "zone is evacuated", zone)
            self._log_idle(zone)
        for zone in list(self._logged):
            if zone not in active:
                del self._logged[zone]
                self._idle.discard(zone)
                _log(LogEvent.EVACUATION_ENDED, "zone is restored", zone)

    def _log_idle(self, zone: str) -> None:
        """Log once that a zone has no more requests of this node."""
        if zone in self._idle:
            return
        # A group that is dissolved is no longer listed, but may have streams.
        seen = self._logged[zone]
        seen.update(
            server_id
            for server_id, server in self.servers().items()
            if server.zone == zone
        )
        if self.evacuations.may_send(zone, _now_s()):
            return
        if seen.isdisjoint(self.local_load()):
            self._idle.add(zone)
            message = "evacuated zone has no more requests of this node"
            _log(LogEvent.EVACUATED_ZONE_IDLE, message, zone)

    def _log_unknown_zones(self) -> None:
        for zone in self.evacuations.unknown_zones - self._refused:
            self._refused.add(zone)
            log_event(
                _LOGGER,
                LogEvent.EVACUATION_REFUSED,
                "no such zone; its evacuation has no effect",
                level=logging.WARNING,
                zone=zone,
            )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _log(event: LogEvent, message: str, zone: str) -> None:
    log_event(_LOGGER, event, message, zone=zone)
