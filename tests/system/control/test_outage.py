"""Outage of the platform, restart of all entry VMs and rollout of a version."""

import asyncio
from typing import Any

import pytest

from standins.cluster import async_wait_for
from standins.http import boot_time_s

from .common import (
    GROUPS,
    MIN_GROUPS,
    SERVE_LIMIT_S,
    Sent,
    System,
    async_observe_until,
    async_repeating,
    group_spec,
    node_programs,
)
from .watches import RevisionWatch, async_revision_of

pytestmark = pytest.mark.asyncio(loop_scope="package")

# An hour, compressed. Every limit of the system that an outage could hit is shorter.
OUTAGE_S = 30.0
RECOVERY_S = 8.0
READS_PER_S = 2000
WRITES_PER_S = 300
REQUEST_PERIOD_S = 0.2
FIRST_GROUP_LIMIT_S = 15.0
WINDOW_S = 1.0


def _outcomes(sent: list[Sent]) -> list[str]:
    return [
        f"{item.node}: {item.result.outcome} {item.result.error}"
        for item in sent
        if item.result.outcome != "whole"
    ]


async def _async_rates(system: System, duration_s: float) -> list[tuple[float, float]]:
    """Return the table's reads and writes a second in each window."""
    rates: list[tuple[float, float]] = []
    address = system.cluster.platform_address
    before, before_s = await system.cluster.async_records(address), boot_time_s()
    end_s = before_s + duration_s
    while boot_time_s() < end_s:
        await async_observe_until(before_s + WINDOW_S)
        now, now_s = await system.cluster.async_records(address), boot_time_s()
        spent_s = now_s - before_s
        rates.append(
            (
                (now["reads"] - before["reads"]) / spent_s,
                (
                    now["writes"]
                    + now["conflicts"]
                    - before["writes"]
                    - before["conflicts"]
                )
                / spent_s,
            )
        )
        before, before_s = now, now_s
    return rates


async def test_platform_outage_stops_no_idempotent_request(system: System) -> None:
    """Guards against requests, groups and revisions that need the platform.

    After the outage, all processes together must not overload the table.
    """
    cluster = system.cluster
    groups = await system.async_groups()
    revisions = RevisionWatch(system)
    reads: list[Any] = []

    async def async_read() -> None:
        reads.extend(await asyncio.gather(*(map(system.async_read_fan, cluster.nodes))))

    async with (
        async_repeating(revisions.async_sample, WINDOW_S),
        async_repeating(async_read, REQUEST_PERIOD_S),
        system.async_calling(cluster.nodes, REQUEST_PERIOD_S) as sent,
    ):
        await system.async_platform(down=True, vms_down=True, objects_down=True)
        down_s = boot_time_s()
        await async_observe_until(down_s + OUTAGE_S)
        refused = await system.async_start_fan(cluster.nodes[0], "during-the-outage")
        await system.async_platform(down=False, vms_down=False, objects_down=False)
        rates = await _async_rates(system, RECOVERY_S)
    assert _outcomes(sent) == []
    assert [item for item in reads if item.status != 200] == []
    assert (refused.status, refused.ran) == (503, "no")
    assert await system.async_groups() == groups
    assert max(read for read, _ in rates) < READS_PER_S, rates
    assert max(write for _, write in rates) < WRITES_PER_S, rates


async def test_all_entry_vms_restarted_at_once(system: System) -> None:
    """Guards against a cold start that waits for leases or regroups."""
    cluster = system.cluster
    groups = await system.async_groups()
    revision = await system.async_revision()
    programs = node_programs(cluster)
    for node, program in programs:
        cluster.kill(node.name, program)
    started_s = boot_time_s()
    for node, program in programs:
        await cluster.async_restart(node.name, program)

    async def async_serves() -> bool:
        sent = await asyncio.gather(*map(system.async_send, cluster.nodes))
        return any(item.result.outcome == "whole" for item in sent)

    await async_wait_for(async_serves, FIRST_GROUP_LIMIT_S, "the first answer")
    first_s = boot_time_s() - started_s
    assert first_s <= FIRST_GROUP_LIMIT_S
    await system.async_wait_serving(FIRST_GROUP_LIMIT_S)
    assert await system.async_groups() == groups
    for node, program in programs:
        assert await async_revision_of(system, node, program) == revision


async def test_rollout_keeps_the_minimum_serving(system: System) -> None:
    """Guards against a rollout that stops groups before others replace them."""
    cluster = system.cluster
    fewest = GROUPS

    async def async_count() -> None:
        nonlocal fewest
        views = await asyncio.gather(*map(system.async_serving, cluster.nodes))
        fewest = min(fewest, *(len(view) for view in views))

    async def async_all_new() -> bool:
        groups = (await system.async_groups()).values()
        return [(item.version, item.phase) for item in groups] == [
            ("2", "serving")
        ] * GROUPS

    async with (
        async_repeating(async_count),
        system.async_calling(cluster.nodes, REQUEST_PERIOD_S) as sent,
    ):
        await system.async_accept([group_spec("2")])
        await async_wait_for(async_all_new, SERVE_LIMIT_S, "all groups have version 2")
    assert fewest >= MIN_GROUPS
    assert _outcomes(sent) == []
