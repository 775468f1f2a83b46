"""Promise P1: no group serves while one of its members is missing."""

import asyncio

import pytest

from standins.cluster import async_wait_for
from standins.http import boot_time_s

from .common import (
    ARRIVAL_TOLERANCE_S,
    CLOSE_LIMIT_S,
    GROUPS,
    SERVE_LIMIT_S,
    System,
    TableGroup,
    async_sleep_until,
)

pytestmark = pytest.mark.asyncio(loop_scope="package")

PAUSE_S = 5.0
REOPEN_LIMIT_S = 5.0


def _late_arrivals(arrivals: list[float], fault_s: float, end_s: float) -> list[float]:
    """Return the delays of requests that arrived too long after the fault.

    Arrivals within the allowed time after `fault_s` or from `end_s` on do not count.
    """
    first_s = fault_s + CLOSE_LIMIT_S + ARRIVAL_TOLERANCE_S
    return [at_s - fault_s for at_s in arrivals if first_s <= at_s < end_s]


async def _async_wait_for_requests(system: System, group: TableGroup) -> None:
    """Wait until requests reach the group; without any, the test proves nothing."""

    async def async_has_arrivals() -> bool:
        return bool(await system.async_arrivals(group))

    await async_wait_for(async_has_arrivals, 5.0, f"requests reach {group.leader}")


async def test_killed_member_closes_its_group_which_is_replaced(
    system: System,
) -> None:
    """Guards against requests to a group whose member was killed."""
    group = await system.async_group_with_spare()
    async with system.async_send_chats_continuously(system.cluster.nodes):
        await _async_wait_for_requests(system, group)
        system.cluster.kill(group.members[-1])
        fault_s = boot_time_s()
        await system.async_wait_closed(group, CLOSE_LIMIT_S)
        lost_generation = (group.name, group.generation)
        await system.async_wait_serving(excluded_generations=[lost_generation])
        await async_sleep_until(fault_s + PAUSE_S)
        end_s = boot_time_s()
    assert _late_arrivals(await system.async_arrivals(group), fault_s, end_s) == []


async def test_paused_member_reopens_the_same_group(system: System) -> None:
    """Guards against serving without a paused member and against a needless regroup.

    The member keeps its boot id, so the group has to reopen by evidence alone.
    """
    groups = await system.async_groups()
    group = min(groups.values(), key=lambda item: item.name)
    member = group.members[-1]
    async with system.async_send_chats_continuously(system.cluster.nodes):
        await _async_wait_for_requests(system, group)
        system.cluster.pause(member)
        fault_s = boot_time_s()
        await system.async_wait_closed(group, CLOSE_LIMIT_S)
        await async_sleep_until(fault_s + PAUSE_S)
        end_s = boot_time_s()
        system.cluster.resume(member)
        await system.async_wait_serving(REOPEN_LIMIT_S)

        async def async_is_used() -> bool:
            return any(at_s > end_s for at_s in await system.async_arrivals(group))

        await async_wait_for(async_is_used, REOPEN_LIMIT_S, "the group is used again")
    assert _late_arrivals(await system.async_arrivals(group), fault_s, end_s) == []


async def test_member_restarted_with_empty_memory_is_another_member(
    system: System,
) -> None:
    """Guards against a group that keeps serving although a member lost its memory.

    The member is back before it counts as unresponsive, so only its boot id shows the
    restart.
    """
    group = await system.async_group_with_spare()
    member = group.members[-1]
    boot_id = (await system.async_health(member))["boot_id"]
    async with system.async_send_chats_continuously(system.cluster.nodes):
        await _async_wait_for_requests(system, group)
        fault_s = boot_time_s()
        await system.cluster.async_restart(member)
        await system.cluster.async_wait_ready(member)
        await system.async_wait_closed(group, CLOSE_LIMIT_S)
        await system.async_wait_serving(
            excluded_generations=[(group.name, group.generation)]
        )
        await async_sleep_until(fault_s + PAUSE_S)
        end_s = boot_time_s()
    assert (await system.async_health(member))["boot_id"] != boot_id
    assert _late_arrivals(await system.async_arrivals(group), fault_s, end_s) == []


async def test_lost_fabric_domain_leaves_the_others_serving(system: System) -> None:
    """Guards against a lost fabric domain that affects other groups or new requests."""
    cluster = system.cluster
    group = await system.async_group_with_spare()
    domain = {vm.vm: vm.fabric_domain for vm in cluster.vms}
    lost_vms = [vm for vm in domain if domain[vm] == domain[group.leader]]
    others = {
        (item.name, item.generation)
        for item in (await system.async_groups()).values()
        if not set(item.members) & set(lost_vms)
    }
    for vm in lost_vms:
        cluster.kill(vm)
    await system.async_wait_closed(group, CLOSE_LIMIT_S)
    views = await asyncio.gather(*map(system.async_serving_groups, cluster.nodes))
    for view in views:
        visible = {(item["group"], item["generation"]) for item in view.values()}
        assert others <= visible
    responses = await asyncio.gather(*map(system.async_send, cluster.nodes))
    assert [sent.result.outcome for sent in responses] == ["whole"] * len(responses)
    await system.async_wait_serving(SERVE_LIMIT_S, GROUPS)
    views = await asyncio.gather(*map(system.async_serving_groups, cluster.nodes))
    serving = [item for view in views for item in view.values()]
    assert not any(set(item["members"]) & set(lost_vms) for item in serving)
