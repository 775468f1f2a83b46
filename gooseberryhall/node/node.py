"""State of a node and the hand-over between its parts."""

import asyncio
import logging
from collections.abc import Coroutine, Iterable
from dataclasses import replace
from typing import Any

from ..exceptions import UnavailableError
from ..fleet.const import DEAD_S
from ..fleet.controller import suspect, tick
from ..fleet.models import (
    BackendServer,
    Configuration,
    EngineProfile,
    Limits,
    Service,
)
from ..fleet.view import FleetView
from ..fleet.zone import ZoneState
from ..gateway.backends import Backends
from ..gateway.budget import RetryBudget
from ..gateway.const import RETRY_SLACK_SHARE
from ..gateway.metrics import GatewayMetrics
from ..gateway.state import GatewayState
from ..gossip.messages import Gossip, OwnedZone, ServerTraffic
from ..gossip.peers import Peers
from ..gossip.service import GossipService
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from ..transport.pool import ConnectionPool
from .directory import ConfigurationListener, PlatformParts, ServerListener
from .owner import RunInZone, ZoneOwner
from .registration import async_register
from .settings import NodeSettings
from .table import RoutingTable, count_groups, describe_zone
from .traffic import others_traffic, own_traffic, take_traffic, total_traffic

_LOGGER = logging.getLogger(__name__)

# Calls of the store are priced. Heartbeats change entries all the time, so each
# question is answered at once and the pause decides how many calls an owner makes.
OWNER_FEED_PAUSE_S = 0.15
FEED_PAUSE_S = 0.25
# Longest pauses between two questions that the store does not answer: where requests
# or groups wait for the answer, and where they do not.
RETRY_S = 0.6
BACKGROUND_RETRY_S = 1.5
# A node asks again after this time. Owners notice a connection that went silent and
# tell the others by the version in their datagrams.
OWNER_CONFIGURATION_WAIT_S = 1.5
CONFIGURATION_WAIT_S = 20.0
# A peer may be told of a version a moment earlier.
CONFIGURATION_LAG_S = 0.4
WANTED_POLL_S = 0.05
# More entries that vanish at once than this share have lapsed with the store.
LAPSE_SHARE = 0.3
CONFIGURATION_RETRY_S = 0.5
# Zones rarely load at the same time, so each may use more than its share of the
# loads that the weight store serves without delay.
LOADS_OVERCOMMIT = 2


