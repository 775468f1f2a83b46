"""Loads models on servers that are in no group, and second models on hosts."""

import asyncio

from ..telemetry.catalogue import LogEvent
from .const import (
    JOIN_SLACK_FACTOR,
    JOIN_SLACK_S,
    SPARE_GROUP_PREFIX,
    STAGE_POLL_S,
)
from .exceptions import FormationError
from .loads import prepared_model
from .members import async_join
from .models import BackendServer, EngineProfile, Group, MemberState, Model
from .orders import OrderOutcome
from .plans import FreeServer, SparePlan
from .spares import plan_staging
from .zone import ZoneState


def prepare_spare(zone: ZoneState, profile: EngineProfile, plan: SparePlan) -> None:
    """Start to load a model on a free server."""
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
    """Put a second model on the hosts, as far as the weight store is free."""
    servers = [
        describe_server(zone, server)
        for server in zone.members()
        if server.server_id not in zone.staging
        and server.server_id not in zone.preparing
        and server.server_id not in zone.unresponsive
        and not server.leaving
    ]
    for plan in plan_staging(profile, servers):
        # A spare that loads is of use sooner than a second model on a host.
        busy = zone.preparing or zone.staging or load_slots <= 0
        if zone.traffic_seen() and busy:
            return
        model = profile.model(plan.model)
        if model is not None:
            zone.staging.add(plan.server_id)
            zone.create_task(_async_stage(zone, plan.server_id, model))


async def _async_stage(zone: ZoneState, server_id: str, model: Model) -> None:
    """Load a model onto a server's host."""
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
    limit_s = loop.time() + model.load_s * JOIN_SLACK_FACTOR + JOIN_SLACK_S
    while loop.time() < limit_s:
        known = zone.view.servers.get(server_id)
        if known is None or model.name in known.staged:
            return
        await asyncio.sleep(STAGE_POLL_S)


def describe_server(zone: ZoneState, server: BackendServer) -> FreeServer:
    """Return what the planner needs of a server."""
    return FreeServer(
        server_id=server.server_id,
        domain=server.domain,
        last_model=_loaded_model(server),
        staged=server.staged,
        preparing=zone.preparing.get(server.server_id) or prepared_model(server),
    )


def _loaded_model(server: BackendServer) -> str | None:
    """Return the model whose groups the server can join at once."""
    membership = server.membership
    if membership is not None and membership.state is MemberState.JOINING:
        return None
    return server.last_model
