"""Carries out the formation and the end of a zone's groups, as the zone's owner."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from ..core.clock import now_s as boot_time_s
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import (
    DEAD_S,
    DISSOLVE_WAIT_S,
    EPOCHS_PER_TERM,
    EXAMINE_PERIOD_S,
    EXCHANGE_PERIOD_S,
    HOLD_AFTER_PAUSE_S,
    JOIN_SLACK_FACTOR,
    JOIN_SLACK_S,
    LEAVE_RETRY_S,
    LEAVING_GROUP_S,
    LOAD_POLL_S,
    OPEN_SLACK_S,
    PAUSE_LIMIT_S,
    READY_POLL_S,
    SPARE_GROUP_PREFIX,
    STAGE_POLL_S,
    SUMMARY_PERIOD_S,
)
from .models import BackendServer, EngineProfile, Group, MemberState, Model
from .orders import ACCEPTED, Engines, OrderOutcome
from .planner import (
    REJOIN_S,
    SEVERAL_DOMAINS,
    FreeServer,
    GroupPlan,
    SparePlan,
    ZoneFacts,
    plan_staging,
    plan_zone,
)
from .view import LAPSED_ENTRY_GRACE_S, FleetView

_LOGGER = logging.getLogger(__name__)
_VIEW_POLL_S = 0.02

Key = tuple[str, int]


class FormationError(Exception):
    """A group could not be formed."""


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
    head: BackendServer
    domain: str
    # Whether the head may have got the order to serve.
    may_be_open: bool
    leaving_since_s: float | None = None
    dissolved_s: float = 0.0
    examined_s: float = 0.0
    # Members that left while the head did not answer.
    released: set[str] = field(default_factory=set)


@dataclass(slots=True)
class ZoneController:
    """Groups of one zone and the orders in progress."""

    zone: str
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
    # Weights that this zone loads at once; the weight store serves all zones.
    loads: asyncio.Semaphore
    known: dict[Key, KnownGroup] = field(default_factory=dict)
    _retired: set[Key] = field(default_factory=set)
    # Servers that do not answer: life and time of the next try.
    _dead: dict[str, tuple[int, float]] = field(default_factory=dict)
    _preparing: dict[str, str] = field(default_factory=dict)
    _staging: set[str] = field(default_factory=set)
    # Groups of an earlier owner that lack entries of members, and since when.
    _partial: dict[Key, float] = field(default_factory=dict)
    _held: set[str] = field(default_factory=set)
    # Lives of servers that this owner has asked for a report.
    _verified: set[tuple[str, int]] = field(default_factory=set)
    _epochs: int = 0
    _exchanged_s: float = 0.0
    _summarized_s: float = 0.0
    _last_tick_s: float = 0.0
    _hold_until_s: float = 0.0

    def open_groups(self) -> list[Group]:
        """Return the groups that serve."""
        return [
            known.group for known in self.known.values() if known.phase is Phase.OPEN
        ]

    def tick(self) -> None:
        """Compare the zone's groups with the servers and start what is needed."""
        profile = self.profile()
        if profile is None or self._is_on_hold():
            return
        now_s = asyncio.get_running_loop().time()
        self._adopt(profile, now_s)
        for known in list(self.known.values()):
            if known.phase is Phase.OPEN:
                self._check(known, now_s)
        self._plan(profile, now_s)

    def suspect(self, head_id: str) -> None:
        """Examine the group of a head that fell silent."""
        now_s = asyncio.get_running_loop().time()
        for known in self.known.values():
            if known.group.head != head_id or known.phase is not Phase.OPEN:
                continue
            if now_s - known.examined_s >= EXAMINE_PERIOD_S:
                known.examined_s = now_s
                self.create_task(self._async_examine(known))

    def _is_on_hold(self) -> bool:
        """Return whether this process was paused a moment ago."""
        now_s = boot_time_s()
        if self._last_tick_s and now_s - self._last_tick_s > PAUSE_LIMIT_S:
            self._hold_until_s = now_s + HOLD_AFTER_PAUSE_S
            self._log(
                LogEvent.OWNER_PAUSED,
                "process was paused; orders wait",
                paused_s=round(now_s - self._last_tick_s, 2),
            )
        self._last_tick_s = now_s
        return now_s < self._hold_until_s

    def _members(self) -> list[BackendServer]:
        return [
            server
            for server in self.view.servers.values()
            if server.zone == self.zone and server.service == self.service
        ]

    def _adopt(self, profile: EngineProfile, now_s: float) -> None:
        """Take over groups that an earlier owner left."""
        partial: dict[Key, float] = {}
        self._held = set()
        for group, states in self.view.groups():
            key = (group.name, group.epoch)
            head = self.view.servers[group.head]
            if head.zone != self.zone or head.service != self.service:
                continue
            if key in self.known or key in self._retired:
                continue
            if group.name.startswith(SPARE_GROUP_PREFIX):
                continue
            model = profile.model(group.model)
            whole = model is not None and len(group.members) == model.size
            since_s = self._partial.get(key, now_s)
            if not whole and now_s - since_s < LAPSED_ENTRY_GRACE_S:
                # Entries of members may have lapsed with the store and return.
                partial[key] = since_s
                self._held.update(group.members)
                continue
            self._adopt_group(group, states[0], head, whole=whole)
        self._partial = partial

    def _adopt_group(
        self, group: Group, state: MemberState, head: BackendServer, *, whole: bool
    ) -> None:
        known = KnownGroup(
            group, Phase.OPEN, head, self._domain(group), may_be_open=True
        )
        self.known[group.name, group.epoch] = known
        self._log(
            LogEvent.GROUP_ADOPTED,
            "group of an earlier owner",
            group=group.name,
            head_state=state,
            whole=whole,
        )
        if not whole or state is not MemberState.OPEN:
            self._dissolve(known, "left unfinished by an earlier owner")
        else:
            self.on_change()

    def _check(self, known: KnownGroup, now_s: float) -> None:
        """Dissolve a group that lost a member or is about to."""
        lost = [
            member for member in known.group.members if self._is_lost(known, member)
        ]
        if lost:
            self._dissolve(known, "member lost", lost=lost)
            return
        if any(self.view.servers[member].leaving for member in known.group.members):
            known.leaving_since_s = known.leaving_since_s or now_s
            if now_s - known.leaving_since_s > LEAVING_GROUP_S:
                self._dissolve(known, "member leaves")

    def _domain(self, group: Group) -> str:
        domains = {
            self.view.servers[member].domain
            for member in group.members
            if member in self.view.servers
        }
        return domains.pop() if len(domains) == 1 else SEVERAL_DOMAINS

    def _is_lost(self, known: KnownGroup, member: str) -> bool:
        server = self.view.servers.get(member)
        if server is None or self._is_dead(server):
            return True
        membership = server.membership
        if membership is None:
            return True
        same = (membership.group, membership.epoch) == (
            known.group.name,
            known.group.epoch,
        )
        return not same or membership.state is MemberState.BROKEN

    def _is_dead(self, server: BackendServer) -> bool:
        dead = self._dead.get(server.server_id)
        return dead is not None and dead[0] == server.born_ms

    def _mark_dead(self, server: BackendServer) -> None:
        due_s = asyncio.get_running_loop().time() + DEAD_S
        if not self._is_dead(server):
            self._log(
                LogEvent.SERVER_SILENT,
                "server does not answer",
                server=server.server_id,
                address=str(server.address),
            )
        self._dead[server.server_id] = (server.born_ms, due_s)

    def _plan(self, profile: EngineProfile, now_s: float) -> None:
        self._retry_dead(now_s)
        taken = {
            member
            for known in self.known.values()
            for member in known.group.members
            if member not in known.released
        }
        usable = [
            server
            for server in self._members()
            if server.server_id not in self._held
            and not server.leaving
            and server.server_id not in self._dead
        ]
        facts = ZoneFacts(
            zone=self.zone,
            profile=profile,
            free=[
                self._describe(server)
                for server in usable
                if server.server_id not in taken
            ],
            groups=[
                (known.group, known.domain)
                for known in self.known.values()
                if known.phase is not Phase.DISSOLVING
            ],
            elsewhere=self.elsewhere(),
            traffic_seen=self.traffic_seen(),
            members=[
                self._describe(server) for server in usable if server.server_id in taken
            ],
            unsettled=frozenset(
                known.domain
                for known in self.known.values()
                if known.phase is Phase.DISSOLVING
                and now_s - known.dissolved_s < DISSOLVE_WAIT_S
                and not self._is_released(known)
            ),
        )
        plan = plan_zone(facts)
        for group_plan in plan.groups:
            self._form(profile, group_plan)
        for spare_plan in plan.spares:
            self._prepare(profile, spare_plan)
        for group in plan.dissolved:
            self._exchange(group, now_s)
        self._summarize(facts, now_s)
        self._plan_staging(profile)

    def _describe(self, server: BackendServer) -> FreeServer:
        return FreeServer(
            server_id=server.server_id,
            domain=server.domain,
            last_model=_loaded_model(server),
            staged=server.staged,
            preparing=self._preparing.get(server.server_id) or _prepared_model(server),
        )

    def _summarize(self, facts: ZoneFacts, now_s: float) -> None:
        """Log the use of the zone's servers, so that idle ones can be explained."""
        if now_s - self._summarized_s < SUMMARY_PERIOD_S:
            return
        self._summarized_s = now_s
        free = Counter(
            f"{server.domain}/{server.last_model or '-'}/"
            f"{'+'.join(sorted(server.staged)) or '-'}/{server.preparing or '-'}"
            for server in facts.free
        )
        self._log(
            LogEvent.ZONE_SUMMARY,
            "use of the zone's servers",
            groups=Counter(
                f"{known.group.model}/{known.phase}" for known in self.known.values()
            ),
            free=free,
            silent=len(self._dead),
            held=len(self._held),
            staging=len(self._staging),
        )

    def _exchange(self, group: Group, now_s: float) -> None:
        """Dissolve a group of a model that has many, at most one at a time."""
        known = self.known.get((group.name, group.epoch))
        busy = any(other.phase is not Phase.OPEN for other in self.known.values())
        if known is None or busy or now_s - self._exchanged_s < EXCHANGE_PERIOD_S:
            return
        self._exchanged_s = now_s
        self._dissolve(known, "another model has too few groups")

    def _plan_staging(self, profile: EngineProfile) -> None:
        """Put a second model on the hosts, as far as the weight store is free."""
        servers = [
            self._describe(server)
            for server in self._members()
            if server.server_id not in self._staging
            and server.server_id not in self._preparing
            and server.server_id not in self._dead
            and not server.leaving
        ]
        for plan in plan_staging(profile, servers):
            # A spare that loads is of use sooner than a second model on a host.
            if self.traffic_seen() and (self._preparing or self._staging):
                return
            model = profile.model(plan.model)
            if model is not None:
                self._staging.add(plan.server_id)
                self.create_task(self._async_stage(plan.server_id, model))

    async def _async_stage(self, server_id: str, model: Model) -> None:
        """Load a model onto a server's host."""
        try:
            await self._async_stage_now(server_id, model)
        finally:
            self._staging.discard(server_id)

    async def _async_stage_now(self, server_id: str, model: Model) -> None:
        loop = asyncio.get_running_loop()
        server = self.view.servers.get(server_id)
        if server is None:
            return
        outcome = await self.engines.async_stage(server, model.name, self.term)
        self._log(
            LogEvent.MODEL_STAGED,
            "host loads a second model",
            server=server_id,
            model=model.name,
            outcome=outcome,
        )
        if outcome is OrderOutcome.SUPERSEDED:
            self.on_superseded()
        limit_s = loop.time() + model.load_s * JOIN_SLACK_FACTOR + JOIN_SLACK_S
        while loop.time() < limit_s:
            known = self.view.servers.get(server_id)
            if known is None or model.name in known.staged:
                return
            await asyncio.sleep(STAGE_POLL_S)

    def _retry_dead(self, now_s: float) -> None:
        for server_id, (born_ms, due_s) in list(self._dead.items()):
            server = self.view.servers.get(server_id)
            if server is None or server.born_ms != born_ms:
                del self._dead[server_id]
            elif due_s <= now_s:
                self._dead[server_id] = (born_ms, now_s + DEAD_S)
                self.create_task(self._async_revive(server))

    async def _async_revive(self, server: BackendServer) -> None:
        if await self._async_report(server):
            self._dead.pop(server.server_id, None)

    def _form(self, profile: EngineProfile, plan: GroupPlan) -> None:
        model = profile.model(plan.model)
        if model is None:
            return
        epoch = self._next_epoch()
        group = Group(f"{self.zone}-{epoch}", epoch, plan.model, plan.members)
        head = self.view.servers[group.head]
        domain = self._domain(group)
        known = KnownGroup(group, Phase.FORMING, head, domain, may_be_open=False)
        self.known[group.name, group.epoch] = known
        self._log(
            LogEvent.GROUP_PLANNED,
            "group is formed",
            group=group.name,
            model=group.model,
            members=list(group.members),
            join_s=plan.join_s,
        )
        self.create_task(self._async_form(known, profile, model))

    async def _async_form(
        self, known: KnownGroup, profile: EngineProfile, model: Model
    ) -> None:
        group = known.group
        started_s = asyncio.get_running_loop().time()
        reason = ""
        try:
            async with asyncio.TaskGroup() as tasks:
                for member in group.members:
                    join = self._async_join(member, lambda: group, model)
                    tasks.create_task(join)
            await self._async_open(known, profile)
        except* FormationError as exc:
            reason = "; ".join(str(error) for error in exc.exceptions)
        if reason:
            self._log(
                LogEvent.GROUP_FAILED,
                "group was not formed",
                group=group.name,
                reason=reason,
            )
            self._end_forming(known)
            return
        known.phase = Phase.OPEN
        took_s = asyncio.get_running_loop().time() - started_s
        self._log(
            LogEvent.GROUP_OPEN,
            "group serves",
            group=group.name,
            model=group.model,
            took_s=round(took_s, 2),
        )
        self.on_change()

    def _end_forming(self, known: KnownGroup) -> None:
        if known.may_be_open:
            self._dissolve(known, "formation failed")
            return
        key = (known.group.name, known.group.epoch)
        self._retired.add(key)
        self.known.pop(key, None)

    async def _async_join(
        self, member: str, create_group: Callable[[], Group], model: Model
    ) -> None:
        """Make a server a ready member. Raises `FormationError`.

        The group is created when its order is sent, as servers refuse a join whose
        epoch is lower than one they have seen.
        """
        server = self._require(member)
        needs_load = server.last_model != model.name and model.name not in server.staged
        if not needs_load:
            warm = server.last_model == model.name
            expected_s = REJOIN_S if warm else model.warmup_s
            await self._async_join_now(server, create_group(), expected_s, READY_POLL_S)
            return
        if not self.traffic_seen():
            # Loads before the first request share the weight store without delay.
            await self._async_join_now(
                server, create_group(), model.load_s, LOAD_POLL_S
            )
            return
        async with self.loads:
            server = self._require(member)
            await self._async_join_now(
                server, create_group(), model.load_s, LOAD_POLL_S
            )

    async def _async_join_now(
        self, server: BackendServer, group: Group, expected_s: float, poll_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        await self._async_leave_earlier_group(server)
        outcome = await self.engines.async_join(server, group, self.term)
        if outcome is OrderOutcome.NO_ANSWER:
            outcome = await self.engines.async_join(server, group, self.term)
        if outcome is OrderOutcome.NO_ANSWER:
            self._mark_dead(server)
        if outcome not in ACCEPTED:
            await self._async_refused(server, outcome)
            raise FormationError(f"join of {server.server_id}: {outcome}")
        ordered_s = loop.time()
        limit_s = ordered_s + expected_s * JOIN_SLACK_FACTOR + JOIN_SLACK_S
        # Loads are short before traffic begins, so they are asked about early.
        next_poll_s = ordered_s + min(expected_s, LOAD_POLL_S)
        misses = 0
        while not self._is_ready(server.server_id, group):
            now_s = loop.time()
            if now_s > limit_s or server.server_id not in self.view.servers:
                raise FormationError(f"{server.server_id} did not become ready")
            if now_s >= next_poll_s:
                answered = await self._async_report(server)
                misses = 0 if answered else misses + 1
                if misses > 1:
                    self._mark_dead(server)
                    raise FormationError(f"{server.server_id} does not answer")
                next_poll_s = loop.time() + poll_s
                continue
            await asyncio.sleep(_VIEW_POLL_S)

    async def _async_leave_earlier_group(self, server: BackendServer) -> None:
        """Take a server out of a group whose head may still serve.

        An earlier owner may have formed it, and the head's entry may be missing.
        Raises `FormationError`.
        """
        life = (server.server_id, server.born_ms)
        if life not in self._verified:
            if not await self._async_report(server):
                self._mark_dead(server)
                raise FormationError(f"{server.server_id} does not answer")
            self._verified.add(life)
        membership = self._require(server.server_id).membership
        if membership is None or membership.group.startswith(SPARE_GROUP_PREFIX):
            return
        if (membership.group, membership.epoch) in self._retired:
            return
        earlier = Group(membership.group, membership.epoch, "", (server.server_id,))
        outcome = await self.engines.async_leave(server, earlier, self.term)
        self._log(
            LogEvent.EARLIER_GROUP_LEFT,
            "server leaves a group of an earlier owner",
            server=server.server_id,
            group=membership.group,
            outcome=outcome,
        )
        if outcome not in ACCEPTED:
            await self._async_refused(server, outcome)
            raise FormationError(f"leave of {server.server_id}: {outcome}")

    def _is_ready(self, server_id: str, group: Group) -> bool:
        server = self.view.servers.get(server_id)
        if server is None or server.membership is None:
            return False
        membership = server.membership
        return (membership.group, membership.epoch) == (
            group.name,
            group.epoch,
        ) and membership.state in {MemberState.READY, MemberState.OPEN}

    async def _async_open(self, known: KnownGroup, profile: EngineProfile) -> None:
        """Open a group whose members are all ready. Raises `FormationError`."""
        loop = asyncio.get_running_loop()
        group = known.group
        for member in group.members:
            if not self._is_ready(member, group):
                raise FormationError(f"{member} is not ready any more")
        known.may_be_open = True
        head = self._require(group.head)
        limit_s = loop.time() + profile.formation_s + OPEN_SLACK_S
        outcome = await self.engines.async_open(head, group, self.term)
        await asyncio.sleep(profile.formation_s)
        while loop.time() < limit_s:
            await self._async_report(head)
            server = self._require(group.head)
            membership = server.membership
            if membership is not None and membership.state is MemberState.OPEN:
                return
            if outcome not in ACCEPTED:
                outcome = await self.engines.async_open(head, group, self.term)
            await asyncio.sleep(READY_POLL_S)
        raise FormationError(f"open: {outcome}")

    def _prepare(self, profile: EngineProfile, plan: SparePlan) -> None:
        model = profile.model(plan.model)
        if model is None:
            return
        self._preparing[plan.server_id] = plan.model
        self.create_task(self._async_prepare(plan.server_id, model))

    async def _async_prepare(self, server_id: str, model: Model) -> None:
        """Load a model on a free server, in a group that never opens."""

        def create_group() -> Group:
            epoch = self._next_epoch()
            name = f"{SPARE_GROUP_PREFIX}{model.name}-{epoch}"
            return Group(name, epoch, model.name, (server_id,))

        self._log(
            LogEvent.SPARE_PREPARED,
            "free server loads a model",
            server=server_id,
            model=model.name,
        )
        try:
            await self._async_join(server_id, create_group, model)
        except FormationError as exc:
            self._log(LogEvent.GROUP_FAILED, str(exc), server=server_id)
        finally:
            self._preparing.pop(server_id, None)

    def _dissolve(self, known: KnownGroup, reason: str, **fields: Any) -> None:
        known.phase = Phase.DISSOLVING
        known.dissolved_s = asyncio.get_running_loop().time()
        self._log(LogEvent.GROUP_DISSOLVED, reason, group=known.group.name, **fields)
        self.on_change()
        self.create_task(self._async_dissolve(known))

    async def _async_dissolve(self, known: KnownGroup) -> None:
        """Free the members of a group.

        A server must not join another group while the head of its own may serve.
        So the head leaves first; members of a head that does not answer leave
        themselves. A head that returns with the group is dissolved again.
        """
        key = (known.group.name, known.group.epoch)
        while key in self.known:
            if self._is_dead(known.head):
                await self._async_release_members(known)
            outcome = await self.engines.async_leave(known.head, known.group, self.term)
            if outcome is OrderOutcome.SUPERSEDED:
                self.on_superseded()
            elif outcome is not OrderOutcome.NO_ANSWER:
                self._retired.add(key)
                self._note_left(known.group, known.group.head)
                break
            if await self._async_release_members(known):
                break
            await asyncio.sleep(LEAVE_RETRY_S)
        self.known.pop(key, None)
        if known.head.server_id in self.view.servers:
            await self._async_report(known.head)

    def _is_released(self, known: KnownGroup) -> bool:
        """Return whether all members that answer have left a dead head."""
        return all(
            member in known.released or member in self._dead
            for member in known.group.members
        )

    async def _async_release_members(self, known: KnownGroup) -> bool:
        """Let members leave; return whether none is left to free, nor the head."""
        async with asyncio.TaskGroup() as tasks:
            for member in known.group.members[1:]:
                if member not in known.released:
                    tasks.create_task(self._async_release(known, member))
        return self._is_head_gone(known) and known.released.issuperset(
            known.group.members[1:]
        )

    async def _async_release(self, known: KnownGroup, member: str) -> None:
        server = self.view.servers.get(member)
        if server is None:
            known.released.add(member)
            return
        outcome = await self.engines.async_leave(server, known.group, self.term)
        if outcome in {OrderOutcome.NO_ANSWER, OrderOutcome.SUPERSEDED}:
            return
        self._note_left(known.group, member)
        known.released.add(member)

    def _note_left(self, group: Group, server_id: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self.view.note_left(server_id, group.epoch, now_s)

    def _is_head_gone(self, known: KnownGroup) -> bool:
        """Return whether the store no longer lists this life of the head."""
        server = self.view.servers.get(known.head.server_id)
        return server is None or server.born_ms != known.head.born_ms

    async def _async_examine(self, known: KnownGroup) -> None:
        """Ask all members of a silent group for a report, each twice at most."""
        members = [
            self.view.servers[member]
            for member in known.group.members
            if member in self.view.servers
        ]
        async with asyncio.TaskGroup() as tasks:
            for server in members:
                tasks.create_task(self._async_examine_member(server))

    async def _async_examine_member(self, server: BackendServer) -> None:
        for _ in range(2):
            if await self._async_report(server):
                return
        self._mark_dead(server)

    async def _async_report(self, server: BackendServer) -> bool:
        report = await self.engines.async_report(server)
        if report is None:
            return False
        self.view.put_report(
            server.server_id,
            born_ms=report.born_ms,
            membership=report.membership,
            staged=report.staged,
            last_model=report.last_model,
            now_s=asyncio.get_running_loop().time(),
        )
        return True

    async def _async_refused(
        self, server: BackendServer, outcome: OrderOutcome
    ) -> None:
        if outcome is OrderOutcome.SUPERSEDED:
            self.on_superseded()
        if outcome is not OrderOutcome.NO_ANSWER:
            await self._async_report(server)

    def _require(self, server_id: str) -> BackendServer:
        server = self.view.servers.get(server_id)
        if server is None:
            raise FormationError(f"{server_id} is gone")
        return server

    def _next_epoch(self) -> int:
        self._epochs += 1
        return self.term * EPOCHS_PER_TERM + self._epochs

    def _log(self, event: LogEvent, message: str, **fields: Any) -> None:
        log_event(_LOGGER, event, message, zone=self.zone, term=self.term, **fields)


def _prepared_model(server: BackendServer) -> str | None:
    """Return the model that a spare loads, also if an earlier owner ordered it."""
    membership = server.membership
    if membership is None or membership.state is not MemberState.JOINING:
        return None
    if not membership.group.startswith(SPARE_GROUP_PREFIX):
        return None
    return membership.group.removeprefix(SPARE_GROUP_PREFIX).rpartition("-")[0]


def _loaded_model(server: BackendServer) -> str | None:
    """Return the model whose groups the server can join at once."""
    membership = server.membership
    if membership is not None and membership.state is MemberState.JOINING:
        return None
    return server.last_model
