"""Promise P2: no VM belongs to two groups, whatever happens to the lease holders."""

import asyncio

import pytest

from standins.cluster import async_wait_for

from .common import (
    SERVE_LIMIT_S,
    ZONES,
    System,
    async_run_periodically,
)
from .monitors import AssignmentMonitor, async_check_orders

pytestmark = pytest.mark.asyncio(loop_scope="package")

# Lease of 6 s x 1.1 + 1 s, a poll of the lease every second and one write.
TAKEOVER_LIMIT_S = 10.0
LOST_RESPONSES = 12
MIN_SAMPLES = 20
TABLE_DELAY_MS = 300.0


async def _async_wait_new_holder(system: System, zone: str, former: str) -> None:
    async def async_has_changed() -> bool:
        return await system.async_lease_holder(zone) not in ("", former)

    await async_wait_for(async_has_changed, TAKEOVER_LIMIT_S, f"lease of {zone}")


async def _async_considers_itself_holder(system: System, zone: str, node: str) -> bool:
    """Return whether a node believes that it holds the lease of a zone."""
    status = await system.async_status(system.cluster.node(node), "control")
    return bool(status["groups"]["leases"][zone]["held"])


async def _async_restart_a_member_of_each_zone(system: System) -> set[tuple[str, int]]:
    """Make each zone release a group and form another; return the released ones."""
    groups = sorted((await system.async_groups()).values(), key=lambda item: item.name)
    chosen = {group.zone: group for group in groups}
    for group in chosen.values():
        await system.cluster.async_restart(group.members[-1])
    return {(group.name, group.generation) for group in chosen.values()}


async def test_lease_holders_paused_beyond_their_lease(system: System) -> None:
    """Guards against a former lease holder that still assigns VMs after a pause.

    The engines of one zone refuse stale fencing tokens, those of the other do not. The
    table is slow, so that the lease holders are paused during their transactions.
    """
    cluster = system.cluster
    holders = {zone: await system.async_lease_holder(zone) for zone in ZONES}
    monitor = AssignmentMonitor(system)
    async with async_run_periodically(monitor.async_sample):
        await system.async_inject_platform_fault(delay_ms=TABLE_DELAY_MS)
        released_generations = await _async_restart_a_member_of_each_zone(system)
        records = await cluster.async_records(cluster.platform_address)

        async def async_has_written() -> bool:
            current_records = await cluster.async_records(cluster.platform_address)
            return bool(current_records["writes"] >= records["writes"] + 2)

        await async_wait_for(async_has_written, SERVE_LIMIT_S, "transactions")
        for holder in set(holders.values()):
            cluster.pause(holder, "control")
        await system.async_inject_platform_fault(delay_ms=0.0)
        for zone, holder in holders.items():
            await _async_wait_new_holder(system, zone, holder)
        for holder in set(holders.values()):
            cluster.resume(holder, "control")
        await system.async_wait_settled()
        await system.async_wait_serving(excluded_generations=released_generations)
    assert monitor.samples > MIN_SAMPLES
    await async_check_orders(system, fencing_zone=ZONES[0])


async def test_lost_answers_of_the_table_while_groups_form(system: System) -> None:
    """Guards against a second assignment after a write whose response was lost."""
    monitor = AssignmentMonitor(system)
    async with async_run_periodically(monitor.async_sample):
        await system.async_inject_platform_fault(lose_answers=LOST_RESPONSES)
        released_generations = await _async_restart_a_member_of_each_zone(system)
        await asyncio.sleep(1.0)
        await system.async_inject_platform_fault(lose_answers=LOST_RESPONSES)
        await system.async_wait_settled()
        await system.async_wait_serving(excluded_generations=released_generations)
    assert monitor.samples > MIN_SAMPLES
    await async_check_orders(system, fencing_zone=ZONES[0])


async def test_holder_cut_off_from_the_platform_keeps_running(system: System) -> None:
    """Guards against two nodes that act as lease holders of a zone at the same time.

    The former holder still reaches the engines, so only the expiry of its lease keeps
    it from sending orders while the new holder forms groups.
    """
    cluster, zone = system.cluster, ZONES[0]
    former = await system.async_lease_holder(zone)
    monitor = AssignmentMonitor(system)
    concurrent_holders: list[str] = []

    async def async_sample_holders() -> None:
        names = [node.name for node in cluster.nodes if node.zone == zone]
        holders = [
            name
            for name in names
            if await _async_considers_itself_holder(system, zone, name)
        ]
        if len(holders) > 1:
            concurrent_holders.extend(holders)

    async with (
        async_run_periodically(monitor.async_sample),
        async_run_periodically(async_sample_holders),
    ):
        await cluster.platform_proxies[former].async_disconnect()
        released_generations = await _async_restart_a_member_of_each_zone(system)
        await _async_wait_new_holder(system, zone, former)
        await system.async_wait_serving(excluded_generations=released_generations)
        await cluster.platform_proxies[former].async_restore()
        await system.async_wait_settled()
    assert concurrent_holders == []
    assert monitor.samples > MIN_SAMPLES
    await async_check_orders(system, fencing_zone=zone)
