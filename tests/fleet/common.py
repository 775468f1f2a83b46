"""Fake model servers that check the invariants of groups."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from gooseberryhall.fleet.controller import reconcile
from gooseberryhall.fleet.models import (
    BackendServer,
    EngineProfile,
    Group,
    Membership,
    MemberState,
    Model,
)
from gooseberryhall.fleet.orders import OrderOutcome
from gooseberryhall.fleet.view import FleetView
from gooseberryhall.fleet.zone import ZoneState
from gooseberryhall.transport.address import Address

LARGE = Model("large", 3, 1.0, 0.5, 4.0, 0.02)
SMALL = Model("small", 2, 0.6, 0.5, 3.0, 0.02)
PROFILE = EngineProfile(4, (LARGE, SMALL), 0.02, 6)
ADDRESS = Address("127.0.0.1", 1)


def server(server_id: str, domain: str = "d", **changes: Any) -> BackendServer:
    """Return a server of zone z that is in no group."""
    values: dict[str, Any] = {
        "server_id": server_id,
        "service": "engine",
        "address": ADDRESS,
        "zone": "z",
        "leaving": False,
        "slots": 4,
        "started_at_ms": 1,
        "domain": domain,
    }
    return BackendServer(**{**values, **changes})


@dataclass(slots=True)
class FakeServer:
    """A fake model server."""

    record: BackendServer
    membership: Membership | None = None
    members: tuple[str, ...] = ()
    last_model: str | None = None
    staged: frozenset[str] = frozenset()
    reachable: bool = True
    highest_epoch: int = 0
    highest_fence: int = 0
    orders: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class FakeReport:
    """A report of a fake server."""

    started_at_ms: int
    membership: Membership | None
    staged: frozenset[str]
    last_model: str | None
    slowdown: float = 1.0


class FakeEngines:
    """Fake servers that carry out orders and record violated invariants."""

    def __init__(self, *servers: BackendServer) -> None:
        """Create reachable servers that are in no group."""
        self.servers = {record.server_id: FakeServer(record) for record in servers}
        self.violations: list[str] = []
        self.lost_answers = 0
        # Orders that get no answer and are carried out by `carry_out_late`: the next
        # ones, and the next one of a kind to a server.
        self.late_orders = 0
        # Memberships that servers still report after they changed.
        self.stale_reports: dict[str, Membership] = {}
        # Orders to leave that are refused.
        self.refused_leaves = 0
        self.late_kinds: set[tuple[str, str]] = set()
        self._late: list[Callable[[], OrderOutcome]] = []

    async def async_join(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        """Join at once, unless the fencing token or the epoch is outdated."""
        await asyncio.sleep(0)
        return self._carry_out(
            server, "join", lambda: self._join(server, group, fencing_token)
        )

    def _join(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        fake = self._reach(server, "join", fencing_token)
        if isinstance(fake, OrderOutcome):
            return fake
        if fake.membership and fake.membership.epoch == group.epoch:
            return self._answer(OrderOutcome.DONE)
        if group.epoch < fake.highest_epoch:
            return OrderOutcome.SUPERSEDED
        self._check_join(fake, group)
        fake.highest_epoch = group.epoch
        rank = group.members.index(server.server_id)
        fake.membership = Membership(group.name, group.epoch, rank, MemberState.READY)
        fake.members = group.members
        fake.last_model = group.model
        fake.staged = frozenset({group.model})
        return self._answer(OrderOutcome.STARTED)

    async def async_open(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        """Open the leader's group and check that all members are ready."""
        await asyncio.sleep(0)
        return self._carry_out(
            server, "open", lambda: self._open(server, group, fencing_token)
        )

    def _open(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        fake = self._reach(server, "open", fencing_token)
        if isinstance(fake, OrderOutcome):
            return fake
        membership = fake.membership
        if membership is None or membership.epoch != group.epoch:
            return OrderOutcome.UNFIT
        for member in group.members:
            other = self.servers[member].membership
            if other is None or other.epoch != group.epoch:
                self.violations.append(f"{group.name} opened without {member}")
        fake.membership = Membership(group.name, group.epoch, 0, MemberState.OPEN)
        return self._answer(OrderOutcome.STARTED)

    async def async_leave(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        """Leave the group if the server is in it."""
        await asyncio.sleep(0)
        return self._carry_out(
            server, "leave", lambda: self._leave(server, group, fencing_token)
        )

    def _leave(
        self, server: BackendServer, group: Group, fencing_token: int
    ) -> OrderOutcome:
        if self.refused_leaves:
            self.refused_leaves -= 1
            return OrderOutcome.REFUSED
        fake = self._reach(server, "leave", fencing_token)
        if isinstance(fake, OrderOutcome):
            return fake
        membership = fake.membership
        if membership is None or membership.epoch != group.epoch:
            return OrderOutcome.UNFIT
        fake.membership = None
        return self._answer(OrderOutcome.DONE)

    async def async_stage(
        self, server: BackendServer, model: str, fencing_token: int
    ) -> OrderOutcome:
        """Replace the model that is staged on the host."""
        await asyncio.sleep(0)
        fake = self._reach(server, "stage", fencing_token)
        if isinstance(fake, OrderOutcome):
            return fake
        fake.staged = frozenset({model})
        return self._answer(OrderOutcome.STARTED)

    async def async_fetch_report(self, server: BackendServer) -> FakeReport | None:
        """Return the server's state."""
        await asyncio.sleep(0)
        fake = self.servers.get(server.server_id)
        if fake is None or not fake.reachable:
            return None
        return FakeReport(
            fake.record.started_at_ms,
            self.stale_reports.get(server.server_id, fake.membership),
            fake.staged,
            fake.last_model,
        )

    def add(self, record: BackendServer) -> None:
        """Add a server that is in no group."""
        self.servers[record.server_id] = FakeServer(record)

    def carry_out_late(self) -> None:
        """Carry out the late orders in the sequence in which they were sent."""
        late, self._late = self._late, []
        for order in late:
            order()

    def open_groups(self) -> dict[str, tuple[str, ...]]:
        """Return the members of each open group."""
        return {
            fake.membership.group: fake.members
            for fake in self.servers.values()
            if fake.membership and fake.membership.state is MemberState.OPEN
        }

    def _check_join(self, fake: FakeServer, group: Group) -> None:
        membership = fake.membership
        if membership is None or membership.group == group.name:
            return
        leader = self.servers.get(fake.members[0])
        if (
            leader is not None
            and leader.membership is not None
            and leader.membership.group == membership.group
            and leader.membership.state is MemberState.OPEN
        ):
            self.violations.append(
                f"{fake.record.server_id} joined {group.name} while "
                f"{membership.group} was open"
            )

    def _reach(
        self, server: BackendServer, order: str, fencing_token: int
    ) -> FakeServer | OrderOutcome:
        fake = self.servers.get(server.server_id)
        if fake is None or not fake.reachable:
            return OrderOutcome.NO_ANSWER
        if fencing_token < fake.highest_fence:
            return OrderOutcome.SUPERSEDED
        fake.highest_fence = fencing_token
        fake.orders.append(order)
        return fake

    def _carry_out(
        self, server: BackendServer, kind: str, order: Callable[[], OrderOutcome]
    ) -> OrderOutcome:
        """Carry out an order now, or keep it for later without an answer."""
        key = (server.server_id, kind)
        if not self.late_orders and key not in self.late_kinds:
            return order()
        self.late_orders = max(0, self.late_orders - 1)
        self.late_kinds.discard(key)
        self._late.append(order)
        return OrderOutcome.NO_ANSWER

    def _answer(self, outcome: OrderOutcome) -> OrderOutcome:
        if self.lost_answers:
            self.lost_answers -= 1
            return OrderOutcome.NO_ANSWER
        return outcome


@dataclass(slots=True)
class FakeZone:
    """A zone of fake servers whose reconciliation is driven by the test."""

    engines: FakeEngines
    view: FleetView = field(default_factory=FleetView)
    traffic: bool = False
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    superseded: int = 0

    def create(self, term: int = 1) -> ZoneState:
        """Return the zone state of an owner with the given term."""
        return ZoneState(
            name="z",
            service="engine",
            term=term,
            view=self.view,
            engines=self.engines,
            profile=lambda: PROFILE,
            other_zone_groups=dict,
            traffic_seen=lambda: self.traffic,
            on_change=lambda: None,
            on_superseded=self._supersede,
            create_task=self._create_task,
            zone_count=1,
        )

    def list_servers(self, *missing: str) -> None:
        """Apply a snapshot with the records of all servers but the missing ones."""
        records = []
        for fake in self.engines.servers.values():
            if fake.record.server_id not in missing:
                records.append(
                    server(
                        fake.record.server_id,
                        fake.record.domain,
                        membership=fake.membership,
                        staged=fake.staged,
                        last_model=fake.last_model,
                        leaving=fake.record.leaving,
                        started_at_ms=fake.record.started_at_ms,
                    )
                )
        now_s = asyncio.get_running_loop().time()
        self.view.apply_snapshot(records, after_outage=False, now_s=now_s)

    async def async_run(self, state: ZoneState, until: Callable[[], bool]) -> None:
        """Reconcile until a condition holds. Raises `TimeoutError` after 5 s."""
        for _ in range(500):
            if until():
                return
            reconcile(state)
            await asyncio.sleep(0.01)
        raise TimeoutError("condition did not come true")

    async def async_stop(self) -> None:
        """Cancel all tasks, as the end of the owner's process does."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _supersede(self) -> None:
        self.superseded += 1

    def _create_task(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
