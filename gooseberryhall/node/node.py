"""State of a node and the hand-over between its parts."""

import asyncio
import logging
from dataclasses import replace

from ..core.tasks import TaskSet
from ..fleet.const import UNRESPONSIVE_BACKOFF_S
from ..fleet.controller import suspect, tick
from ..fleet.zone import ZoneState
from ..gateway.backends import Backends
from ..gateway.budget import RetryBudget
from ..gateway.const import RETRY_SLACK_SHARE
from ..gateway.header_names import HeaderNames
from ..gateway.metrics import GatewayMetrics
from ..gateway.state import GatewayState
from ..gossip.messages import Gossip, ServerTraffic, ZoneAnnouncement
from ..gossip.peers import Peers
from ..gossip.service import GossipService
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from ..transport.pool import ConnectionPool
from .configuration import ConfigurationFollower
from .directory import PlatformParts
from .owner import RunInZone, ZoneOwner
from .registration import async_register
from .servers import ServerFollower
from .settings import NodeSettings
from .table import RoutingTable, count_groups, describe_zone
from .traffic import others_traffic, own_traffic, take_traffic, total_traffic

_LOGGER = logging.getLogger(__name__)


class Node:
    """One node of the system."""

    gossip: GossipService

    def __init__(
        self, settings: NodeSettings, parts: PlatformParts, *, incarnation: int
    ) -> None:
        """Create a node that does nothing yet."""
        self.settings = settings
        self.tasks = TaskSet()
        self.peers = Peers(settings.node)
        self.table = RoutingTable()
        self._leases = parts.leases
        self._engines = parts.engines
        self._directory = parts.directory
        self._incarnation = incarnation
        self._sequence = 0
        self._loop = asyncio.get_running_loop()
        self._was_ready = False
        # Traffic that the peers were told last.
        self._reported: dict[str, ServerTraffic] = {}
        # Heads of silent groups, and until when peers are told of them.
        self._suspects: dict[str, float] = {}
        self.configuration = ConfigurationFollower(
            parts.directory,
            self.tasks.create,
            lambda: self.is_owner or not self.peers.announcements,
        )
        self.servers = ServerFollower(
            parts.directory,
            self.tasks.create,
            self.peers,
            settings.zones,
            is_owner=lambda: self.is_owner,
            has_servers=lambda: bool(self.table.servers),
        )
        self.gateway = self._create_gateway(parts.wire)
        self.owner = self._create_owner()

    @property
    def ready(self) -> bool:
        """Return whether the node can route requests."""
        return self.configuration.current is not None and bool(self.table.servers)

    @property
    def is_owner(self) -> bool:
        """Return whether this node decides the groups of a zone."""
        return bool(self.owner.zones)

    @property
    def store_lost(self) -> bool:
        """Return whether the store does not answer this node.

        An owner follows the entries; a lost question for the configuration alone
        does not keep it from deciding groups.
        """
        if self.is_owner:
            return self.servers.lost
        return self.servers.lost or self.configuration.lost

    def start(self) -> None:
        """Start to follow the store."""
        self.configuration.start()
        self.servers.start()
        register = async_register(
            self._directory, self.settings, self.peers, self.gossip.send
        )
        self.tasks.create(register)

    def tick(self) -> None:
        """Act for the owned zones, and take what the peers told."""
        self.servers.forget_lapsed()
        self._update_table()
        for zone in list(self.owner.zones.values()):
            tick(zone)
        if self.ready != self._was_ready:
            self._was_ready = self.ready
            log_event(
                _LOGGER,
                LogEvent.READINESS_CHANGED,
                "readiness changed",
                ready=self.ready,
            )

    def _update_table(self) -> None:
        """Bring the routing table and the peers' load up to date.

        The zone's live owner knows best; without one the servers' entries decide,
        and without the store what the owner said last.
        """
        now_s = self._loop.time()
        table = RoutingTable()
        traffic = self.peers.traffic(now_s) if self.is_owner else {}
        for zone in self.settings.zones:
            received = self.peers.fresh_announcement(zone, now_s)
            if zone in self.owner.zones:
                table.add(self._describe_owned_zone(zone))
            elif received is not None:
                if received.store_lost and self.servers.live:
                    table.add_checked(received.announcement, self.servers.view)
                    unowned = self._describe_unowned_zone(zone)
                    table.add(replace(unowned, groups=()))
                else:
                    table.add(received.announcement)
                traffic.update(others_traffic(received, self._reported))
            elif self.servers.live:
                table.add(self._describe_unowned_zone(zone))
            elif (last := self.peers.last_announcement(zone)) is not None:
                table.add(last, outdated=True)
        self.table = table
        take_traffic(self.gateway.backends, traffic)

    def _describe_owned_zone(self, zone: str) -> ZoneAnnouncement:
        controller = self.owner.zones[zone]
        return describe_zone(
            self.servers.view,
            zone,
            controller.term,
            controller.open_groups(),
            grouped_service=controller.service,
            traffic=lambda server_id: total_traffic(
                self.gateway.backends, server_id, self._loop.time()
            ),
        )

    def _describe_unowned_zone(self, zone: str) -> ZoneAnnouncement:
        service = self.configuration.engine_service
        return describe_zone(
            self.servers.view,
            zone,
            0,
            self.servers.view.open_groups(self.configuration.group_sizes),
            grouped_service=service.name if service else None,
            traffic=lambda _: ServerTraffic(0),
        )

    def check_stalls(self) -> None:
        """Move requests away from groups that fell silent."""
        self.gateway.backends.check_stalls(self.table.leaders(), self._loop.time())

    def clean_up(self) -> None:
        """Drop what is no longer needed."""
        now_s = self._loop.time()
        self.gateway.pool.close_expired()
        self.gateway.backends.remove_unused(set(self.table.servers))
        self.gateway.crashes.remove_expired(now_s)
        for leader, until_s in list(self._suspects.items()):
            if until_s <= now_s:
                del self._suspects[leader]

    def compose_gossip(self) -> list[Gossip]:
        """Return what this node tells its peers now, one message for each zone."""
        self._reported = own_traffic(self.gateway.backends, self._loop.time())
        if not self.is_owner:
            return [self._compose(None)]
        return [
            self._compose(self._describe_owned_zone(zone)) for zone in self.owner.zones
        ]

    def _compose(self, announcement: ZoneAnnouncement | None) -> Gossip:
        self._sequence += 1
        return Gossip(
            node=self.settings.node,
            zone=self.settings.zone,
            incarnation=self._incarnation,
            sequence=self._sequence,
            port=self.settings.internal_port,
            traffic_seen=self.gateway.traffic_seen,
            config_version=self.configuration.version,
            store_lost=self.store_lost,
            traffic=self._reported,
            suspects=tuple(self._suspects),
            announcement=announcement,
            crashes=self.gateway.crashes.suspects(self._loop.time()),
        )

    def take_gossip(self, gossip: Gossip) -> None:
        """Take what a peer told."""
        if gossip.traffic_seen:
            self.gateway.traffic_seen = True
        self.gateway.crashes.merge(gossip.crashes, self._loop.time())
        for leader in gossip.suspects:
            self._examine(leader)
        self.configuration.take_version(gossip.config_version)

    def _on_stall(self, leader: str) -> None:
        self.gateway.metrics.stalls.inc({})
        log_event(_LOGGER, LogEvent.GROUP_SILENT, "group is silent", server=leader)
        self._suspects[leader] = self._loop.time() + UNRESPONSIVE_BACKOFF_S
        self._examine(leader)
        self.gossip.send()

    def _examine(self, leader: str) -> None:
        for zone in self.owner.zones.values():
            suspect(zone, leader)

    def _create_gateway(self, wire: HeaderNames) -> GatewayState:
        return GatewayState(
            zone=self.settings.zone,
            header_names=wire,
            pool=ConnectionPool(wire.request_id),
            backends=Backends(self._on_stall),
            metrics=GatewayMetrics(),
            configuration=lambda: self.configuration.current,
            servers=lambda: self.table.servers,
            groups=lambda: self.table.groups,
            create_budget=self._create_budget,
        )

    def _create_owner(self) -> ZoneOwner:
        return ZoneOwner(
            settings=self.settings,
            leases=self._leases,
            peers=self.peers,
            is_able=self._is_able_to_own,
            create_zone=self._create_zone,
            create_task=self.tasks.create,
            started_s=self._loop.time(),
        )

    def _is_able_to_own(self) -> bool:
        return self.servers.live and self.configuration.engine_service is not None

    def _create_budget(self) -> RetryBudget:
        nodes = 1 + len(self.peers.peers)
        return RetryBudget(
            ratio=self.settings.retry_ratio,
            slack=self.settings.retry_slack * RETRY_SLACK_SHARE / nodes,
            window_s=self.settings.retry_window_s,
        )

    def _create_zone(
        self, name: str, term: int, run_in_zone: RunInZone
    ) -> ZoneState | None:
        service = self.configuration.engine_service
        if service is None:
            return None
        return ZoneState(
            name=name,
            service=service.name,
            term=term,
            view=self.servers.view,
            engines=self._engines,
            profile=lambda: self.configuration.profile,
            elsewhere=lambda: count_groups(self.table.groups, name),
            traffic_seen=lambda: self.gateway.traffic_seen,
            on_change=self.gossip.send,
            on_superseded=lambda: self.owner.verify(name),
            create_task=run_in_zone,
            zones=len(self.settings.zones),
        )
