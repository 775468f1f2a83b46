"""Formation and dissolution of groups."""

import asyncio
from typing import Any

from ..telemetry.catalogue import LogEvent
from .const import LEAVE_RETRY_S, OPEN_TIMEOUT_MARGIN_S, READY_POLL_S
from .exceptions import FormationError
from .members import async_join
from .models import BackendServer, EngineProfile, Group, MemberState, Model
from .orders import ACCEPTED, NOT_LEFT, OrderOutcome
from .plans import GroupPlan
from .zone import ManagedGroup, Phase, ZoneState


def form_group(zone: ZoneState, profile: EngineProfile, plan: GroupPlan) -> None:
    """Start the formation of a planned group."""
    model = profile.model(plan.model)
    if model is None:
        return
    epoch = zone.next_epoch()
    group = Group(f"{zone.name}-{epoch}", epoch, plan.model, plan.members)
    leader = zone.view.servers[group.leader]
    domain = zone.group_domain(group)
    managed = ManagedGroup(group, Phase.FORMING, leader, domain, may_be_open=False)
    zone.groups[group.name, group.epoch] = managed
    zone.log(
        LogEvent.GROUP_PLANNED,
        "forming group",
        group=group.name,
        model=group.model,
        members=list(group.members),
        join_s=plan.join_s,
    )
    zone.create_task(_async_form_group(zone, managed, profile, model))


async def _async_form_group(
    zone: ZoneState, managed: ManagedGroup, profile: EngineProfile, model: Model
) -> None:
    group = managed.group
    started_s = asyncio.get_running_loop().time()
    reason = ""
    try:
        async with asyncio.TaskGroup() as tasks:
            for member in group.members:
                join = async_join(zone, member, lambda: group, model)
                tasks.create_task(join)
        await _async_open_group(zone, managed, profile)
    except* FormationError as exc:
        reason = "; ".join(str(error) for error in exc.exceptions)
    if reason:
        zone.log(
            LogEvent.GROUP_FAILED,
            "group was not formed",
            group=group.name,
            reason=reason,
        )
        _abort_formation(zone, managed)
        return
    managed.phase = Phase.OPEN
    took_s = asyncio.get_running_loop().time() - started_s
    zone.log(
        LogEvent.GROUP_OPEN,
        "group serves",
        group=group.name,
        model=group.model,
        took_s=round(took_s, 2),
    )
    zone.on_change()


def _abort_formation(zone: ZoneState, managed: ManagedGroup) -> None:
    if managed.may_be_open:
        dissolve_group(zone, managed, "formation failed")
        return
    key = (managed.group.name, managed.group.epoch)
    zone.retired_groups.add(key)
    zone.groups.pop(key, None)


async def _async_open_group(
    zone: ZoneState, managed: ManagedGroup, profile: EngineProfile
) -> None:
    """Open a group whose members are all ready.

    Raises `FormationError` if a member is not ready, if the leader does not open the
    group in time, or if the zone is evacuated.
    """
    loop = asyncio.get_running_loop()
    group = managed.group
    for member in group.members:
        if not zone.is_ready(member, group):
            raise FormationError(f"{member} is no longer ready")
    zone.require_not_evacuated()
    managed.may_be_open = True
    leader = zone.require_server(group.leader)
    deadline_s = loop.time() + profile.formation_s + OPEN_TIMEOUT_MARGIN_S
    outcome = await _async_order_open(zone, leader, group)
    await asyncio.sleep(profile.formation_s)
    while loop.time() < deadline_s:
        await zone.async_refresh(leader)
        server = zone.require_server(group.leader)
        membership = server.membership
        if membership is not None and membership.state is MemberState.OPEN:
            return
        if outcome not in ACCEPTED:
            zone.require_not_evacuated()
            outcome = await _async_order_open(zone, leader, group)
        await asyncio.sleep(READY_POLL_S)
    raise FormationError(f"open: {outcome}")


async def _async_order_open(
    zone: ZoneState, leader: BackendServer, group: Group
) -> OrderOutcome:
    outcome = await zone.engines.async_open(leader, group, zone.term)
    if outcome is OrderOutcome.NO_ANSWER:
        zone.record_unanswered_order(leader, group)
    return outcome


def dissolve_group(
    zone: ZoneState, managed: ManagedGroup, reason: str, **fields: Any
) -> None:
    """Close a group to requests and start to release its members."""
    managed.phase = Phase.DISSOLVING
    managed.dissolved_s = asyncio.get_running_loop().time()
    zone.log(LogEvent.GROUP_DISSOLVED, reason, group=managed.group.name, **fields)
    zone.on_change()
    zone.create_task(_async_dissolve_group(zone, managed))


async def _async_dissolve_group(zone: ZoneState, managed: ManagedGroup) -> None:
    """Release the members of a group.

    A server must not join another group while the leader of its own may still serve,
    so the leader is ordered to leave first. If the leader is unresponsive, the other
    members are ordered to leave. If such a leader comes back with the group, or carries
    out late orders to join and open it, the group is adopted and dissolved again.
    """
    key = (managed.group.name, managed.group.epoch)
    while key in zone.groups:
        if zone.is_unresponsive(managed.leader):
            await _async_release_members(zone, managed)
        outcome = await zone.engines.async_leave(
            managed.leader, managed.group, zone.term
        )
        if outcome is OrderOutcome.SUPERSEDED:
            zone.on_superseded()
        elif outcome not in NOT_LEFT:
            zone.retire(managed.group)
            zone.apply_leave(managed.group, managed.group.leader)
            break
        if await _async_release_members(zone, managed):
            break
        await asyncio.sleep(LEAVE_RETRY_S)
    zone.groups.pop(key, None)
    if managed.leader.server_id in zone.view.servers:
        await zone.async_refresh(managed.leader)


def is_released(zone: ZoneState, managed: ManagedGroup) -> bool:
    """Return whether all responsive members have left an unresponsive leader."""
    return all(
        member in managed.released or member in zone.unresponsive
        for member in managed.group.members
    )


async def _async_release_members(zone: ZoneState, managed: ManagedGroup) -> bool:
    """Order the members other than the leader to leave.

    Return whether all of them have left and the leader no longer exists.
    """
    async with asyncio.TaskGroup() as tasks:
        for member in managed.group.members[1:]:
            if member not in managed.released:
                tasks.create_task(_async_release_member(zone, managed, member))
    return _is_leader_gone(zone, managed) and managed.released.issuperset(
        managed.group.members[1:]
    )


async def _async_release_member(
    zone: ZoneState, managed: ManagedGroup, member: str
) -> None:
    server = zone.view.servers.get(member)
    if server is None:
        managed.released.add(member)
        return
    outcome = await zone.engines.async_leave(server, managed.group, zone.term)
    if outcome in NOT_LEFT:
        return
    zone.apply_leave(managed.group, member)
    managed.released.add(member)


def _is_leader_gone(zone: ZoneState, managed: ManagedGroup) -> bool:
    """Return whether the store no longer lists this incarnation of the leader."""
    server = zone.view.servers.get(managed.leader.server_id)
    return server is None or server.started_at_ms != managed.leader.started_at_ms
