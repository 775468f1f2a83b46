"""State of a node and the hand-over between its parts."""

import asyncio
import logging
import random
from collections.abc import Coroutine, Iterable
from typing import Any

from ..exceptions import GooseberryhallError, UnavailableError
from ..fleet.const import DEAD_S
from ..fleet.controller import ZoneController
from ..fleet.exceptions import LeaseTakenError
from ..fleet.models import (
    BackendServer,
    Configuration,
    EngineProfile,
    Group,
    Limits,
    Service,
)
from ..fleet.ownership import NodeName, OwnershipFacts, should_take
from ..fleet.view import FleetView
from ..gateway.backends import Backends
from ..gateway.budget import RetryBudget
from ..gateway.const import RETRY_SLACK_SHARE
from ..gateway.metrics import GatewayMetrics
from ..gateway.state import GatewayState
from ..gossip.messages import Gossip, OwnedZone
from ..gossip.peers import Peers, heads
from ..gossip.service import GossipService
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from ..transport.pool import Address, ConnectionPool
from .directory import PlatformParts, ServerListener
from .settings import NodeSettings

_LOGGER = logging.getLogger(__name__)

OWNER_FEED_PAUSE_S = 0.02
FEED_PAUSE_S = 0.25
# More entries that vanish at once than this share have lapsed with the store.
LAPSE_SHARE = 0.3
REGISTER_RETRY_S = 0.5
# Zones rarely load at the same time, so each may use more than its share of the
# loads that the weight store serves without delay.
LOADS_OVERCOMMIT = 2
PEER_READS = 3
PEER_READ_PERIOD_S = 0.7


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
        self.controllers: dict[str, ZoneController] = {}
        self.configuration: Configuration | None = None
        self._incarnation = incarnation
        self._sequence = 0
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self._owner_seen_s: dict[str, float] = {}
        self._taking: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._servers_known = False
        self._was_ready = False
        self.gateway = GatewayState(
            zone=settings.zone,
            wire=parts.wire,
            pool=ConnectionPool(parts.wire.request_id),
            backends=Backends(self._on_stall),
            metrics=GatewayMetrics(),
            configuration=lambda: self.configuration,
            servers=lambda: self.view.servers,
            open_groups=self.open_groups,
            create_budget=self._create_budget,
        )
        self._suspects: dict[str, float] = {}

    @property
    def ready(self) -> bool:
        """Return whether the node can route requests."""
        return self.configuration is not None and self._servers_known

    def limits(self) -> Limits:
        """Return the limits of callers that are in force."""
        return self.configuration.limits if self.configuration else Limits()

    def start(self) -> None:
        """Start to follow the store."""
        directory = self.parts.directory
        self.create_task(directory.async_follow_configuration(self._configure))
        listener = ServerListener(
            self._on_servers, self._on_entry, self._on_removed, self._feed_pause_s
        )
        self.create_task(directory.async_follow_servers(listener))
        self.create_task(self._async_register())

    def create_task(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine; a failure is logged."""
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    async def async_cancel_tasks(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def open_groups(self) -> list[Group]:
        """Return the groups of all zones that serve, as far as known.

        The zone's live owner knows best; without one the servers' entries decide.
        """
        now_s = self._loop.time()
        fallback: list[Group] | None = None
        found: list[Group] = []
        for zone in self.settings.zones:
            controller = self.controllers.get(zone)
            if controller is not None:
                found.extend(controller.open_groups())
                continue
            owned = self.peers.owner_groups(zone, now_s)
            if owned is not None:
                found.extend(owned.groups)
                continue
            if fallback is None:
                fallback = self.view.open_groups(self._sizes())
            found.extend(
                group
                for group in fallback
                if self.view.servers[group.head].zone == zone
            )
        return found

    def tick(self) -> None:
        """Let the controllers act, and take the peers' load."""
        now_s = self._loop.time()
        for server_id in self.view.forget_lapsed(now_s):
            self._log_server(server_id, "entry did not return")
        self.gateway.backends.peer_load = self.peers.load(now_s)
        for controller in list(self.controllers.values()):
            controller.tick()
        if self.ready != self._was_ready:
            self._was_ready = self.ready
            log_event(
                _LOGGER,
                LogEvent.READINESS_CHANGED,
                "readiness changed",
                ready=self.ready,
            )

    def check_stalls(self) -> None:
        """Move requests away from groups that fell silent."""
        group_heads = heads(self.open_groups())
        self.gateway.backends.check_stalls(group_heads, self._loop.time())

    def clean_up(self) -> None:
        """Drop what is no longer needed."""
        now_s = self._loop.time()
        self.gateway.pool.close_expired()
        self.gateway.backends.forget_unused(set(self.view.servers))
        self.gateway.crashes.forget_old(now_s)
        for head, until_s in list(self._suspects.items()):
            if until_s <= now_s:
                del self._suspects[head]

    def contend(self) -> None:
        """Take or give up zones."""
        if self._engine_service() is None:
            return
        now_s = self._loop.time()
        live = self.peers.live(now_s)
        for zone in self.settings.zones:
            claim = self.peers.owner_groups(zone, now_s)
            controller = self.controllers.get(zone)
            if controller is not None:
                if claim is not None and claim.term > controller.term:
                    self._release(zone, "a peer owns a later term")
                continue
            if claim is not None:
                self._owner_seen_s[zone] = now_s
                continue
            facts = OwnershipFacts(
                own=NodeName(self.settings.node, self.settings.zone),
                live_peers=[NodeName(gossip.node, gossip.zone) for gossip in live],
                knows_peers=bool(self.peers.peers),
                zone=zone,
                ownerless_s=now_s - self._owner_seen_s.get(zone, self._started_s),
                uptime_s=now_s - self._started_s,
            )
            if should_take(facts) and zone not in self._taking:
                self._taking.add(zone)
                self.create_task(self._async_take(zone))

    def compose_gossip(self) -> Gossip:
        """Return what this node tells its peers now."""
        self._sequence += 1
        return Gossip(
            node=self.settings.node,
            zone=self.settings.zone,
            incarnation=self._incarnation,
            sequence=self._sequence,
            port=self.settings.internal_port,
            traffic_seen=self.gateway.traffic_seen,
            config_version=self.configuration.version if self.configuration else 0,
            load=self.gateway.backends.own_load(),
            suspects=tuple(self._suspects),
            owned=tuple(
                OwnedZone(zone, controller.term, tuple(controller.open_groups()))
                for zone, controller in self.controllers.items()
            ),
            crashes=self.gateway.crashes.suspects(),
        )

    def take_gossip(self, gossip: Gossip) -> None:
        """Take what a peer told."""
        if gossip.traffic_seen:
            self.gateway.traffic_seen = True
        self.gateway.crashes.merge(gossip.crashes, self._loop.time())
        for head in gossip.suspects:
            self._examine(head)

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
        self._servers_known = True

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

    def _feed_pause_s(self) -> float:
        return OWNER_FEED_PAUSE_S if self.controllers else FEED_PAUSE_S

    def _on_stall(self, head: str) -> None:
        self.gateway.metrics.stalls.inc({})
        log_event(_LOGGER, LogEvent.GROUP_SILENT, "group is silent", server=head)
        self._suspects[head] = self._loop.time() + DEAD_S
        self._examine(head)
        self.gossip.send()

    def _examine(self, head: str) -> None:
        for controller in self.controllers.values():
            controller.suspect(head)

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

    def _elsewhere(self, zone: str) -> dict[str, dict[str, int]]:
        """Return the groups of the other zones by zone and model."""
        counts: dict[str, dict[str, int]] = {}
        for group in self.open_groups():
            head = self.view.servers.get(group.head)
            if head is None or head.zone == zone:
                continue
            models = counts.setdefault(head.zone, {})
            models[group.model] = models.get(group.model, 0) + 1
        return counts

    def _create_budget(self) -> RetryBudget:
        nodes = 1 + len(self.peers.peers)
        return RetryBudget(
            ratio=self.settings.retry_ratio,
            slack=self.settings.retry_slack * RETRY_SLACK_SHARE / nodes,
            window_s=self.settings.retry_window_s,
        )

    async def _async_take(self, zone: str) -> None:
        try:
            stored = await self.parts.leases.async_read_lease(zone)
            lease = await self.parts.leases.async_take_lease(
                zone, self.settings.node, stored
            )
        except (LeaseTakenError, UnavailableError) as exc:
            log_event(_LOGGER, LogEvent.ZONE_RELEASED, str(exc), zone=zone)
            self._owner_seen_s[zone] = self._loop.time()
            return
        finally:
            self._taking.discard(zone)
        self._own(zone, lease.term)

    def _own(self, zone: str, term: int) -> None:
        service = self._engine_service()
        profile = self._profile()
        if service is None or profile is None:
            return
        share = -(-profile.loads_at_once // len(self.settings.zones))
        loads = LOADS_OVERCOMMIT * share
        self.controllers[zone] = ZoneController(
            zone=zone,
            service=service.name,
            term=term,
            view=self.view,
            engines=self.parts.engines,
            profile=self._profile,
            elsewhere=lambda: self._elsewhere(zone),
            traffic_seen=lambda: self.gateway.traffic_seen,
            on_change=self.gossip.send,
            on_superseded=lambda: self._verify(zone),
            create_task=self.create_task,
            loads=asyncio.Semaphore(loads),
        )
        log_event(_LOGGER, LogEvent.ZONE_OWNED, "zone is owned", zone=zone, term=term)

    def _verify(self, zone: str) -> None:
        """Check in the store that this node still owns a zone."""
        if zone not in self._taking:
            self._taking.add(zone)
            self.create_task(self._async_verify(zone))

    async def _async_verify(self, zone: str) -> None:
        try:
            stored = await self.parts.leases.async_read_lease(zone)
        except UnavailableError as exc:
            log_event(_LOGGER, LogEvent.STORE_LOST, str(exc), table="leases")
            return
        finally:
            self._taking.discard(zone)
        controller = self.controllers.get(zone)
        if stored is not None and controller and stored.term > controller.term:
            self._release(zone, f"{stored.owner} owns a later term")

    def _release(self, zone: str, reason: str) -> None:
        if self.controllers.pop(zone, None) is not None:
            self._owner_seen_s[zone] = self._loop.time()
            log_event(_LOGGER, LogEvent.ZONE_RELEASED, reason, zone=zone)

    async def _async_register(self) -> None:
        """Store this node's address, then learn those of the others."""
        address = Address(self.settings.host, self.settings.internal_port)
        while True:
            try:
                await self.parts.directory.async_register(self.settings.node, address)
                break
            except GooseberryhallError as exc:
                log_event(_LOGGER, LogEvent.STORE_LOST, str(exc), table="nodes")
                await asyncio.sleep(REGISTER_RETRY_S * random.uniform(0.5, 1.5))
        for _ in range(PEER_READS):
            await self._async_read_peers()
            await asyncio.sleep(PEER_READ_PERIOD_S)

    async def _async_read_peers(self) -> None:
        try:
            nodes = await self.parts.directory.async_nodes()
        except GooseberryhallError as exc:
            log_event(_LOGGER, LogEvent.STORE_LOST, str(exc), table="nodes")
            return
        now_s = self._loop.time()
        for name, address in nodes.items():
            self.peers.add(name, address, now_s)
        self.gossip.send()

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
