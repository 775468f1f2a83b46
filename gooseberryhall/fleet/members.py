"""Orders to single servers and probes of their state."""

import asyncio
from collections.abc import Callable, Sequence

from ..telemetry.catalogue import LogEvent
from .const import (
    JOIN_TIMEOUT_FACTOR,
    JOIN_TIMEOUT_MARGIN_S,
    LOAD_POLL_S,
    READY_POLL_S,
    SPARE_GROUP_PREFIX,
    UNRESPONSIVE_BACKOFF_S,
    VIEW_POLL_S,
)
from .exceptions import FormationError
from .models import BackendServer, Group, MemberState, Model
from .orders import ACCEPTED, OrderOutcome, Report
from .plans import REJOIN_S
from .zone import ManagedGroup, ZoneState

# Two without an answer show that a server is unresponsive if others answered before the
# second one; these answers may come during the second.
_MAX_PROBES = 3


async def async_join(
    zone: ZoneState, member: str, create_group: Callable[[], Group], model: Model
) -> None:
    """Make a server a ready member of a group. Raises `FormationError`.

    The group is created when its order is sent, because servers refuse a join whose
    epoch is lower than one that they have seen.
    """
    server = zone.require_server(member)
    needs_load = server.last_model != model.name and model.name not in server.staged
    if not needs_load:
        warm = server.last_model == model.name
        expected_s = REJOIN_S if warm else model.warmup_s
        await _async_join_server(zone, server, create_group(), expected_s, READY_POLL_S)
        return
    await _async_join_server(zone, server, create_group(), model.load_s, LOAD_POLL_S)


async def _async_join_server(
    zone: ZoneState,
    server: BackendServer,
    group: Group,
    expected_s: float,
    poll_s: float,
) -> None:
    loop = asyncio.get_running_loop()
    zone.require_not_evacuated()
    await _async_leave_earlier_group(zone, server)
    outcome = await zone.engines.async_join(server, group, zone.term)
    if outcome is OrderOutcome.NO_ANSWER:
        zone.record_unanswered_order(server, group)
        outcome = await zone.engines.async_join(server, group, zone.term)
    if outcome is OrderOutcome.REFUSED:
        zone.require_not_evacuated()
    if outcome in {OrderOutcome.NO_ANSWER, OrderOutcome.REFUSED}:
        zone.mark_unresponsive(server)
    if outcome not in ACCEPTED:
        await _async_handle_refusal(zone, server, outcome)
        raise FormationError(f"join of {server.server_id}: {outcome}")
    ordered_s = loop.time()
    deadline_s = ordered_s + expected_s * JOIN_TIMEOUT_FACTOR + JOIN_TIMEOUT_MARGIN_S
    # Loads are short before traffic begins, so the first poll comes early.
    next_poll_s = ordered_s + min(expected_s, LOAD_POLL_S)
    misses = 0
    while not zone.is_ready(server.server_id, group):
        zone.require_not_evacuated()
        now_s = loop.time()
        if now_s > deadline_s or server.server_id not in zone.view.servers:
            raise FormationError(f"{server.server_id} did not become ready")
        if now_s >= next_poll_s:
            answered = await zone.async_refresh(server)
            misses = 0 if answered else misses + 1
            if misses > 1:
                zone.mark_unresponsive(server)
                raise FormationError(f"{server.server_id} does not answer")
            next_poll_s = loop.time() + poll_s
            continue
        await asyncio.sleep(VIEW_POLL_S)


async def _async_leave_earlier_group(zone: ZoneState, server: BackendServer) -> None:
    """Remove a server from a group whose leader may still serve.

    An earlier owner may have formed the group, the record of its leader may be missing,
    or the leader may have carried out late orders. Raises `FormationError`.
    """
    # Whatever is known may be outdated: a server may carry out an order late.
    report = await _async_fetch_report(zone, server)
    if report is None:
        zone.mark_unresponsive(server)
        raise FormationError(f"{server.server_id} does not answer")
    membership = report.membership
    if membership is None or membership.group.startswith(SPARE_GROUP_PREFIX):
        return
    if (membership.group, membership.epoch) in zone.retired_groups:
        return
    earlier = Group(membership.group, membership.epoch, "", (server.server_id,))
    outcome = await zone.engines.async_leave(server, earlier, zone.term)
    zone.log(
        LogEvent.EARLIER_GROUP_LEFT,
        "server leaves its group before it joins another",
        server=server.server_id,
        group=membership.group,
        outcome=outcome,
    )
    if outcome not in ACCEPTED:
        await _async_handle_refusal(zone, server, outcome)
        raise FormationError(f"leave of {server.server_id}: {outcome}")


