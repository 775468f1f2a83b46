"""Limits and announcements of cold servers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..fleet.cold import ColdLimit, cold_limits
from ..fleet.models import BackendServer, Configuration
from ..fleet.zone import ZoneState
from ..gateway.cold import ColdServers
from ..gossip.peers import Peers
from .const import PEERS_KNOWN_S
from .settings import NodeSettings


@dataclass(slots=True)
class ColdLimits:
    """Limits of cold servers by service, from the configuration and settings."""

    configuration: Callable[[], Configuration | None]
    settings: Callable[[], NodeSettings]
    _limits: dict[str, ColdLimit] = field(default_factory=dict)
    _source: tuple[Configuration | None, NodeSettings] | None = None

    def by_service(self) -> dict[str, ColdLimit]:
        """Return the limits of the services whose servers may be cold."""
        cfg, settings = self.configuration(), self.settings()
        source = self._source
        if source is None or source[0] is not cfg or source[1] is not settings:
            self._source = (cfg, settings)
            self._limits = cold_limits(cfg, settings.cold_overrun, settings.cold_slack)
        return self._limits


def create_description(
    cold: ColdServers, peers: Peers, zone: ZoneState, now_s: float
) -> Callable[[BackendServer], BackendServer]:
    """Return a function that adds cold times and grants to the servers of a zone.

    All nodes that may receive the announcement count, also those that are not heard. An
    owner that a peer superseded grants nothing. `now_s` is the event loop's time.
    """
    known, live = peers.zone_nodes(now_s)
    if now_s - zone.acquired_s < PEERS_KNOWN_S:
        # Nodes report to their owner, so a new one has not heard all of them yet.
        live = known
    received = peers.fresh_announcement(zone.name, now_s)
    superseded = received is not None and received.announcement.term > zone.term
    return lambda server: cold.describe(server, known, live, may_grant=not superseded)
