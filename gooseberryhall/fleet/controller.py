"""Reconciles the groups of a zone with its servers."""

import asyncio
from collections import Counter

from ..core.clock import now_s as boot_time_s
from ..telemetry.catalogue import LogEvent
from .const import (
    DISSOLVE_WAIT_S,
    GROUP_PROBE_PERIOD_S,
    HOLD_AFTER_PAUSE_S,
    LEAVING_GROUP_GRACE_S,
    PAUSE_LIMIT_S,
    REBALANCE_PERIOD_S,
    SPARE_GROUP_PREFIX,
    SUMMARY_PERIOD_S,
)
from .lifecycle import dissolve_group, form_group, is_released
from .loads import count_loads, free_load_slots
from .members import (
    async_probe_lapsed,
    async_probe_members,
    async_probe_state,
    probe_unresponsive,
)
from .models import BackendServer, EngineProfile, Group, MemberState
from .planner import plan_zone
from .plans import ZoneFacts
from .staging import prepare_spare, server_facts, start_staging
from .view import LAPSED_RECORD_GRACE_S
from .zone import GroupKey, ManagedGroup, Phase, ZoneState


def reconcile(zone: ZoneState) -> None:
    """Compare the groups of a zone with its servers and start the necessary orders."""
    profile = zone.profile()
    if profile is None or _is_on_hold(zone):
        return
    now_s = asyncio.get_running_loop().time()
    is_evacuated = zone.is_evacuated()
    if not is_evacuated:
        _probe_contradicted(zone)
    _adopt_groups(zone, profile, now_s)
    for managed in list(zone.groups.values()):
        if managed.phase is Phase.OPEN:
            _check_group(zone, managed, now_s)
    if not is_evacuated:
        _plan_orders(zone, profile, now_s)


def probe_group(zone: ZoneState, leader_id: str) -> None:
    """Probe the members of the group whose leader stalled."""
    if zone.is_evacuated():
        return
    now_s = asyncio.get_running_loop().time()
    for managed in zone.groups.values():
        if managed.group.leader != leader_id or managed.phase is not Phase.OPEN:
            continue
        if now_s - managed.probed_s >= GROUP_PROBE_PERIOD_S:
            managed.probed_s = now_s
            zone.create_task(async_probe_members(zone, managed))


def _is_on_hold(zone: ZoneState) -> bool:
    """Return whether orders are held back because this process was paused."""
    now_s = boot_time_s()
    if zone.last_reconcile_s and now_s - zone.last_reconcile_s > PAUSE_LIMIT_S:
        zone.hold_until_s = now_s + HOLD_AFTER_PAUSE_S
        zone.log(
            LogEvent.OWNER_PAUSED,
            "process was paused; holding back orders",
            paused_s=round(now_s - zone.last_reconcile_s, 2),
        )
    zone.last_reconcile_s = now_s
    return now_s < zone.hold_until_s


def _probe_contradicted(zone: ZoneState) -> None:
    """Probe the servers whose records or reports contradict what is known of them."""
    now_s = asyncio.get_running_loop().time()
    for server in zone.servers():
        if zone.view.take_contradiction(server.server_id, now_s):
            zone.create_task(async_probe_state(zone, server))


def _adopt_groups(zone: ZoneState, profile: EngineProfile, now_s: float) -> None:
    """Adopt the groups that an earlier owner left or that late orders revived."""
    incomplete_since_s: dict[GroupKey, float] = {}
    zone.reserved = set()
    for group, states in zone.view.groups(zone.name):
        key = (group.name, group.epoch)
        leader = zone.view.servers[group.leader]
        if leader.zone != zone.name or leader.service != zone.service:
            continue
        if key in zone.groups or key in zone.retired_groups:
            continue
        if group.name.startswith(SPARE_GROUP_PREFIX):
            continue
        model = profile.model(group.model)
        complete = model is not None and len(group.members) == model.size
        since_s = zone.incomplete_since_s.get(key, now_s)
        if not complete and now_s - since_s < LAPSED_RECORD_GRACE_S:
            # The records of members may have lapsed during a store outage and return.
            incomplete_since_s[key] = since_s
            zone.reserved.update(group.members)
            continue
        _adopt_group(zone, group, states[0], leader, complete=complete)
    zone.incomplete_since_s = incomplete_since_s


def _adopt_group(
    zone: ZoneState,
    group: Group,
    state: MemberState,
    leader: BackendServer,
    *,
    complete: bool,
) -> None:
    managed = ManagedGroup(
        group, Phase.OPEN, leader, zone.group_domain(group), may_be_open=True
    )
    zone.groups[group.name, group.epoch] = managed
    # Orders of the earlier owner may not have been answered.
    zone.revivable_groups.add((group.name, group.epoch))
    zone.log(
        LogEvent.GROUP_ADOPTED,
        "adopted group that this owner did not manage",
        group=group.name,
        head_state=state,
        whole=complete,
    )
    if not complete or state is not MemberState.OPEN:
        dissolve_group(zone, managed, "adopted group is incomplete or not open")
    else:
        zone.on_change()