async def _async_handle_refusal(
    zone: ZoneState, server: BackendServer, outcome: OrderOutcome
) -> None:
    if outcome is OrderOutcome.SUPERSEDED:
        zone.on_superseded()
    if outcome is not OrderOutcome.NO_ANSWER:
        await zone.async_refresh(server)


async def async_probe_state(zone: ZoneState, server: BackendServer) -> None:
    """Update the state of a server by a report, if it answers."""
    await zone.async_refresh(server)


async def _async_probe_unresponsive(zone: ZoneState, server: BackendServer) -> None:
    if await zone.async_refresh(server):
        zone.unresponsive.pop(server.server_id, None)


async def async_probe_lapsed(
    zone: ZoneState, managed: ManagedGroup, lapsed: Sequence[str]
) -> None:
    """Mark members without a record as unresponsive if they left their group.

    So does a member that does not answer two probes.
    """
    found = [zone.view.removed_server(member) for member in lapsed]
    try:
        for server in found:
            # A server that asked for a pause is not asked, so it cannot answer.
            if server is None or zone.is_paused(server):
                continue
            report = await _async_fetch_report(zone, server)
            if report is None or not _is_member(report, server, managed.group):
                zone.mark_unresponsive(server)
    finally:
        managed.probing_lapsed = False


def _is_member(report: Report, server: BackendServer, group: Group) -> bool:
    """Return whether the incarnation that was listed reports the group as its own."""
    membership = report.membership
    return (
        report.started_at_ms == server.started_at_ms
        and membership is not None
        and (membership.group, membership.epoch) == (group.name, group.epoch)
        and membership.state is not MemberState.BROKEN
    )


async def async_probe_members(zone: ZoneState, managed: ManagedGroup) -> None:
    """Mark the members of a stalled group as unresponsive if two probes fail."""
    async with asyncio.TaskGroup() as tasks:
        for server in zone.view.last_records(managed.group.members):
            tasks.create_task(_async_probe_member(zone, server))


async def _async_probe_member(zone: ZoneState, server: BackendServer) -> None:
    """Mark a server as unresponsive if it does not answer while others do.

    If no server answers, this VM or its network more likely stands still, and groups
    that are dissolved would lose their streams for nothing.
    """
    if zone.is_paused(server):
        return
    began_s = asyncio.get_running_loop().time()
    others_answer = False
    for _ in range(_MAX_PROBES):
        if await zone.async_refresh(server) is not None:
            return
        # A pause may have ended during this probe, so it alone proves nothing.
        if others_answer:
            zone.mark_unresponsive(server)
            return
        others_answer = zone.latest_answer_s() >= began_s
    zone.log(
        LogEvent.PROBE_INCONCLUSIVE,
        "no server answers; probe proves nothing",
        server=server.server_id,
    )


async def _async_fetch_report(zone: ZoneState, server: BackendServer) -> Report | None:
    """Return the report of a server; ask a second time if there is no answer."""
    return await zone.async_refresh(server) or await zone.async_refresh(server)


def probe_unresponsive(zone: ZoneState, now_s: float) -> None:
    """Probe the unresponsive servers whose backoff has expired."""
    for server_id, (started_at_ms, due_s) in list(zone.unresponsive.items()):
        server = zone.view.servers.get(server_id)
        if server is None or server.started_at_ms != started_at_ms:
            del zone.unresponsive[server_id]
        elif due_s <= now_s:
            zone.unresponsive[server_id] = (
                started_at_ms,
                now_s + UNRESPONSIVE_BACKOFF_S,
            )
            zone.create_task(_async_probe_unresponsive(zone, server))
