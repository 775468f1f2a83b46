"""Promise P8: accepted edits are in force everywhere within 8 s and never revert."""

import asyncio
from typing import Any

import pytest

from standins.cluster import async_wait_for
from standins.http import boot_time_s
from standins.layout import PROGRAMS

from .common import (
    CONFIG_LIMIT_S,
    ZONES,
    System,
    async_run_periodically,
    async_sleep_until,
    node_programs,
    team,
)
from .monitors import RevisionMonitor, async_revision_of

pytestmark = pytest.mark.asyncio(loop_scope="package")

HTTP_CONFLICT = 409
HTTP_TABLE_DOWN = 503
MIN_SAMPLES = 20
# Longer than the period at which control processes read the table.
OBSERVATION_S = 3.0


async def _async_wait_in_force(system: System, revision: int) -> float:
    """Wait until every program of every entry VM has at least a revision in force.

    Return the seconds that it took.
    """

    async def async_everywhere() -> bool:
        programs = node_programs(system.cluster)
        shown = await asyncio.gather(
            *(async_revision_of(system, *item) for item in programs)
        )
        return all(item is not None and item >= revision for item in shown)

    return await async_wait_for(
        async_everywhere, CONFIG_LIMIT_S, f"revision {revision} in force everywhere"
    )


async def _async_declared(system: System) -> dict[str, Any]:
    """Return the rows of the declared objects by "kind/name"."""
    prefix = "config/object/"
    rows = await system.async_rows()
    return {key.removeprefix(prefix): row for key, row in rows.items() if prefix in key}


async def test_racing_edits_on_one_base_lose_nothing(system: System) -> None:
    """Guards against an edit that silently overwrites a concurrent one."""
    first, second = system.cluster.nodes[0], system.cluster.nodes[-1]
    base = await system.async_revision()
    responses = await asyncio.gather(
        system.async_edit(first, base, [team("racer-a")]),
        system.async_edit(second, base, [team("racer-b")]),
    )
    assert sorted(status for status, _ in responses) == [200, HTTP_CONFLICT]
    (_, error), *_ = [item for item in responses if item[0] == HTTP_CONFLICT]
    winner, loser = (
        ("racer-a", "racer-b") if responses[0][0] == 200 else ("racer-b", "racer-a")
    )
    refused = [item["object"]["name"] for item in error["error"]["operations"]]
    accepted = [
        item["object"]["name"]
        for change in error["error"]["accepted"]
        for item in change["operations"]
    ]
    assert (refused, accepted) == ([loser], [winner])
    status, _ = await system.async_edit(
        second, error["error"]["revision"], [team(loser)]
    )
    assert status == 200
    assert {"team/racer-a", "team/racer-b"} <= (await _async_declared(system)).keys()


async def test_edit_reaches_a_zone_that_is_cut_off_from_the_platform(
    system: System,
) -> None:
    """Guards against a zone that keeps an old configuration while peers reach it."""
    cluster = system.cluster
    for node in cluster.nodes:
        if node.zone == ZONES[1]:
            await cluster.platform_proxies[node.name].async_disconnect()
    revision = await system.async_apply_edit([team("reaches-all")])
    await _async_wait_in_force(system, revision)


async def test_revision_never_falls_during_outages_and_partitions(
    system: System,
) -> None:
    """Guards against a process that reverts to an older configuration."""
    cluster = system.cluster
    monitor = RevisionMonitor(system)
    cut_off, restarted = cluster.nodes[0], cluster.nodes[-1]
    peer_proxies = [
        proxy for pair, proxy in cluster.control_proxies.items() if cut_off.name in pair
    ]
    async with async_run_periodically(monitor.async_sample):
        await cluster.platform_proxies[cut_off.name].async_disconnect()
        await asyncio.gather(*(proxy.async_disconnect() for proxy in peer_proxies))
        base = await system.async_revision()
        other = cluster.nodes[1]
        status, body = await system.async_edit(other, base, [team("unseen")])
        assert status == 200, body
        await system.async_inject_platform_fault(down=True)
        for program in PROGRAMS:
            await cluster.async_restart(restarted.name, program)
        status, _ = await system.async_edit(other, base + 1, [team("refused")])
        assert status == HTTP_TABLE_DOWN
        await async_sleep_until(boot_time_s() + OBSERVATION_S)
        await asyncio.gather(*(proxy.async_restore() for proxy in peer_proxies))
        reconnected_s = boot_time_s()
        await _async_wait_in_force(system, base + 1)
        assert boot_time_s() - reconnected_s <= CONFIG_LIMIT_S
        await system.async_inject_platform_fault(down=False)
        await cluster.platform_proxies[cut_off.name].async_restore()
        revision = await system.async_apply_edit([team("after")])
        assert revision == base + 2
        await _async_wait_in_force(system, revision)
        await async_sleep_until(boot_time_s() + OBSERVATION_S)
    assert monitor.samples > MIN_SAMPLES


async def test_restarted_entry_vm_serves_while_the_platform_is_down(
    system: System,
) -> None:
    """Guards against an entry VM that needs the platform to start.

    It has to receive configuration, groups and evidence from its peers.
    """
    cluster, node = system.cluster, system.cluster.nodes[0]
    revision = await system.async_revision()
    await system.async_inject_platform_fault(
        down=True, vms_down=True, objects_down=True
    )
    for program in PROGRAMS:
        cluster.kill(node.name, program)
    for program in PROGRAMS:
        await cluster.async_restart(node.name, program)
    started_s = boot_time_s()

    async def async_accepts() -> bool:
        url = f"{node.address('entry')}/ready"
        return (await cluster.async_get(url))[0] == 200

    await async_wait_for(async_accepts, CONFIG_LIMIT_S, "the restarted VM is ready")
    sent = await system.async_send(node)
    assert sent.result.outcome == "whole", sent
    assert sent.ended_s - started_s <= CONFIG_LIMIT_S
    await _async_wait_in_force(system, revision)

    async def async_shows_groups() -> bool:
        return bool(await system.async_serving_groups(node))

    remaining_s = started_s + CONFIG_LIMIT_S - boot_time_s()
    await async_wait_for(async_shows_groups, remaining_s, "groups at the admin program")
