"""Loads of models on free servers, and staging of second models on hosts."""

import asyncio

from ..telemetry.catalogue import LogEvent
from .const import (
    JOIN_TIMEOUT_FACTOR,
    JOIN_TIMEOUT_MARGIN_S,
    SPARE_GROUP_PREFIX,
    STAGE_POLL_S,
)
from .exceptions import FormationError
from .loads import spare_model
from .members import async_join
from .models import BackendServer, EngineProfile, Group, MemberState, Model
from .orders import OrderOutcome
from .plans import ServerFacts, SparePlan
from .spares import plan_staging
from .zone import ZoneState


def prepare_spare(zone: ZoneState, profile: EngineProfile, plan: SparePlan) -> None:
    """Start the load of a model on a free server."""
    model = profile.model(plan.model)
    if model is None:
        return
    zone.preparing[plan.server_id] = plan.model
    zone.create_task(_async_prepare_spare(zone, plan.server_id, model))


async def _async_prepare_spare(zone: ZoneState, server_id: str, model: Model) -> None:
    """Load a model on a free server, in a group that never opens."""

    def create_group() -> Group:
        epoch = zone.next_epoch()
        name = f"{SPARE_GROUP_PREFIX}{model.name}-{epoch}"
        return Group(name, epoch, model.name, (server_id,))

    zone.log(
        LogEvent.SPARE_PREPARED,
        "free server loads a model",
        server=server_id,
        model=model.name,
    )
    try:
        await async_join(zone, server_id, create_group, model)
    except FormationError as exc:
        zone.log(LogEvent.GROUP_FAILED, str(exc), server=server_id)
    finally:
        zone.preparing.pop(server_id, None)


def start_staging(zone: ZoneState, profile: EngineProfile, load_slots: int) -> None:
    """Start to stage second models on hosts, as far as load slots are free."""
    servers = [
        server_facts(zone, server)
        for server in zone.servers()
        if server.server_id not in zone.staging
        and server.server_id not in zone.preparing
        and server.server_id not in zone.unresponsive
        and not zone.is_leaving(server)
        and not zone.is_paused(server)
    ]
    for plan in plan_staging(profile, servers):
        # A spare that loads a model is useful sooner than a second model on a host.
        busy = zone.preparing or zone.staging or load_slots <= 0
        if zone.traffic_seen() and busy:
            return
        model = profile.model(plan.model)
        if model is not None:
            zone.staging.add(plan.server_id)
            zone.create_task(_async_stage(zone, plan.server_id, model))


async def _async_stage(zone: ZoneState, server_id: str, model: Model) -> None:
    """Stage a model on the host of a server."""
    try:
        await _async_stage_host(zone, server_id, model)
    finally:
        zone.staging.discard(server_id)


async def _async_stage_host(zone: ZoneState, server_id: str, model: Model) -> None:
    loop = asyncio.get_running_loop()
    server = zone.view.servers.get(server_id)
    if server is None:
        return
    outcome = await zone.engines.async_stage(server, model.name, zone.term)
    zone.log(
        LogEvent.MODEL_STAGED,
        "host loads a second model",
        server=server_id,
        model=model.name,
        outcome=outcome,
    )
    if outcome is OrderOutcome.SUPERSEDED:
        zone.on_superseded()
    deadline_s = (
        loop.time() + model.load_s * JOIN_TIMEOUT_FACTOR + JOIN_TIMEOUT_MARGIN_S
    )
    while loop.time() < deadline_s:
        current = zone.view.servers.get(server_id)
        if current is None or model.name in current.staged:
            return
        await asyncio.sleep(STAGE_POLL_S)


def server_facts(zone: ZoneState, server: BackendServer) -> ServerFacts:
    """Return the properties of a server for the planner."""
    return ServerFacts(
        server_id=server.server_id,
        domain=server.domain,
        last_model=_loaded_model(server),
        staged=server.staged,
        preparing=zone.preparing.get(server.server_id) or spare_model(server),
    )


def _loaded_model(server: BackendServer) -> str | None:
    """Return the model whose groups the server can join without a load or warm-up."""
    membership = server.membership
    if membership is not None and membership.state is MemberState.JOINING:
        return None
    return server.last_model
