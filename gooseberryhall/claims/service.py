"""Sets up the claims package in the entry program."""

import logging

from ..adapters.exceptions import ObjectStoreUnavailableError, TableUnavailableError
from ..adapters.objects import HttpObjectStore
from ..adapters.table import HttpTable
from ..config.models import Team
from ..core.clock import wall_time_s
from ..core.context import ProgramContext
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .budget import WriteBudget
from .const import DRAIN_TIMEOUT_S, SWEEP_JITTER, SWEEP_PERIOD_S
from .runner import ClaimService
from .sweep import async_sweep

_LOGGER = logging.getLogger(__name__)


def async_setup(ctx: ProgramContext) -> ClaimService:
    """Create the claim service and remove expired claims periodically."""
    state = ctx.runtime.state
    platform = ctx.settings.platform
    table = HttpTable(ctx.session, platform.table_address)
    objects = HttpObjectStore(ctx.session, platform.objects_address)

    def node_write_rate() -> float:
        live_nodes = 1 + len(state.membership.peers)
        return state.config.policy.table_writes_per_s / live_nodes

    service = ClaimService(
        table, objects, WriteBudget(node_write_rate), ctx.settings.node, ctx.incarnation
    )

    async def async_drain() -> None:
        await service.async_drain(DRAIN_TIMEOUT_S)

    async def async_sweep_once() -> None:
        teams = [team.name for team in state.config.of_type(Team)]
        try:
            removed = await async_sweep(table, objects, teams, wall_time_s())
        except (TableUnavailableError, ObjectStoreUnavailableError):
            # Expired claims do no harm; the next sweep retries.
            return
        if removed:
            log_event(
                _LOGGER,
                LogEvent.CLAIMS_REMOVED,
                "expired claims removed",
                claims=removed,
            )

    def start_sweep() -> None:
        ctx.async_create_task(async_sweep_once(), "claims sweep")

    ctx.stack.push_async_callback(async_drain)
    ctx.timer.async_subscribe(SWEEP_PERIOD_S, start_sweep, jitter=SWEEP_JITTER)
    return service