def _check_group(zone: ZoneState, managed: ManagedGroup, now_s: float) -> None:
    """Dissolve a group that lost a member or is about to lose one.

    The record of a server that cannot reach the store lapses although it serves on. If
    many records lapse at once, the streams of all their groups would have to move to
    the others at the same time. So a member without a record is probed, and its group
    serves until the member does not answer, or until the streams of a leader without a
    record had time to end.
    """
    lost = [
        member for member in managed.group.members if _is_lost(zone, managed, member)
    ]
    if lost:
        dissolve_group(zone, managed, "member lost", lost=lost)
        return
    servers = zone.view.servers
    lapsed = [member for member in managed.group.members if member not in servers]
    # A member that said that it leaves may remove its record before it stops.
    members = zone.view.last_records(managed.group.members)
    leaves = managed.group.leader in lapsed or any(map(zone.is_leaving, members))
    if lapsed and now_s - managed.lapsed_probed_s >= GROUP_PROBE_PERIOD_S:
        managed.lapsed_probed_s = now_s
        managed.probing_lapsed = True
        zone.create_task(async_probe_lapsed(zone, managed, lapsed))
    if not leaves:
        managed.leaving_since_s = None
        return
    managed.leaving_since_s = managed.leaving_since_s or now_s
    if now_s - managed.leaving_since_s > LEAVING_GROUP_GRACE_S:
        dissolve_group(zone, managed, "member is leaving")


def _is_lost(zone: ZoneState, managed: ManagedGroup, member: str) -> bool:
    server = zone.view.servers.get(member)
    if server is None:
        lapsed = zone.view.removed_server(member)
        # The servers of an evacuated zone are not probed.
        return lapsed is None or zone.is_unresponsive(lapsed) or zone.is_evacuated()
    if zone.is_unresponsive(server):
        return True
    membership = server.membership
    if membership is None:
        return True
    same = (membership.group, membership.epoch) == (
        managed.group.name,
        managed.group.epoch,
    )
    return not same or membership.state is MemberState.BROKEN


def _plan_orders(zone: ZoneState, profile: EngineProfile, now_s: float) -> None:
    probe_unresponsive(zone, now_s)
    assigned = {
        member
        for managed in zone.groups.values()
        for member in managed.group.members
        if member not in managed.released
    }
    usable = [
        server
        for server in zone.servers()
        if server.server_id not in zone.reserved
        and not zone.is_leaving(server)
        and not zone.is_paused(server)
        and server.server_id not in zone.unresponsive
    ]
    load_slots = free_load_slots(profile, count_loads(zone), zone.zone_count)
    facts = ZoneFacts(
        zone=zone.name,
        profile=profile,
        free=[
            server_facts(zone, server)
            for server in usable
            if server.server_id not in assigned
        ],
        groups=[
            (managed.group, managed.domain)
            for managed in zone.groups.values()
            if managed.phase is not Phase.DISSOLVING
        ],
        other_zone_groups=zone.other_zone_groups(),
        traffic_seen=zone.traffic_seen(),
        members=[
            server_facts(zone, server)
            for server in usable
            if server.server_id in assigned
        ],
        dissolving_domains=frozenset(
            managed.domain
            for managed in zone.groups.values()
            if managed.probing_lapsed
            or (
                managed.phase is Phase.DISSOLVING
                and now_s - managed.dissolved_s < DISSOLVE_WAIT_S
                and not is_released(zone, managed)
            )
        ),
        load_slots=load_slots,
    )
    plan = plan_zone(facts)
    for group_plan in plan.groups:
        form_group(zone, profile, group_plan)
    for spare_plan in plan.spares:
        prepare_spare(zone, profile, spare_plan)
    for group in plan.dissolved:
        _rebalance_group(zone, group, now_s)
    _log_summary(zone, facts, now_s)
    start_staging(zone, profile, load_slots - len(plan.spares))


def _log_summary(zone: ZoneState, facts: ZoneFacts, now_s: float) -> None:
    """Log the use of the zone's servers, so that idle servers can be explained."""
    if now_s - zone.summary_logged_s < SUMMARY_PERIOD_S:
        return
    zone.summary_logged_s = now_s
    free = Counter(
        f"{server.domain}/{server.last_model or '-'}/"
        f"{'+'.join(sorted(server.staged)) or '-'}/{server.preparing or '-'}"
        for server in facts.free
    )
    zone.log(
        LogEvent.ZONE_SUMMARY,
        "use of the zone's servers",
        groups=Counter(
            f"{managed.group.model}/{managed.phase}" for managed in zone.groups.values()
        ),
        free=free,
        silent=len(zone.unresponsive),
        held=len(zone.reserved),
        staging=len(zone.staging),
    )


def _rebalance_group(zone: ZoneState, group: Group, now_s: float) -> None:
    """Dissolve a group of a model that has many groups, one at a time."""
    managed = zone.groups.get((group.name, group.epoch))
    busy = any(other.phase is not Phase.OPEN for other in zone.groups.values())
    if managed is None or busy or now_s - zone.rebalanced_s < REBALANCE_PERIOD_S:
        return
    zone.rebalanced_s = now_s
    dissolve_group(zone, managed, "another model has too few groups")
