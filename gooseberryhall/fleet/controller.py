"""Compares a zone's groups with its servers and starts what is needed."""

import asyncio
from collections import Counter

from ..core.clock import now_s as boot_time_s
from ..telemetry.catalogue import LogEvent
from .const import (
    DISSOLVE_WAIT_S,
    EXAMINE_PERIOD_S,
    EXCHANGE_PERIOD_S,
    HOLD_AFTER_PAUSE_S,
    LEAVING_GROUP_S,
    PAUSE_LIMIT_S,
    SPARE_GROUP_PREFIX,
    SUMMARY_PERIOD_S,
)
from .lifecycle import dissolve_group, form_group, is_released
from .loads import count_loads, free_load_slots
from .members import async_examine, probe_unresponsive
from .models import BackendServer, EngineProfile, Group, MemberState
from .planner import plan_zone
from .plans import ZoneFacts
from .staging import describe_server, prepare_spare, start_staging
from .view import LAPSED_RECORD_GRACE_S
from .zone import Key, KnownGroup, Phase, ZoneState


def tick(zone: ZoneState) -> None:
    """Compare the zone's groups with the servers and start what is needed."""
    profile = zone.profile()
    if profile is None or _is_on_hold(zone):
        return
    now_s = asyncio.get_running_loop().time()
    _adopt_groups(zone, profile, now_s)
    for known in list(zone.known.values()):
        if known.phase is Phase.OPEN:
            _check_group(zone, known, now_s)
    _plan_orders(zone, profile, now_s)


def suspect(zone: ZoneState, leader_id: str) -> None:
    """Examine the group of a head that fell silent."""
    now_s = asyncio.get_running_loop().time()
    for known in zone.known.values():
        if known.group.leader != leader_id or known.phase is not Phase.OPEN:
            continue
        if now_s - known.examined_s >= EXAMINE_PERIOD_S:
            known.examined_s = now_s
            zone.create_task(async_examine(zone, known))


def _is_on_hold(zone: ZoneState) -> bool:
    """Return whether this process was paused a moment ago."""
    now_s = boot_time_s()
    if zone.last_tick_s and now_s - zone.last_tick_s > PAUSE_LIMIT_S:
        zone.hold_until_s = now_s + HOLD_AFTER_PAUSE_S
        zone.log(
            LogEvent.OWNER_PAUSED,
            "process was paused; orders wait",
            paused_s=round(now_s - zone.last_tick_s, 2),
        )
    zone.last_tick_s = now_s
    return now_s < zone.hold_until_s


def _adopt_groups(zone: ZoneState, profile: EngineProfile, now_s: float) -> None:
    """Take over groups that an earlier owner left."""
    partial: dict[Key, float] = {}
    zone.held = set()
    for group, states in zone.view.groups():
        key = (group.name, group.epoch)
        leader = zone.view.servers[group.leader]
        if leader.zone != zone.name or leader.service != zone.service:
            continue
        if key in zone.known or key in zone.retired:
            continue
        if group.name.startswith(SPARE_GROUP_PREFIX):
            continue
        model = profile.model(group.model)
        whole = model is not None and len(group.members) == model.size
        since_s = zone.partial.get(key, now_s)
        if not whole and now_s - since_s < LAPSED_RECORD_GRACE_S:
            # Entries of members may have lapsed with the store and return.
            partial[key] = since_s
            zone.held.update(group.members)
            continue
        _adopt_group(zone, group, states[0], leader, whole=whole)
    zone.partial = partial


def _adopt_group(
    zone: ZoneState,
    group: Group,
    state: MemberState,
    leader: BackendServer,
    *,
    whole: bool,
) -> None:
    known = KnownGroup(group, Phase.OPEN, leader, zone.domain(group), may_be_open=True)
    zone.known[group.name, group.epoch] = known
    zone.log(
        LogEvent.GROUP_ADOPTED,
        "group of an earlier owner",
        group=group.name,
        head_state=state,
        whole=whole,
    )
    if not whole or state is not MemberState.OPEN:
        dissolve_group(zone, known, "left unfinished by an earlier owner")
    else:
        zone.on_change()


