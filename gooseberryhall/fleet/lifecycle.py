"""Formation and end of groups."""

import asyncio
from typing import Any

from ..telemetry.catalogue import LogEvent
from .const import LEAVE_RETRY_S, OPEN_SLACK_S, READY_POLL_S
from .exceptions import FormationError
from .members import async_join
from .models import EngineProfile, Group, MemberState, Model
from .orders import ACCEPTED, OrderOutcome
from .plans import GroupPlan
from .zone import KnownGroup, Phase, ZoneState


def form_group(zone: ZoneState, profile: EngineProfile, plan: GroupPlan) -> None:
    """Start to form a planned group."""
    model = profile.model(plan.model)
    if model is None:
        return
    epoch = zone.next_epoch()
    group = Group(f"{zone.name}-{epoch}", epoch, plan.model, plan.members)
    leader = zone.view.servers[group.leader]
    domain = zone.domain(group)
    known = KnownGroup(group, Phase.FORMING, leader, domain, may_be_open=False)
    zone.known[group.name, group.epoch] = known
    zone.log(
        LogEvent.GROUP_PLANNED,
        "group is formed",
        group=group.name,
        model=group.model,
        members=list(group.members),
        join_s=plan.join_s,
    )
    zone.create_task(_async_form_group(zone, known, profile, model))


async def _async_form_group(
    zone: ZoneState, known: KnownGroup, profile: EngineProfile, model: Model
) -> None:
    group = known.group
    started_s = asyncio.get_running_loop().time()
    reason = ""
    try:
        async with asyncio.TaskGroup() as tasks:
            for member in group.members:
                join = async_join(zone, member, lambda: group, model)
                tasks.create_task(join)
        await _async_open_group(zone, known, profile)
    except* FormationError as exc:
        reason = "; ".join(str(error) for error in exc.exceptions)
    if reason:
        zone.log(
            LogEvent.GROUP_FAILED,
            "group was not formed",
            group=group.name,
            reason=reason,
        )
        _end_forming(zone, known)
        return
    known.phase = Phase.OPEN
    took_s = asyncio.get_running_loop().time() - started_s
    zone.log(
        LogEvent.GROUP_OPEN,
        "group serves",
        group=group.name,
        model=group.model,
        took_s=round(took_s, 2),
    )
    zone.on_change()


def _end_forming(zone: ZoneState, known: KnownGroup) -> None:
    if known.may_be_open:
        dissolve_group(zone, known, "formation failed")
        return
    key = (known.group.name, known.group.epoch)
    zone.retired.add(key)
    zone.known.pop(key, None)


async def _async_open_group(
    zone: ZoneState, known: KnownGroup, profile: EngineProfile
) -> None:
    """Open a group whose members are all ready. Raises `FormationError`."""
    loop = asyncio.get_running_loop()
    group = known.group
    for member in group.members:
        if not zone.is_ready(member, group):
            raise FormationError(f"{member} is not ready any more")
    known.may_be_open = True
    leader = zone.require(group.leader)
    limit_s = loop.time() + profile.formation_s + OPEN_SLACK_S
    outcome = await zone.engines.async_open(leader, group, zone.term)
    await asyncio.sleep(profile.formation_s)
    while loop.time() < limit_s:
        await zone.async_report(leader)
        server = zone.require(group.leader)
        membership = server.membership
        if membership is not None and membership.state is MemberState.OPEN:
            return
        if outcome not in ACCEPTED:
            outcome = await zone.engines.async_open(leader, group, zone.term)
        await asyncio.sleep(READY_POLL_S)
    raise FormationError(f"open: {outcome}")


def dissolve_group(
    zone: ZoneState, known: KnownGroup, reason: str, **fields: Any
) -> None:
    """Close a group to requests and start to free its members."""
    known.phase = Phase.DISSOLVING
    known.dissolved_s = asyncio.get_running_loop().time()
    zone.log(LogEvent.GROUP_DISSOLVED, reason, group=known.group.name, **fields)
    zone.on_change()
    zone.create_task(_async_dissolve_group(zone, known))


async def _async_dissolve_group(zone: ZoneState, known: KnownGroup) -> None:
    """Free the members of a group.

    A server must not join another group while the head of its own may serve.
    So the head leaves first; members of a head that does not answer leave
    themselves. A head that returns with the group is dissolved again.
    """
    key = (known.group.name, known.group.epoch)
    while key in zone.known:
        if zone.is_unresponsive(known.leader):
            await _async_release_members(zone, known)
        outcome = await zone.engines.async_leave(known.leader, known.group, zone.term)
        if outcome is OrderOutcome.SUPERSEDED:
            zone.on_superseded()
        elif outcome is not OrderOutcome.NO_ANSWER:
            zone.retired.add(key)
            zone.note_left(known.group, known.group.leader)
            break
        if await _async_release_members(zone, known):
            break
        await asyncio.sleep(LEAVE_RETRY_S)
    zone.known.pop(key, None)
    if known.leader.server_id in zone.view.servers:
        await zone.async_report(known.leader)


def is_released(zone: ZoneState, known: KnownGroup) -> bool:
    """Return whether all members that answer have left a dead head."""
    return all(
        member in known.released or member in zone.unresponsive
        for member in known.group.members
    )


async def _async_release_members(zone: ZoneState, known: KnownGroup) -> bool:
    """Let members leave; return whether none is left to free, nor the head."""
    async with asyncio.TaskGroup() as tasks:
        for member in known.group.members[1:]:
            if member not in known.released:
                tasks.create_task(_async_release_member(zone, known, member))
    return _is_leader_gone(zone, known) and known.released.issuperset(
        known.group.members[1:]
    )


async def _async_release_member(
    zone: ZoneState, known: KnownGroup, member: str
) -> None:
    server = zone.view.servers.get(member)
    if server is None:
        known.released.add(member)
        return
    outcome = await zone.engines.async_leave(server, known.group, zone.term)
    if outcome in {OrderOutcome.NO_ANSWER, OrderOutcome.SUPERSEDED}:
        return
    zone.note_left(known.group, member)
    known.released.add(member)


def _is_leader_gone(zone: ZoneState, known: KnownGroup) -> bool:
    """Return whether the store no longer lists this life of the head."""
    server = zone.view.servers.get(known.leader.server_id)
    return server is None or server.started_at_ms != known.leader.started_at_ms
