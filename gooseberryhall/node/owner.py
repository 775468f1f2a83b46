"""Ownership of zones by this node."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from ..core.tasks import CreateTask
from ..exceptions import UnavailableError
from ..fleet.const import FIRST_ANNOUNCEMENT_S
from ..fleet.controller import reconcile
from ..fleet.exceptions import LeaseConflictError
from ..fleet.orders import Lease, LeaseStore
from ..fleet.ownership import OwnershipFacts, should_acquire_lease
from ..fleet.zone import ZoneState
from ..gossip.models import ReceivedAnnouncement
from ..gossip.peers import Peers
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .settings import NodeSettings

_LOGGER = logging.getLogger(__name__)

RunInZone = Callable[[Coroutine[Any, Any, None]], None]
"""Runs a coroutine until its zone is released."""


@dataclass(slots=True)
class ZoneOwner:
    """Acquires the leases of zones and releases zones that a peer acquired."""

    settings: NodeSettings
    leases: LeaseStore
    peers: Peers
    # Whether this node has the configuration and records that an owner needs.
    can_own: Callable[[], bool]
    # Returns the state of a zone for a term, or None without a configuration.
    create_zone: Callable[[str, int, RunInZone], ZoneState | None]
    create_task: CreateTask
    started_s: float
    zones: dict[str, ZoneState] = field(default_factory=dict)
    _owner_seen_s: dict[str, float] = field(default_factory=dict)
    # Highest terms of the leases that this node read or owned, by zone.
    _stored_terms: dict[str, int] = field(default_factory=dict)
    # Zones whose lease is being read or acquired.
    _pending: set[str] = field(default_factory=set)
    _tasks: dict[str, set[asyncio.Task[None]]] = field(default_factory=dict)

    def contend(self) -> None:
        """Acquire zones without a live owner; release zones that have a newer owner."""
        now_s = asyncio.get_running_loop().time()
        for name in self.settings.zones:
            received = self.peers.fresh_announcement(name, now_s)
            zone = self.zones.get(name)
            if received is not None and not received.store_lost:
                self._owner_seen_s[name] = now_s
            if zone is None:
                self._contend_for(name, received, now_s)
            elif received is not None:
                self._resolve_rival(zone, received.announcement.term)

    def _resolve_rival(self, zone: ZoneState, term: int) -> None:
        """Give a zone up, or check its lease, if a peer owns it too."""
        if term > zone.term:
            self._release(zone.name, "a peer owns a later term")
        elif term == zone.term:
            # Nodes of an earlier build give a term out again if the store went back.
            self.verify_lease(zone.name)

    def become_owner(self, name: str, term: int) -> None:
        """Start to manage the groups of a zone under a term."""
        zone = self.create_zone(name, term, self._create_run_in_zone(name))
        if zone is None:
            return
        self.zones[name] = zone
        self._stored_terms[name] = max(term, self._stored_terms.get(name, 0))
        log_event(_LOGGER, LogEvent.ZONE_OWNED, "acquired zone", zone=name, term=term)
        # The first announcement must list the groups that the earlier owner left.
        reconcile(zone)

    def without_owner_s(self, name: str, now_s: float) -> float:
        """Return the time since a zone last had a live owner with the store."""
        return now_s - self._owner_seen_s.get(name, self.started_s)

    def verify_lease(self, name: str) -> None:
        """Check in the store that this node still holds the lease of a zone."""
        if name not in self._pending:
            self._pending.add(name)
            self.create_task(self._async_verify_lease(name))

    def _contend_for(
        self, name: str, received: ReceivedAnnouncement | None, now_s: float
    ) -> None:
        if received is not None and not received.store_lost:
            return
        if name in self._pending or not self.can_own():
            return
        facts = OwnershipFacts(
            is_local=name == self.settings.zone,
            rank=self.peers.contention_rank(name, now_s),
            is_isolated=self.peers.is_isolated(now_s),
            may_adopt=self._may_adopt(name, now_s),
            without_owner_s=self.without_owner_s(name, now_s),
            uptime_s=now_s - self.started_s,
        )
        if should_acquire_lease(facts):
            self._pending.add(name)
            self.create_task(self._async_acquire(name))

    def _may_adopt(self, name: str, now_s: float) -> bool:
        """Return whether this node is the first owner that may own another zone too."""
        owners = self.peers.live_owners(now_s) if self.zones else set()
        return (
            bool(self.zones)
            and self.settings.node == min({*owners, self.settings.node})
            and not self.peers.has_live_node(name, now_s)
        )

    async def _async_acquire(self, name: str) -> None:
        try:
            stored = await self.leases.async_read_lease(name)
            if self._is_unheard_owner(stored):
                now_s = asyncio.get_running_loop().time()
                self._owner_seen_s[name] = now_s + FIRST_ANNOUNCEMENT_S
                return
            lease = await self.leases.async_acquire_lease(
                self.settings.node, stored, self._heard_term(name)
            )
        except (LeaseConflictError, UnavailableError) as exc:
            log_event(_LOGGER, LogEvent.ZONE_RELEASED, str(exc), zone=name)
            self._owner_seen_s[name] = asyncio.get_running_loop().time()
            return
        finally:
            self._pending.discard(name)
        self.become_owner(name, lease.term)

    def _is_unheard_owner(self, stored: Lease) -> bool:
        """Return whether another node may have acquired the lease a moment ago.

        Nodes that start together do not know each other yet. Each of them would take
        the zone from the one before.
        """
        known = self._heard_term(stored.zone)
        self._stored_terms[stored.zone] = max(
            stored.term, self._stored_terms.get(stored.zone, 0)
        )
        return stored.owner != self.settings.node and stored.term > known

    def _heard_term(self, name: str) -> int:
        """Return the highest term of a zone that this node read or was told."""
        last = self.peers.last_announcement(name)
        return max(last.term if last else 0, self._stored_terms.get(name, 0))

    async def _async_verify_lease(self, name: str) -> None:
        try:
            stored = await self.leases.async_read_lease(name)
            zone = self.zones.get(name)
            if zone is None:
                return
            if self._is_superseded(zone, stored):
                self._release(name, f"{stored.owner} owns term {stored.term}")
            elif self._has_rival(zone):
                await self._async_renew(zone, stored)
        except (LeaseConflictError, UnavailableError) as exc:
            log_event(_LOGGER, LogEvent.STORE_LOST, str(exc), table="leases")
        finally:
            self._pending.discard(name)

    def _is_superseded(self, zone: ZoneState, stored: Lease) -> bool:
        """Return whether another node holds the lease of a zone that this node owns."""
        if stored.term == zone.term:
            return stored.owner != self.settings.node
        return stored.term > zone.term

    def _has_rival(self, zone: ZoneState) -> bool:
        """Return whether a peer announces a zone under the term of this node."""
        now_s = asyncio.get_running_loop().time()
        received = self.peers.fresh_announcement(zone.name, now_s)
        return received is not None and received.announcement.term == zone.term

    async def _async_renew(self, zone: ZoneState, stored: Lease) -> None:
        """Own a zone under a later term, so that its other owner gives it up."""
        name = zone.name
        lease = await self.leases.async_acquire_lease(
            self.settings.node, stored, self._heard_term(name)
        )
        if self.zones.get(name) is zone:
            self._release(name, "a peer owns the same term")
        if lease.term > self._heard_term(name):
            self.become_owner(name, lease.term)

    def _release(self, name: str, reason: str) -> None:
        del self.zones[name]
        self._owner_seen_s[name] = asyncio.get_running_loop().time()
        # Orders of the earlier term would compete with those of the new owner.
        for task in self._tasks.pop(name):
            task.cancel()
        log_event(_LOGGER, LogEvent.ZONE_RELEASED, reason, zone=name)

    def _create_run_in_zone(self, name: str) -> RunInZone:
        tasks: set[asyncio.Task[None]] = set()
        self._tasks[name] = tasks

        def run_in_zone(coro: Coroutine[Any, Any, None]) -> None:
            task = self.create_task(coro)
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        return run_in_zone
