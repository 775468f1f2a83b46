"""Runs group planning in the control program."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from result import Ok

from ..adapters.engine import async_send_order
from ..adapters.exceptions import (
    EngineUnavailableError,
    OrderRefusedError,
    StaleFenceError,
)
from ..adapters.table import Conflict, HttpTable, Table, Transaction
from ..core.clock import now_s
from ..core.context import ProgramContext
from ..core.events import Event
from ..exceptions import UnavailableError
from ..links.messages import GroupView, Message
from ..telemetry.logs import log_event
from .const import LEASE_RELEASE_TIMEOUT_S, TICK_PERIOD_S
from .effects import (
    AnnounceGroups,
    CommitDecision,
    OrderOutcome,
    ReadLease,
    ReadZone,
    RecordGroupEvent,
    SendOrder,
    WriteLease,
)
from .events import (
    DecisionCommitted,
    LeaseRead,
    LeaseWritten,
    OrderFinished,
    PlanningStarted,
    PlanningStopped,
    PlanningTick,
    ZoneRead,
)
from .explain import status
from .lease import epoch_key, lease_key
from .measures import export_metrics
from .rows import group_prefix
from .state import GroupsState

_LOGGER = logging.getLogger(__name__)


async def async_setup(
    ctx: ProgramContext,
    send_to_all: Callable[[Message], None],
    table: Table | None = None,
    clock: Callable[[], float] = now_s,
) -> None:
    """Hold leases, plan groups and send orders until the program stops."""
    if table is None:
        table = HttpTable(ctx.session, str(ctx.settings.platform.table_address))
    service = _Service(ctx, table, clock)
    _register_table_effects(service)
    _register_other_effects(service, send_to_all)
    engines = ctx.settings.engines
    ctx.runtime.async_dispatch(
        PlanningStarted(ctx.incarnation, engines.refuse_old_fence)
    )
    unsubscribe = ctx.timer.async_subscribe(
        TICK_PERIOD_S, lambda: ctx.runtime.async_dispatch(PlanningTick()), jitter=0.1
    )
    ctx.stack.callback(unsubscribe)
    ctx.ops.add_collector(lambda: export_metrics(ctx.runtime.state, clock()))
    ctx.ops.add_status("groups", lambda: status(ctx.runtime.state, clock()))
    ctx.stack.push_async_callback(_async_stop, service)


@dataclass(frozen=True, slots=True)
class _Service:
    """Context shared by the effect handlers."""

    ctx: ProgramContext
    table: Table
    clock: Callable[[], float]
    lease_tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    @property
    def groups(self) -> GroupsState:
        """Return the state of this package."""
        return self.ctx.runtime.state.groups

    def dispatch(self, event: Event) -> None:
        """Dispatch an event to the reducer."""
        self.ctx.runtime.async_dispatch(event)

    def may_act(self, zone: str, epoch_version: int) -> bool:
        """Return whether the lease under which an effect was decided is still held.

        Check this right before each send, because the process may have been paused
        since the decision.
        """
        lease = self.groups.leases.get(zone)
        return (
            lease is not None
            and lease.epoch_version == epoch_version
            and lease.is_held(self.clock())
        )


def _register_table_effects(service: _Service) -> None:
    ctx = service.ctx

    def read_lease(effect: ReadLease) -> None:
        ctx.async_create_task(_async_read_lease(service, effect), "lease_read")

    def write_lease(effect: WriteLease) -> None:
        task = ctx.async_create_task(_async_write_lease(service, effect), "lease_write")
        service.lease_tasks.add(task)
        task.add_done_callback(service.lease_tasks.discard)

    def read_zone(effect: ReadZone) -> None:
        ctx.async_create_task(_async_read_zone(service, effect), "zone_read")

    def commit(effect: CommitDecision) -> None:
        ctx.async_create_task(_async_commit(service, effect), "decision_commit")

    ctx.runtime.register(ReadLease, read_lease)
    ctx.runtime.register(WriteLease, write_lease)
    ctx.runtime.register(ReadZone, read_zone)
    ctx.runtime.register(CommitDecision, commit)


def _register_other_effects(
    service: _Service, send_to_all: Callable[[Message], None]
) -> None:
    ctx = service.ctx

    def send_order(effect: SendOrder) -> None:
        ctx.async_create_task(_async_send_order(service, effect), "order")

    def announce(effect: AnnounceGroups) -> None:
        plan_state = service.groups.plans.get(effect.zone)
        if plan_state is not None and plan_state.rows is not None:
            groups = tuple(row.group for row in plan_state.rows.values())
            send_to_all(
                GroupView(zone=effect.zone, revision=plan_state.revision, groups=groups)
            )

    def record_event(effect: RecordGroupEvent) -> None:
        fields = dict(effect.fields)
        log_event(_LOGGER, effect.event, effect.message, **fields)
        ctx.ops.timeline.record(effect.event.name.lower(), **fields)

    ctx.runtime.register(SendOrder, send_order)
    ctx.runtime.register(AnnounceGroups, announce)
    ctx.runtime.register(RecordGroupEvent, record_event)


async def _async_read_lease(service: _Service, effect: ReadLease) -> None:
    try:
        lease_row = await service.table.async_read(lease_key(effect.zone))
        epoch_row = None
        if effect.with_epoch:
            epoch_row = await service.table.async_read(epoch_key(effect.zone))
    except UnavailableError:
        service.dispatch(LeaseRead(effect.zone, ok=False))
        return
    service.dispatch(
        LeaseRead(effect.zone, True, effect.with_epoch, lease_row, epoch_row)
    )


async def _async_write_lease(service: _Service, effect: WriteLease) -> None:
    revision, conflict = await _async_try_commit(service, effect.transaction)
    service.dispatch(
        LeaseWritten(
            effect.zone, effect.transaction, effect.decided_s, revision, conflict
        )
    )


async def _async_try_commit(
    service: _Service, transaction: Transaction
) -> tuple[int | None, Conflict | None]:
    """Return the revision or the conflict, or neither if the outcome is unknown."""
    try:
        written = await service.table.async_commit(transaction)
    except UnavailableError:
        return None, None
    if isinstance(written, Ok):
        return written.ok_value, None
    return None, written.err_value


async def _async_read_zone(service: _Service, effect: ReadZone) -> None:
    try:
        snapshot = await service.table.async_read_prefix(group_prefix(effect.zone))
    except UnavailableError:
        snapshot = None
    service.dispatch(ZoneRead(effect.zone, effect.epoch_version, snapshot))


async def _async_commit(service: _Service, effect: CommitDecision) -> None:
    revision = conflict = None
    if service.may_act(effect.zone, effect.epoch_version):
        revision, conflict = await _async_try_commit(service, effect.transaction)
    service.dispatch(
        DecisionCommitted(effect.zone, effect.epoch_version, revision, conflict)
    )


async def _async_send_order(service: _Service, effect: SendOrder) -> None:
    outcome, error = OrderOutcome.LEASE_LAPSED, ""
    if service.may_act(effect.zone, effect.epoch_version):
        outcome, error = await _async_try_order(service, effect)
    order = effect.order
    service.dispatch(OrderFinished(effect.zone, order.vm, order.fence, outcome, error))


async def _async_try_order(
    service: _Service, effect: SendOrder
) -> tuple[OrderOutcome, str]:
    ctx = service.ctx
    try:
        await async_send_order(
            ctx.session, effect.order, ctx.settings.engines.order_token
        )
    except StaleFenceError as exc:
        return OrderOutcome.STALE_FENCE, str(exc)
    except OrderRefusedError as exc:
        return OrderOutcome.REFUSED, str(exc)
    except EngineUnavailableError as exc:
        return OrderOutcome.UNAVAILABLE, str(exc)
    return OrderOutcome.ACCEPTED, ""


async def _async_stop(service: _Service) -> None:
    """Release the leases and wait for these writes before the program ends."""
    service.dispatch(PlanningStopped())
    deadline_s = service.clock() + LEASE_RELEASE_TIMEOUT_S
    while service.lease_tasks and service.clock() < deadline_s:
        remaining_s = max(deadline_s - service.clock(), 0.0)
        await asyncio.wait(service.lease_tasks, timeout=remaining_s)
