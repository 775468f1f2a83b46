"""Platform outage, restart of all entry VMs and rollout of a model version."""

import asyncio
from typing import Any

import pytest

from standins.cluster import async_wait_for
from standins.http import boot_time_s

from .common import (
    GROUPS,
    MIN_GROUPS,
    SERVE_LIMIT_S,
    SentChat,
    System,
    async_run_periodically,
    async_sleep_until,
    group_spec,
    node_programs,
)
from .monitors import RevisionMonitor, async_revision_of

pytestmark = pytest.mark.asyncio(loop_scope="package")

# Stands for an outage of an hour: it exceeds every timeout that an outage can reach.
OUTAGE_S = 30.0
RECOVERY_S = 8.0
READS_PER_S = 2000
WRITES_PER_S = 300
REQUEST_PERIOD_S = 0.2
FIRST_GROUP_LIMIT_S = 15.0
WINDOW_S = 1.0


def _failed_outcomes(sent: list[SentChat]) -> list[str]:
    return [
        f"{item.node}: {item.result.outcome} {item.result.error}"
        for item in sent
        if item.result.outcome != "whole"
    ]


async def _async_measure_table_rates(
    system: System, duration_s: float
) -> list[tuple[float, float]]:
    """Return the table's reads and writes per second in each window."""
    rates: list[tuple[float, float]] = []
    address = system.cluster.platform_address
    before, before_s = await system.cluster.async_records(address), boot_time_s()
    end_s = before_s + duration_s
    while boot_time_s() < end_s:
        await async_sleep_until(before_s + WINDOW_S)
        current_records, now_s = (
            await system.cluster.async_records(address),
            boot_time_s(),
        )
        spent_s = now_s - before_s
        rates.append(
            (
                (current_records["reads"] - before["reads"]) / spent_s,
                (
                    current_records["writes"]
                    + current_records["conflicts"]
                    - before["writes"]
                    - before["conflicts"]
                )
                / spent_s,
            )
        )
        before, before_s = current_records, now_s
    return rates


async def test_platform_outage_stops_no_idempotent_request(system: System) -> None:
    """Guards against requests, groups and revisions that depend on the platform.

    Also guards against processes that together overload the table after the outage.
    """
    cluster = system.cluster
    groups = await system.async_groups()
    monitor = RevisionMonitor(system)
    reads: list[Any] = []

    async def async_read() -> None:
        reads.extend(await asyncio.gather(*(map(system.async_read_fan, cluster.nodes))))

    async with (
        async_run_periodically(monitor.async_sample, WINDOW_S),
        async_run_periodically(async_read, REQUEST_PERIOD_S),
        system.async_send_chats_continuously(cluster.nodes, REQUEST_PERIOD_S) as sent,
    ):
        await system.async_inject_platform_fault(
            down=True, vms_down=True, objects_down=True
        )
        down_s = boot_time_s()
        await async_sleep_until(down_s + OUTAGE_S)
        refused = await system.async_start_fan(cluster.nodes[0], "during-the-outage")
        await system.async_inject_platform_fault(
            down=False, vms_down=False, objects_down=False
        )
        rates = await _async_measure_table_rates(system, RECOVERY_S)
    assert _failed_outcomes(sent) == []
    assert [item for item in reads if item.status != 200] == []
    assert (refused.status, refused.ran) == (503, "no")
    assert await system.async_groups() == groups
    assert max(read for read, _ in rates) < READS_PER_S, rates
    assert max(write for _, write in rates) < WRITES_PER_S, rates


async def test_all_entry_vms_restarted_at_once(system: System) -> None:
    """Guards against a cold start that waits for leases or forms new groups."""
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

    await async_wait_for(async_serves, FIRST_GROUP_LIMIT_S, "the first response")
    first_s = boot_time_s() - started_s
    assert first_s <= FIRST_GROUP_LIMIT_S
    await system.async_wait_serving(FIRST_GROUP_LIMIT_S)
    assert await system.async_groups() == groups
    for node, program in programs:
        assert await async_revision_of(system, node, program) == revision


async def test_rollout_keeps_the_minimum_serving(system: System) -> None:
    """Guards against a rollout that stops groups before their replacements serve."""
    cluster = system.cluster
    fewest = GROUPS

    async def async_count() -> None:
        nonlocal fewest
        views = await asyncio.gather(*map(system.async_serving_groups, cluster.nodes))
        fewest = min(fewest, *(len(view) for view in views))

    async def async_all_new() -> bool:
        groups = (await system.async_groups()).values()
        return [(item.version, item.phase) for item in groups] == [
            ("2", "serving")
        ] * GROUPS

    async with (
        async_run_periodically(async_count),
        system.async_send_chats_continuously(cluster.nodes, REQUEST_PERIOD_S) as sent,
    ):
        await system.async_apply_edit([group_spec("2")])
        await async_wait_for(async_all_new, SERVE_LIMIT_S, "all groups have version 2")
    assert fewest >= MIN_GROUPS
    assert _failed_outcomes(sent) == []