def _check_group(zone: ZoneState, known: KnownGroup, now_s: float) -> None:
    """Dissolve a group that lost a member or is about to."""
    lost = [member for member in known.group.members if _is_lost(zone, known, member)]
    if lost:
        dissolve_group(zone, known, "member lost", lost=lost)
        return
    if any(zone.view.servers[member].leaving for member in known.group.members):
        known.leaving_since_s = known.leaving_since_s or now_s
        if now_s - known.leaving_since_s > LEAVING_GROUP_S:
            dissolve_group(zone, known, "member leaves")


def _is_lost(zone: ZoneState, known: KnownGroup, member: str) -> bool:
    server = zone.view.servers.get(member)
    if server is None or zone.is_unresponsive(server):
        return True
    membership = server.membership
    if membership is None:
        return True
    same = (membership.group, membership.epoch) == (
        known.group.name,
        known.group.epoch,
    )
    return not same or membership.state is MemberState.BROKEN


def _plan_orders(zone: ZoneState, profile: EngineProfile, now_s: float) -> None:
    probe_unresponsive(zone, now_s)
    taken = {
        member
        for known in zone.known.values()
        for member in known.group.members
        if member not in known.released
    }
    usable = [
        server
        for server in zone.members()
        if server.server_id not in zone.held
        and not server.leaving
        and server.server_id not in zone.unresponsive
    ]
    load_slots = free_load_slots(profile, count_loads(zone), zone.zones)
    facts = ZoneFacts(
        zone=zone.name,
        profile=profile,
        free=[
            describe_server(zone, server)
            for server in usable
            if server.server_id not in taken
        ],
        groups=[
            (known.group, known.domain)
            for known in zone.known.values()
            if known.phase is not Phase.DISSOLVING
        ],
        elsewhere=zone.elsewhere(),
        traffic_seen=zone.traffic_seen(),
        members=[
            describe_server(zone, server)
            for server in usable
            if server.server_id in taken
        ],
        unsettled=frozenset(
            known.domain
            for known in zone.known.values()
            if known.phase is Phase.DISSOLVING
            and now_s - known.dissolved_s < DISSOLVE_WAIT_S
            and not is_released(zone, known)
        ),
        load_slots=load_slots,
    )
    plan = plan_zone(facts)
    for group_plan in plan.groups:
        form_group(zone, profile, group_plan)
    for spare_plan in plan.spares:
        prepare_spare(zone, profile, spare_plan)
    for group in plan.dissolved:
        _exchange_group(zone, group, now_s)
    _summarize(zone, facts, now_s)
    start_staging(zone, profile, load_slots - len(plan.spares))


def _summarize(zone: ZoneState, facts: ZoneFacts, now_s: float) -> None:
    """Log the use of the zone's servers, so that idle ones can be explained."""
    if now_s - zone.summarized_s < SUMMARY_PERIOD_S:
        return
    zone.summarized_s = now_s
    free = Counter(
        f"{server.domain}/{server.last_model or '-'}/"
        f"{'+'.join(sorted(server.staged)) or '-'}/{server.preparing or '-'}"
        for server in facts.free
    )
    zone.log(
        LogEvent.ZONE_SUMMARY,
        "use of the zone's servers",
        groups=Counter(
            f"{known.group.model}/{known.phase}" for known in zone.known.values()
        ),
        free=free,
        silent=len(zone.unresponsive),
        held=len(zone.held),
        staging=len(zone.staging),
    )


def _exchange_group(zone: ZoneState, group: Group, now_s: float) -> None:
    """Dissolve a group of a model that has many, at most one at a time."""
    known = zone.known.get((group.name, group.epoch))
    busy = any(other.phase is not Phase.OPEN for other in zone.known.values())
    if known is None or busy or now_s - zone.exchanged_s < EXCHANGE_PERIOD_S:
        return
    zone.exchanged_s = now_s
    dissolve_group(zone, known, "another model has too few groups")
