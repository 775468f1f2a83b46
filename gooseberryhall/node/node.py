"""State of a node and the connections between its components."""

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import replace

from ..core.tasks import TaskSet
from ..fleet.const import UNRESPONSIVE_BACKOFF_S
from ..fleet.controller import probe_group, reconcile
from ..fleet.evacuation import Evacuations
from ..gateway.backends import Stall
from ..gateway.const import (
    CAUSE_GOSSIP_SHARE,
    MAX_CHECK_DELAY_S,
    MAX_LOGGED_PARTS,
    STALL_CHECK_PERIOD_S,
)
from ..gateway.intake import max_connections
from ..gateway.metrics import GatewayMetrics
from ..gossip.messages import Gossip, ServerTraffic, ZoneAnnouncement
from ..gossip.models import ReceivedAnnouncement
from ..gossip.peers import Peers
from ..gossip.service import GossipService
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .cold import ColdLimits, create_description
from .composition import create_gateway, create_zone
from .configuration import ConfigurationFollower
from .directory import PlatformAdapter
from .evacuation import EvacuationFollower
from .intake import create_intake
from .owner import ZoneOwner
from .reach import ReachWatcher
from .registration import async_register, async_write_again
from .servers import ServerFollower
from .settings import NodeSettings
from .table import RoutingTable, create_announcement, list_same_servers
from .traffic import (
    apply_peer_traffic,
    local_traffic,
    remote_traffic,
    replace_peer_traffic,
    total_traffic,
)

_LOGGER = logging.getLogger(__name__)


