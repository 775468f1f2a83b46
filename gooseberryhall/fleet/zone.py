"""State of the groups of a zone at its owner."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import EPOCHS_PER_TERM, UNRESPONSIVE_BACKOFF_S
from .exceptions import FormationError
from .models import BackendServer, EngineProfile, Group, MemberState
from .orders import EngineClient, Report
from .plans import SEVERAL_DOMAINS
from .statements import ServerStatements
from .view import FleetView

_LOGGER = logging.getLogger(__name__)

GroupKey = tuple[str, int]


class Phase(StrEnum):
    """Phase of a group that the owner manages."""

    FORMING = "forming"
    OPEN = "open"
    DISSOLVING = "dissolving"


@dataclass(slots=True)
class ManagedGroup:
    """A group of the zone, from its formation to the release of its members."""

    group: Group
    phase: Phase
    # Last known state of the leader; its record may have been removed.
    leader: BackendServer
    domain: str
    # Whether the leader may have received the order to serve.
    may_be_open: bool
    leaving_since_s: float | None = None
    dissolved_s: float = 0.0
    probed_s: float = 0.0
    # When members without a record were last probed, and whether they are now.
    lapsed_probed_s: float = 0.0
    probing_lapsed: bool = False
    # Members that left while the leader was unresponsive.
    released: set[str] = field(default_factory=set)


@dataclass(slots=True)
class ZoneState:
    """Groups of one zone and the orders in progress."""

    # Name of the availability zone.
    name: str
    service: str
    term: int
    view: FleetView
    engines: EngineClient
    profile: Callable[[], EngineProfile | None]
    other_zone_groups: Callable[[], Mapping[str, Mapping[str, int]]]
    traffic_seen: Callable[[], bool]
    on_change: Callable[[], None]
    on_superseded: Callable[[], None]
    create_task: Callable[[Coroutine[Any, Any, None]], None]
    # Number of zones that share the weight store.
    zone_count: int
    # What servers said of themselves in their answers.
    statements: ServerStatements = field(default_factory=ServerStatements)
    groups: dict[GroupKey, ManagedGroup] = field(default_factory=dict)
    # Groups that cannot serve again, because their leader confirmed that it left, or
    # because they were never opened.
    retired_groups: set[GroupKey] = field(default_factory=set)
    # Groups that may serve again after their leader left them, as an order to it was
    # not answered and may be carried out late.
    revivable_groups: set[GroupKey] = field(default_factory=set)
    # Incarnation (its start time) and time of the next probe of unresponsive servers.
    unresponsive: dict[str, tuple[int, float]] = field(default_factory=dict)
    # Models that spares are loading, by server.
    preparing: dict[str, str] = field(default_factory=dict)
    # Servers whose hosts are staging a second model.
    staging: set[str] = field(default_factory=set)
    # Groups of an earlier owner with missing member records, and since when.
    incomplete_since_s: dict[GroupKey, float] = field(default_factory=dict)
    # Servers of these groups, which must not join another group meanwhile.
    reserved: set[str] = field(default_factory=set)
    # When this node last received data for a request from any server.
    traffic_progress_s: Callable[[], float] = lambda: 0.0
    # Returns whether the zone is evacuated; its servers then get neither work nor
    # probes, and open groups stay as they are.
    is_evacuated: Callable[[], bool] = lambda: False
    # When a server last answered an order or a probe of this owner.
    answered_s: float = 0.0
    epoch_count: int = 0
    rebalanced_s: float = 0.0
    summary_logged_s: float = 0.0
    last_reconcile_s: float = 0.0
    hold_until_s: float = 0.0
    # When this node acquired the zone, on the clock of the event loop.
    acquired_s: float = 0.0

    def open_groups(self) -> list[Group]:
        """Return the groups that serve."""
        return [
            managed.group
            for managed in self.groups.values()
            if managed.phase is Phase.OPEN
        ]

    def servers(self) -> list[BackendServer]:
        """Return the servers of the zone."""
        return [
            server
            for server in self.view.servers.values()
            if server.zone == self.name and server.service == self.service
        ]

    def is_unresponsive(self, server: BackendServer) -> bool:
        """Return whether this incarnation of a server is unresponsive."""
        unresponsive = self.unresponsive.get(server.server_id)
        return unresponsive is not None and unresponsive[0] == server.started_at_ms

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server is listed as leaving or said that it leaves."""
        return self.statements.is_leaving(server, asyncio.get_running_loop().time())

    def is_paused(self, server: BackendServer) -> bool:
        """Return whether a server asked this node to send nothing."""
        return self.statements.pause_s(server, asyncio.get_running_loop().time()) > 0

    def mark_unresponsive(self, server: BackendServer) -> None:
        """Hold back orders to a server that does not answer."""
        due_s = asyncio.get_running_loop().time() + UNRESPONSIVE_BACKOFF_S
        if not self.is_unresponsive(server):
            self.log(
                LogEvent.SERVER_SILENT,
                "server does not answer",
                server=server.server_id,
                address=str(server.address),
            )
        self.unresponsive[server.server_id] = (server.started_at_ms, due_s)

    def record_unanswered_order(self, server: BackendServer, group: Group) -> None:
        """Record that a server may carry out an order for a group late."""
        if server.server_id == group.leader:
            self.revivable_groups.add((group.name, group.epoch))

    def retire(self, group: Group) -> None:
        """Record that the leader of a group confirmed that it left."""
        key = (group.name, group.epoch)
        if key not in self.revivable_groups:
            self.retired_groups.add(key)

    def is_ready(self, server_id: str, group: Group) -> bool:
        """Return whether a server reported that it is a ready member of a group."""
        server = self.view.servers.get(server_id)
        if server is None or server.membership is None:
            return False
        membership = server.membership
        return (membership.group, membership.epoch) == (
            group.name,
            group.epoch,
        ) and membership.state in {MemberState.READY, MemberState.OPEN}

    async def async_refresh(self, server: BackendServer) -> Report | None:
        """Update the state of a server by a report; return it if the server answered.

        The report may be older than a confirmed order, which then takes precedence.
        """
        report = await self.engines.async_fetch_report(server)
        if report is None:
            return None
        self.answered_s = asyncio.get_running_loop().time()
        self.view.apply_report(
            server.server_id,
            started_at_ms=report.started_at_ms,
            membership=report.membership,
            staged=report.staged,
            last_model=report.last_model,
            now_s=asyncio.get_running_loop().time(),
        )
        return report

    def latest_answer_s(self) -> float:
        """Return when any server last answered this node."""
        return max(self.answered_s, self.traffic_progress_s())

    def require_not_evacuated(self) -> None:
        """Raise `FormationError` if the zone is evacuated."""
        if self.is_evacuated():
            raise FormationError(f"{self.name} is evacuated")

    def require_server(self, server_id: str) -> BackendServer:
        """Return a server. Raises `FormationError` if it no longer exists."""
        server = self.view.servers.get(server_id)
        if server is None:
            raise FormationError(f"{server_id} no longer exists")
        return server

    def next_epoch(self) -> int:
        """Return an epoch that is higher than all earlier ones of the zone.

        Names of groups derive from it. Epochs of this term that servers report and this
        owner did not give out are those of another owner with an equal term.
        """
        first = self.term * EPOCHS_PER_TERM
        seen = [
            server.membership.epoch - first
            for server in self.servers()
            if server.membership is not None
        ]
        used = [count for count in seen if count < EPOCHS_PER_TERM]
        self.epoch_count = max([self.epoch_count, *used]) + 1
        return first + self.epoch_count

    def log(self, event: LogEvent, message: str, **fields: Any) -> None:
        """Log an event with the zone and its term."""
        log_event(_LOGGER, event, message, zone=self.name, term=self.term, **fields)

    def apply_leave(self, group: Group, server_id: str) -> None:
        """Record in the view that a server left a group by a confirmed order."""
        now_s = asyncio.get_running_loop().time()
        self.view.apply_leave(server_id, group.epoch, now_s)

    def group_domain(self, group: Group) -> str:
        """Return the fabric domain of a group, or `SEVERAL_DOMAINS`."""
        domains = {
            self.view.servers[member].domain
            for member in group.members
            if member in self.view.servers
        }
        return domains.pop() if len(domains) == 1 else SEVERAL_DOMAINS