class Node:
    """One node of the system."""

    gossip: GossipService

    def __init__(
        self, settings: NodeSettings, parts: PlatformParts, *, incarnation: int
    ) -> None:
        """Create a node that does nothing yet."""
        self.settings = settings
        self.parts = parts
        self.view = FleetView()
        self.peers = Peers(settings.node)
        self.table = RoutingTable()
        self.configuration: Configuration | None = None
        self._incarnation = incarnation
        self._sequence = 0
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._was_ready = False
        # Whether the view follows the store; it is not needed while all zones have
        # owners that tell their groups.
        self._view_live = False
        self._servers_lost = False
        self._configuration_lost = False
        # Traffic that the peers were told last.
        self._reported: dict[str, ServerTraffic] = {}
        self._reading_configuration = False
        self.gateway = GatewayState(
            zone=settings.zone,
            wire=parts.wire,
            pool=ConnectionPool(parts.wire.request_id),
            backends=Backends(self._on_stall),
            metrics=GatewayMetrics(),
            configuration=lambda: self.configuration,
            servers=lambda: self.table.servers,
            groups=lambda: self.table.groups,
            create_budget=self._create_budget,
        )
        self._suspects: dict[str, float] = {}
        self.owner = ZoneOwner(
            settings=settings,
            leases=parts.leases,
            peers=self.peers,
            is_able=lambda: self._view_live and self._engine_service() is not None,
            create_zone=self._create_zone,
            create_task=self.create_task,
            started_s=self._loop.time(),
        )

    @property
    def ready(self) -> bool:
        """Return whether the node can route requests."""
        return self.configuration is not None and bool(self.table.servers)

    @property
    def store_lost(self) -> bool:
        """Return whether the store does not answer this node.

        An owner follows the entries; a lost question for the configuration alone
        does not keep it from deciding groups.
        """
        if self.owner.zones:
            return self._servers_lost
        return self._servers_lost or self._configuration_lost

    def limits(self) -> Limits:
        """Return the limits of callers that are in force."""
        return self.configuration.limits if self.configuration else Limits()

    def start(self) -> None:
        """Start to follow the store."""
        directory = self.parts.directory
        self.create_task(
            directory.async_follow_configuration(
                ConfigurationListener(
                    self._configure,
                    self._on_configuration_store,
                    self._configuration_wait_s,
                    self._configuration_retry_s,
                )
            )
        )
        listener = ServerListener(
            self._on_servers,
            self._on_entry,
            self._on_removed,
            self._on_server_store,
            self._async_wait_view_wanted,
            self._feed_pause_s,
            self._server_retry_s,
        )
        self.create_task(directory.async_follow_servers(listener))
        self.create_task(
            async_register(directory, self.settings, self.peers, self.gossip.send)
        )

    def create_task(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine; a failure is logged."""
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    async def async_cancel_tasks(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def tick(self) -> None:
        """Act for the owned zones, and take what the peers told."""
        now_s = self._loop.time()
        for server_id in self.view.forget_lapsed(now_s):
            self._log_server(server_id, "entry did not return")
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
        traffic = self.peers.traffic(now_s) if self.owner.zones else {}
        for zone in self.settings.zones:
            claim = self.peers.claim(zone, now_s)
            if zone in self.owner.zones:
                table.add(self._describe_owned(zone))
            elif claim is not None:
                if claim.store_lost and self._view_live:
                    table.add_checked(claim.owned, self.view)
                    unowned = self._describe_unowned(zone)
                    table.add(replace(unowned, groups=()))
                else:
                    table.add(claim.owned)
                traffic.update(others_traffic(claim, self._reported))
            elif self._view_live:
                table.add(self._describe_unowned(zone))
            elif (last := self.peers.last_claim(zone)) is not None:
                table.add(last, outdated=True)
        self.table = table
        take_traffic(self.gateway.backends, traffic)

    def _describe_owned(self, zone: str) -> OwnedZone:
        controller = self.owner.zones[zone]
        return describe_zone(
            self.view,
            zone,
            controller.term,
            controller.open_groups(),
            grouped_service=controller.service,
            traffic=lambda server_id: total_traffic(
                self.gateway.backends, server_id, self._loop.time()
            ),
        )

    def _describe_unowned(self, zone: str) -> OwnedZone:
        service = self._engine_service()
        return describe_zone(
            self.view,
            zone,
            0,
            self.view.open_groups(self._sizes()),
            grouped_service=service.name if service else None,
            traffic=lambda _: ServerTraffic(0),
        )

    def check_stalls(self) -> None:
        """Move requests away from groups that fell silent."""
        self.gateway.backends.check_stalls(self.table.heads(), self._loop.time())

    def clean_up(self) -> None:
        """Drop what is no longer needed."""
        now_s = self._loop.time()
        self.gateway.pool.close_expired()
        self.gateway.backends.forget_unused(set(self.table.servers))
        self.gateway.crashes.forget_old(now_s)
        for head, until_s in list(self._suspects.items()):
            if until_s <= now_s:
                del self._suspects[head]

    def compose_gossip(self) -> list[Gossip]:
        """Return what this node tells its peers now, one message for each zone."""
        self._reported = own_traffic(self.gateway.backends, self._loop.time())
        if not self.owner.zones:
            return [self._compose(None)]
        return [self._compose(self._describe_owned(zone)) for zone in self.owner.zones]

    def _compose(self, owned: OwnedZone | None) -> Gossip:
        self._sequence += 1
        return Gossip(
            node=self.settings.node,
            zone=self.settings.zone,
            incarnation=self._incarnation,
            sequence=self._sequence,
            port=self.settings.internal_port,
            traffic_seen=self.gateway.traffic_seen,
            config_version=self.configuration.version if self.configuration else 0,
            store_lost=self.store_lost,
            traffic=self._reported,
            suspects=tuple(self._suspects),
            owned=owned,
            crashes=self.gateway.crashes.suspects(self._loop.time()),
        )

    def take_gossip(self, gossip: Gossip) -> None:
        """Take what a peer told."""
        if gossip.traffic_seen:
            self.gateway.traffic_seen = True
        self.gateway.crashes.merge(gossip.crashes, self._loop.time())
        for head in gossip.suspects:
            self._examine(head)
        known = self.configuration.version if self.configuration else 0
        if gossip.config_version <= known or self._configuration_lost:
            return
        if not self._reading_configuration:
            self._reading_configuration = True
            self.create_task(self._async_read_configuration(gossip.config_version))

    def _configure(self, cfg: Configuration) -> None:
        if self.configuration is not None and cfg.version <= self.configuration.version:
            return
        self.configuration = cfg
        log_event(
            _LOGGER,
            LogEvent.CONFIG_IN_FORCE,
            "configuration is in force",
            version=cfg.version,
            routes=len(cfg.routes),
        )

    def _on_servers(self, entries: Iterable[BackendServer], after_outage: bool) -> None:
        self.view.replace_entries(
            entries, after_outage=after_outage, now_s=self._loop.time()
        )
        self._view_live = True

    def _on_server_store(self, answered: bool) -> None:
        """Note whether entries are followed; groups go on with what is known."""
        self._servers_lost = not answered
        if not answered:
            self._view_live = False

    def _on_configuration_store(self, answered: bool) -> None:
        self._configuration_lost = not answered

    def _on_entry(self, server: BackendServer) -> None:
        known = self.view.servers.get(server.server_id)
        self.view.put_entry(server, self._loop.time())
        if known is None:
            self._log_server(server.server_id, "entry is new")
        elif server.leaving and not known.leaving:
            self._log_server(server.server_id, "server is leaving")

    def _on_removed(self, server_ids: list[str]) -> None:
        known = [key for key in server_ids if key in self.view.servers]
        if len(known) > LAPSE_SHARE * len(self.view.servers):
            kept = [
                server
                for key, server in self.view.servers.items()
                if key not in set(known)
            ]
            self._on_servers(kept, after_outage=True)
            return
        for server_id in known:
            self.view.remove_entry(server_id)
            self._log_server(server_id, "entry is gone")

    async def _async_wait_view_wanted(self) -> bool:
        waited = False
        while not self._is_view_wanted():
            waited = True
            self._view_live = False
            # Only the configuration is asked for now.
            self._servers_lost = False
            await asyncio.sleep(WANTED_POLL_S)
        return waited

    def _is_view_wanted(self) -> bool:
        if self.owner.zones:
            return True
        now_s = self._loop.time()
        claims = [self.peers.claim(zone, now_s) for zone in self.settings.zones]
        return any(claim is None or claim.store_lost for claim in claims)

    async def _async_read_configuration(self, version: int) -> None:
        """Read the version that a peer has, if this node's question hangs."""
        try:
            await asyncio.sleep(CONFIGURATION_LAG_S)
            if self.configuration and self.configuration.version >= version:
                return
            cfg = await self.parts.directory.async_read_configuration()
        except UnavailableError as exc:
            log_event(_LOGGER, LogEvent.STORE_LOST, str(exc), table="configuration")
            await asyncio.sleep(CONFIGURATION_RETRY_S)
            return
        finally:
            self._reading_configuration = False
        if cfg is not None:
            self._configure(cfg)

    def _configuration_wait_s(self) -> float:
        if self.owner.zones or not self.peers.claims:
            return OWNER_CONFIGURATION_WAIT_S
        return CONFIGURATION_WAIT_S

    def _configuration_retry_s(self) -> float:
        return RETRY_S if self.configuration is None else BACKGROUND_RETRY_S

    def _server_retry_s(self) -> float:
        # Owners need the entries first; the others are told by them.
        if self.owner.zones or not self.table.servers:
            return RETRY_S
        return BACKGROUND_RETRY_S

    def _feed_pause_s(self) -> float:
        return OWNER_FEED_PAUSE_S if self.owner.zones else FEED_PAUSE_S

    def _on_stall(self, head: str) -> None:
        self.gateway.metrics.stalls.inc({})
        log_event(_LOGGER, LogEvent.GROUP_SILENT, "group is silent", server=head)
        self._suspects[head] = self._loop.time() + DEAD_S
        self._examine(head)
        self.gossip.send()

    def _examine(self, head: str) -> None:
        for zone in self.owner.zones.values():
            suspect(zone, head)

    def _engine_service(self) -> Service | None:
        if self.configuration is None:
            return None
        services = self.configuration.services.values()
        return next((service for service in services if service.engine), None)

    def _profile(self) -> EngineProfile | None:
        service = self._engine_service()
        return service.engine if service else None

    def _sizes(self) -> dict[str, int]:
        profile = self._profile()
        return {model.name: model.size for model in profile.models} if profile else {}

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
        service = self._engine_service()
        profile = self._profile()
        if service is None or profile is None:
            return None
        share = -(-profile.loads_at_once // len(self.settings.zones))
        return ZoneState(
            name=name,
            service=service.name,
            term=term,
            view=self.view,
            engines=self.parts.engines,
            profile=self._profile,
            elsewhere=lambda: count_groups(self.table.groups, name),
            traffic_seen=lambda: self.gateway.traffic_seen,
            on_change=self.gossip.send,
            on_superseded=lambda: self.owner.verify(name),
            create_task=run_in_zone,
            loads=asyncio.Semaphore(LOADS_OVERCOMMIT * share),
        )

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        log_event(
            _LOGGER,
            LogEvent.TASK_FAILED,
            f"task failed: {task.exception()!r}",
            level=logging.ERROR,
        )

    def _log_server(self, server_id: str, message: str) -> None:
        log_event(_LOGGER, LogEvent.SERVER_CHANGED, message, server=server_id)