class Node:
    """One node of the system."""

    gossip: GossipService

    def __init__(
        self, settings: NodeSettings, adapter: PlatformAdapter, *, incarnation: int
    ) -> None:
        """Create a node that is not started."""
        self.settings = settings
        self.tasks = TaskSet()
        self.peers = Peers(settings.node, settings.zone, settings.zones)
        self.table = RoutingTable()
        self._directory = adapter.directory
        self._statements = adapter.statements
        self._incarnation = incarnation
        self._sequence = 0
        self._loop = asyncio.get_running_loop()
        self._was_ready = False
        self._stalls_checked_s: float | None = None
        # The announcements of all zones if the routing table depends on them alone.
        self._announced: list[ReceivedAnnouncement] | None = None
        # Whether groups changed since the last announcement.
        self._announcement_requested = False
        # Traffic in the last messages to the peers.
        self._reported_traffic: dict[str, ServerTraffic] = {}
        # Traits of the requests that crash servers, as last derived.
        self._crash_causes: list[frozenset[str]] = []
        # Leaders of stalled groups, and the time until which peers are notified.
        self._stalled_leaders: dict[str, float] = {}
        self.evacuations = Evacuations(settings.evacuation_limit_s, settings.zones)
        metrics = GatewayMetrics()
        self.intake = create_intake(settings, metrics, adapter.header_names)
        self.max_connections = max_connections(
            settings.memory_bytes,
            settings.file_descriptors,
            settings.options.input_limits.connections,
        )
        self.gateway = create_gateway(
            self,
            adapter,
            metrics,
            on_stall=self._on_stall,
            on_crash=self._apply_crash_causes,
        )
        self.reach = ReachWatcher(self.gateway, self.tasks.create)
        self.evacuation = EvacuationFollower(
            self.evacuations,
            metrics,
            servers=lambda: self.table.servers,
            local_load=self.gateway.backends.local_load,
            on_change=self.request_announcement,
        )
        self.gateway.is_held = self.evacuation.is_held
        self.configuration = ConfigurationFollower(
            adapter.directory,
            self.tasks.create,
            lambda: self.is_owner or not self.peers.announcements,
            self.evacuation.apply_rows,
            self._register_again,
        )
        self.cold_limits = ColdLimits(
            lambda: self.configuration.current, lambda: self.settings
        )
        self.owner = self._create_owner(adapter)
        self.servers = ServerFollower(
            adapter.directory,
            self.tasks.create,
            self.peers,
            settings,
            is_owner=lambda: self.is_owner,
            without_owner_s=self.owner.without_owner_s,
            routable=lambda: self.table.servers,
        )

    @property
    def ready(self) -> bool:
        """Return whether the node can route requests."""
        return (
            self.configuration.current is not None
            and bool(self.table.servers)
            and self.evacuations.is_known
        )

    @property
    def is_owner(self) -> bool:
        """Return whether this node owns a zone."""
        return bool(self.owner.zones)

    @property
    def store_lost(self) -> bool:
        """Return whether the store does not answer this node.

        For an owner only the server records count: it can still decide groups if a call
        for the configuration alone fails.
        """
        if self.is_owner:
            return self.servers.store_lost or self.servers.is_outdated()
        return self.servers.store_lost or self.configuration.store_lost

    def start(self) -> None:
        """Start to follow the store, and register this node."""
        self.configuration.start()
        self.servers.start()
        register = async_register(
            self._directory, self.settings, self.peers, self.gossip.send
        )
        self.tasks.create(register)

    def _register_again(self) -> None:
        """Write the record of this node again, as the store may have lost it."""
        self.tasks.create(async_write_again(self._directory, self.settings))

    def tick(self) -> None:
        """Update the routing table and reconcile the owned zones."""
        self.evacuation.tick()
        self.reach.check()
        self.servers.update_demand()
        self.servers.remove_lapsed()
        self._update_table()
        self._update_cold()
        for zone in list(self.owner.zones.values()):
            reconcile(zone)
        if self._announcement_requested:
            self._announcement_requested = False
            self.gossip.send(urgent=True)
        if self.ready != self._was_ready:
            self._was_ready = self.ready
            log_event(
                _LOGGER,
                LogEvent.READINESS_CHANGED,
                "readiness changed",
                ready=self.ready,
            )

    def _update_table(self) -> None:
        """Update the routing table and the traffic of peers.

        The announcement of a zone's live owner has precedence. Without one the server
        records are used, and without the store the last announcement.
        """
        now_s = self._loop.time()
        announced = self._settled_announcements(now_s)
        previous, self._announced = self._announced, announced
        if announced and previous and list_same_servers(previous, announced):
            if not self._update_traffic(previous, announced):
                return
        else:
            self._build_table(now_s)
        self.gateway.waiting.wake()

    def _update_traffic(
        self,
        previous: Sequence[ReceivedAnnouncement],
        announced: Sequence[ReceivedAnnouncement],
    ) -> bool:
        """Apply the traffic of zones with news; return whether there are any."""
        changed = [
            (old, new)
            for old, new in zip(previous, announced, strict=True)
            if old is not new
        ]
        for old, new in changed:
            replace_peer_traffic(
                self.gateway.backends,
                old.announcement.traffic,
                remote_traffic(new, self._reported_traffic),
            )
        return bool(changed)

    def _build_table(self, now_s: float) -> None:
        """Create the routing table anew from all that is known of the zones."""
        table = RoutingTable()
        traffic = self.peers.traffic(now_s) if self.is_owner else {}
        for zone in self.settings.zones:
            received = self.peers.fresh_announcement(zone, now_s)
            if zone in self.owner.zones:
                table.add(self._announce_owned_zone(zone))
            elif received is not None:
                if self.servers.following:
                    table.add_checked(received.announcement, self.servers.view)
                    if received.store_lost:
                        unowned = self._announce_unowned_zone(zone)
                        table.add(replace(unowned, groups=()))
                else:
                    table.add(received.announcement)
                traffic.update(remote_traffic(received, self._reported_traffic))
            elif self.servers.following:
                table.add(self._announce_unowned_zone(zone))
            elif (last := self.peers.last_announcement(zone)) is not None:
                table.add(last, outdated=True)
        self.table = table
        apply_peer_traffic(self.gateway.backends, traffic)

    def _settled_announcements(self, now_s: float) -> list[ReceivedAnnouncement] | None:
        """Return the announcements of all zones.

        None if the routing table depends on more than these, because this node is an
        owner or follows the records, or a zone has no owner that does.
        """
        if self.is_owner or self.servers.following:
            return None
        found = []
        for zone in self.settings.zones:
            received = self.peers.fresh_announcement(zone, now_s)
            if received is None or received.store_lost:
                return None
            found.append(received)
        return found

    def _announce_owned_zone(self, zone: str) -> ZoneAnnouncement:
        state = self.owner.zones[zone]
        return create_announcement(
            self.servers.view,
            zone,
            state.term,
            state.open_groups(),
            grouped_service=state.service,
            traffic=lambda server_id: total_traffic(
                self.gateway.backends, server_id, self._loop.time()
            ),
            is_leaving=lambda server: self._statements.is_leaving(
                server, self._loop.time()
            ),
            successors=self.peers.successors(zone, self._loop.time()),
            other_owners=tuple(sorted(self.peers.live_owners(self._loop.time()))),
            describe_cold=create_description(
                self.gateway.cold, self.peers, state, self._loop.time()
            )
            if self.cold_limits.by_service()
            else None,
        )

    def _update_cold(self) -> None:
        """Notice cold servers; without limits there are none."""
        limits = self.cold_limits.by_service()
        servers = self.table.servers.values() if limits else ()
        count = self.gateway.cold.update(servers)
        self.gateway.metrics.cold_servers.set({}, count)

    def _announce_unowned_zone(self, zone: str) -> ZoneAnnouncement:
        service = self.configuration.engine_service
        return create_announcement(
            self.servers.view,
            zone,
            0,
            self.servers.view.open_groups(self.configuration.group_sizes),
            grouped_service=service.name if service else None,
            traffic=lambda _: ServerTraffic(0),
            is_leaving=lambda server: self._statements.is_leaving(
                server, self._loop.time()
            ),
        )

    def request_announcement(self) -> None:
        """Send an announcement at the next tick.

        One datagram to each node is enough if several groups change together.
        """
        self._announcement_requested = True

    def check_stalls(self) -> None:
        """Look for groups that are silent."""
        now_s = self._loop.time()
        planned_s = (self._stalls_checked_s or now_s) + STALL_CHECK_PERIOD_S
        if now_s - planned_s > MAX_CHECK_DELAY_S:
            self.gateway.backends.skip_unobserved(now_s - planned_s, now_s)
        self._stalls_checked_s = now_s
        self.gateway.backends.check_stalls(self.table.leaders(), now_s)

    def clean_up(self) -> None:
        """Close expired connections and remove expired state."""
        now_s = self._loop.time()
        self.gateway.pool.close_expired()
        if self.gateway.relays is not None:
            self.gateway.relays.pool.close_expired()
        self.gateway.backends.remove_unused(set(self.table.servers))
        self.gateway.crashes.remove_expired(now_s)
        listed = self.table.servers.keys() | self.servers.view.servers.keys()
        self._statements.retain(listed, now_s)
        self.gateway.cold.retain(listed)
        for leader, until_s in list(self._stalled_leaders.items()):
            if until_s <= now_s:
                del self._stalled_leaders[leader]

    def create_messages(self) -> list[Gossip]:
        """Return the current messages to peers: one, or one for each owned zone.

        An owner tells crashes in a message of their own, because an announcement of
        many groups leaves no room for them in a datagram. It comes first: of two
        datagrams that overtake each other, peers ignore the earlier one.
        """
        now_s = self._loop.time()
        self._reported_traffic = local_traffic(self.gateway.backends, now_s)
        with_causes = self.gateway.rng.random() < CAUSE_GOSSIP_SHARE
        crashes = self.gateway.crashes.reports(now_s, with_causes=with_causes)
        messages = []
        leaving = self._statements.leaving()
        if crashes or leaving or not self.is_owner:
            message = replace(self._create_message(None), leaving=leaving)
            harmless = self.gateway.crashes.harmless_traits(now_s)
            messages.append(replace(message, crashes=crashes, harmless=harmless))
        for zone in self.owner.zones:
            messages.append(self._create_message(self._announce_owned_zone(zone)))
        return messages

    def _create_message(self, announcement: ZoneAnnouncement | None) -> Gossip:
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
            traffic=self._reported_traffic,
            stalled_leaders=tuple(self._stalled_leaders),
            announcement=announcement,
            evacuations=self.evacuation.updates(),
        )

    def receive_gossip(self, gossip: Gossip) -> None:
        """Apply a message of a peer."""
        self.gateway.cold.observe_clock()
        if gossip.traffic_seen:
            self.gateway.traffic_seen = True
        self.evacuation.apply_peer(gossip.evacuations)
        self._statements.record_hints(gossip.leaving, self._loop.time())
        self.gateway.crashes.merge(gossip.crashes, gossip.harmless, self._loop.time())
        self._apply_crash_causes()
        for leader in gossip.stalled_leaders:
            self._probe_group(leader)
        self.configuration.fetch_version(gossip.config_version)

    def _apply_crash_causes(self) -> None:
        """Stop requests that crash servers and tell peers when a cause is found.

        Requests that wait at a server would crash it when it begins to answer them.
        """
        crashes = self.gateway.crashes
        known, self._crash_causes = self._crash_causes, crashes.causes()
        found = [cause for cause in self._crash_causes if cause not in known]
        for cause in found:
            log_event(
                _LOGGER,
                LogEvent.CRASH_CAUSE_FOUND,
                "requests with these traits crash servers and are refused",
                cause=sorted(cause)[:MAX_LOGGED_PARTS],
                crashed=crashes.servers_crashed_by(cause),
            )
        if found:
            self.gateway.backends.abort_crashing(crashes.is_blocked)
            self.gossip.send(urgent=True)

    def _on_stall(self, stall: Stall) -> None:
        leader = stall.server_id
        self.gateway.metrics.stalls.inc({})
        log_event(
            _LOGGER,
            LogEvent.GROUP_SILENT,
            "group is silent",
            server=leader,
            silent_s=round(stall.silent_s, 3),
            requests=stall.requests,
        )
        self._stalled_leaders[leader] = self._loop.time() + UNRESPONSIVE_BACKOFF_S
        self._probe_group(leader)
        self.gossip.send(urgent=True)

    def _probe_group(self, leader: str) -> None:
        for zone in self.owner.zones.values():
            probe_group(zone, leader)

    def _create_owner(self, adapter: PlatformAdapter) -> ZoneOwner:
        return ZoneOwner(
            settings=self.settings,
            leases=adapter.leases,
            peers=self.peers,
            can_own=self._can_own,
            create_zone=lambda name, term, run_in_zone: create_zone(
                self, adapter, name, term, run_in_zone
            ),
            create_task=self.tasks.create,
            started_s=self._loop.time(),
        )

    def _can_own(self) -> bool:
        return self.servers.following and self.configuration.engine_service is not None
