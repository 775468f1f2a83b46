"""P2: no VM belongs to two groups, whatever happens to the holders of leases."""

import asyncio

import pytest

from standins.cluster import async_wait_for

from .common import (
    SERVE_LIMIT_S,
    ZONES,
    System,
    async_repeating,
)
from .watches import AssignmentWatch, async_check_orders

pytestmark = pytest.mark.asyncio(loop_scope="package")

# 6 s x 1.1 + 1 s, a poll of the lease each second and one write.
TAKEOVER_LIMIT_S = 10.0
LOST_ANSWERS = 12
MIN_SAMPLES = 20
DELAY_MS = 300.0


async def _async_wait_new_holder(system: System, zone: str, former: str) -> None:
    async def async_has_changed() -> bool:
        return await system.async_holder(zone) not in ("", former)

    await async_wait_for(async_has_changed, TAKEOVER_LIMIT_S, f"lease of {zone}")


async def _async_held_by(system: System, zone: str, node: str) -> bool:
    """Return whether a node believes that it may act for a zone."""
    status = await system.async_status(system.cluster.node(node), "control")
    return bool(status["groups"]["leases"][zone]["held"])


async def _async_restart_a_member_of_each_zone(system: System) -> set[tuple[str, int]]:
    """Make each zone release a group and form another one; return the old groups."""
    groups = sorted((await system.async_groups()).values(), key=lambda item: item.name)
    chosen = {group.zone: group for group in groups}
    for group in chosen.values():
        await system.cluster.async_restart(group.members[-1])
    return {(group.name, group.generation) for group in chosen.values()}


async def test_lease_holders_paused_beyond_their_lease(system: System) -> None:
    """Guards against a former holder that goes on assigning VMs after a pause.

    The engines of one zone refuse old fencing numbers, those of the other one do not.
    The table is slow, so that the holders are paused within their transactions.
    """
    cluster = system.cluster
    holders = {zone: await system.async_holder(zone) for zone in ZONES}
    watch = AssignmentWatch(system)
    async with async_repeating(watch.async_sample):
        await system.async_platform(delay_ms=DELAY_MS)
        old = await _async_restart_a_member_of_each_zone(system)
        records = await cluster.async_records(cluster.platform_address)

        async def async_has_written() -> bool:
            now = await cluster.async_records(cluster.platform_address)
            return bool(now["writes"] >= records["writes"] + 2)

        await async_wait_for(async_has_written, SERVE_LIMIT_S, "transactions")
        for holder in set(holders.values()):
            cluster.pause(holder, "control")
        await system.async_platform(delay_ms=0.0)
        for zone, holder in holders.items():
            await _async_wait_new_holder(system, zone, holder)
        for holder in set(holders.values()):
            cluster.resume(holder, "control")
        await system.async_wait_settled()
        await system.async_wait_serving(without=old)
    assert watch.samples > MIN_SAMPLES
    await async_check_orders(system, honouring=ZONES[0])


async def test_lost_answers_of_the_table_while_groups_form(system: System) -> None:
    """Guards against a second assignment after a write whose answer was lost."""
    watch = AssignmentWatch(system)
    async with async_repeating(watch.async_sample):
        await system.async_platform(lose_answers=LOST_ANSWERS)
        old = await _async_restart_a_member_of_each_zone(system)
        await asyncio.sleep(1.0)
        await system.async_platform(lose_answers=LOST_ANSWERS)
        await system.async_wait_settled()
        await system.async_wait_serving(without=old)
    assert watch.samples > MIN_SAMPLES
    await async_check_orders(system, honouring=ZONES[0])


async def test_holder_cut_off_from_the_platform_stays_alive(system: System) -> None:
    """Guards against two holders that act for one zone at the same time.

    The former holder still reaches the engines, so only its lease keeps it from
    sending orders while the new holder forms groups.
    """
    cluster, zone = system.cluster, ZONES[0]
    former = await system.async_holder(zone)
    watch = AssignmentWatch(system)
    both: list[str] = []

    async def async_sample_holders() -> None:
        names = [node.name for node in cluster.nodes if node.zone == zone]
        held = [name for name in names if await _async_held_by(system, zone, name)]
        if len(held) > 1:
            both.extend(held)

    async with (
        async_repeating(watch.async_sample),
        async_repeating(async_sample_holders),
    ):
        await cluster.platform_proxies[former].async_disconnect()
        old = await _async_restart_a_member_of_each_zone(system)
        await _async_wait_new_holder(system, zone, former)
        await system.async_wait_serving(without=old)
        await cluster.platform_proxies[former].async_restore()
        await system.async_wait_settled()
    assert both == []
    assert watch.samples > MIN_SAMPLES
    await async_check_orders(system, honouring=zone)
