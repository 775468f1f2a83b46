"""State of a zone's groups at its owner."""

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
from .orders import Engines
from .plans import SEVERAL_DOMAINS
from .view import FleetView

_LOGGER = logging.getLogger(__name__)

Key = tuple[str, int]


class Phase(StrEnum):
    """Phase of a group that the owner knows."""

    FORMING = "forming"
    OPEN = "open"
    DISSOLVING = "dissolving"


@dataclass(slots=True)
class KnownGroup:
    """A group of the zone."""

    group: Group
    phase: Phase
    # The head as it was last known; its entry may be gone.
    leader: BackendServer
    domain: str
    # Whether the head may have got the order to serve.
    may_be_open: bool
    leaving_since_s: float | None = None
    dissolved_s: float = 0.0
    examined_s: float = 0.0
    # Members that left while the head did not answer.
    released: set[str] = field(default_factory=set)


@dataclass(slots=True)
class ZoneState:
    """Groups of one zone and the orders in progress."""

    # Availability zone whose groups are decided here.
    name: str
    service: str
    term: int
    view: FleetView
    engines: Engines
    profile: Callable[[], EngineProfile | None]
    elsewhere: Callable[[], Mapping[str, Mapping[str, int]]]
    traffic_seen: Callable[[], bool]
    on_change: Callable[[], None]
    on_superseded: Callable[[], None]
    create_task: Callable[[Coroutine[Any, Any, None]], None]
    # Zones that share the weight store.
    zones: int
    known: dict[Key, KnownGroup] = field(default_factory=dict)
    retired: set[Key] = field(default_factory=set)
    # Servers that do not answer: life and time of the next try.
    unresponsive: dict[str, tuple[int, float]] = field(default_factory=dict)
    preparing: dict[str, str] = field(default_factory=dict)
    staging: set[str] = field(default_factory=set)
    # Groups of an earlier owner that lack entries of members, and since when.
    partial: dict[Key, float] = field(default_factory=dict)
    held: set[str] = field(default_factory=set)
    # Lives of servers that this owner has asked for a report.
    verified: set[tuple[str, int]] = field(default_factory=set)
    epochs: int = 0
    exchanged_s: float = 0.0
    summarized_s: float = 0.0
    last_tick_s: float = 0.0
    hold_until_s: float = 0.0

    def open_groups(self) -> list[Group]:
        """Return the groups that serve."""
        return [
            known.group for known in self.known.values() if known.phase is Phase.OPEN
        ]

    def members(self) -> list[BackendServer]:
        """Return the servers of the zone."""
        return [
            server
            for server in self.view.servers.values()
            if server.zone == self.name and server.service == self.service
        ]

    def is_unresponsive(self, server: BackendServer) -> bool:
        """Return whether this life of a server does not answer."""
        unresponsive = self.unresponsive.get(server.server_id)
        return unresponsive is not None and unresponsive[0] == server.started_at_ms

    def mark_unresponsive(self, server: BackendServer) -> None:
        """Keep orders from a server that does not answer."""
        due_s = asyncio.get_running_loop().time() + UNRESPONSIVE_BACKOFF_S
        if not self.is_unresponsive(server):
            self.log(
                LogEvent.SERVER_SILENT,
                "server does not answer",
                server=server.server_id,
                address=str(server.address),
            )
        self.unresponsive[server.server_id] = (server.started_at_ms, due_s)

    def is_ready(self, server_id: str, group: Group) -> bool:
        """Return whether a server reported to be a ready member of a group."""
        server = self.view.servers.get(server_id)
        if server is None or server.membership is None:
            return False
        membership = server.membership
        return (membership.group, membership.epoch) == (
            group.name,
            group.epoch,
        ) and membership.state in {MemberState.READY, MemberState.OPEN}

    async def async_report(self, server: BackendServer) -> bool:
        """Ask a server for a report; return whether it answered."""
        report = await self.engines.async_report(server)
        if report is None:
            return False
        self.view.put_report(
            server.server_id,
            started_at_ms=report.started_at_ms,
            membership=report.membership,
            staged=report.staged,
            last_model=report.last_model,
            now_s=asyncio.get_running_loop().time(),
        )
        return True

    def require(self, server_id: str) -> BackendServer:
        """Return a server. Raises `FormationError` if it is gone."""
        server = self.view.servers.get(server_id)
        if server is None:
            raise FormationError(f"{server_id} is gone")
        return server

    def next_epoch(self) -> int:
        """Return an epoch above all earlier ones of the zone."""
        self.epochs += 1
        return self.term * EPOCHS_PER_TERM + self.epochs

    def log(self, event: LogEvent, message: str, **fields: Any) -> None:
        """Write a numbered event with the zone and its term."""
        log_event(_LOGGER, event, message, zone=self.name, term=self.term, **fields)

    def note_left(self, group: Group, server_id: str) -> None:
        """Note that a server left a group by a confirmed order."""
        now_s = asyncio.get_running_loop().time()
        self.view.note_left(server_id, group.epoch, now_s)

    def domain(self, group: Group) -> str:
        """Return the fabric domain of a group."""
        domains = {
            self.view.servers[member].domain
            for member in group.members
            if member in self.view.servers
        }
        return domains.pop() if len(domains) == 1 else SEVERAL_DOMAINS
