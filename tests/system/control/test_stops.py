"""P6 and P7: leaving servers get no new work, planned stops interrupt no request."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from standins.cluster import async_wait_for
from standins.http import boot_time_s
from standins.layout import PROGRAMS, NodeLayout

from .common import (
    ARRIVAL_TOLERANCE_S,
    CLOSE_LIMIT_S,
    LONG_TOKENS,
    SERVE_LIMIT_S,
    SentChat,
    System,
    TableGroup,
    async_sleep_until,
    team,
)

pytestmark = pytest.mark.asyncio(loop_scope="package")

OBSERVATION_S = 6.0
STOP_LIMIT_S = 20.0
FAN_DELAY_MS = 3000.0
TABLE_DELAY_MS = 300.0
# A candidate of the zone polls the lease every second, waits for a tick and writes
# once. Without a release of the lease, it would wait 7.6 s.
HANDOVER_LIMIT_S = 4.0
NOTICE_LIMIT_S = 1.0

StreamTasks = list[asyncio.Task[SentChat]]


async def _async_start_streams(system: System) -> tuple[StreamTasks, TableGroup]:
    """Start a long stream through each entry VM; return them and a group with some."""
    tasks = [
        asyncio.create_task(system.async_send(node, LONG_TOKENS))
        for node in system.cluster.nodes
    ]
    busy: list[TableGroup] = []

    async def async_all_run() -> bool:
        groups = (await system.async_groups()).values()
        healths = [await system.async_health(group.leader) for group in groups]
        pairs = [
            (group, health["active"])
            for group, health in zip(groups, healths, strict=True)
        ]
        busy[:] = [group for group, active in pairs if active]
        return sum(active for _, active in pairs) >= len(tasks)

    await async_wait_for(async_all_run, 3.0, "the streams run")
    return tasks, busy[0]


async def _async_check_leaving(
    system: System, announce: Callable[[TableGroup], Awaitable[None]]
) -> None:
    """Check that a group with a leaving member drains without interrupting streams."""
    async with system.async_send_chats_continuously(system.cluster.nodes) as sent:
        tasks, group = await _async_start_streams(system)
        await announce(group)
        leaving_s = boot_time_s()
        await async_sleep_until(leaving_s + OBSERVATION_S)
        finished = await asyncio.gather(*tasks)
        await system.async_wait_closed(group, CLOSE_LIMIT_S)

        async def async_is_drained() -> bool:
            groups = await system.async_groups()
            current = groups.get(group.name)
            return current is None or current.generation != group.generation

        await async_wait_for(async_is_drained, SERVE_LIMIT_S, "the group is drained")
    results = [item.result for item in (*finished, *sent)]
    failed = [
        (result.outcome, result.status, result.error)
        for result in results
        if result.outcome != "whole"
    ]
    assert failed == []
    assert any(item.at_s > leaving_s + CLOSE_LIMIT_S for item in sent)
    arrivals = await system.async_arrivals(group)
    late_s = [at_s - leaving_s for at_s in arrivals]
    assert [late for late in late_s if late > CLOSE_LIMIT_S + ARRIVAL_TOLERANCE_S] == []


async def test_vm_that_leaves_by_its_health_gets_no_new_work(system: System) -> None:
    """Guards against new work for a server that reports that it is leaving."""

    async def async_announce(group: TableGroup) -> None:
        await system.async_inject_engine_fault(group.members[-1], leaving=True)

    await _async_check_leaving(system, async_announce)


async def test_vm_that_leaves_by_the_list_gets_no_new_work(system: System) -> None:
    """Guards against new work for a server that the platform is about to remove."""

    async def async_announce(group: TableGroup) -> None:
        await system.async_inject_platform_fault(
            vm_state={group.members[-1]: "leaving"}
        )

    await _async_check_leaving(system, async_announce)


async def _async_wait_not_ready(system: System, url: str) -> None:
    """Wait until a readiness check fails; its first failure must be status 503."""
    statuses: list[int] = []

    async def async_is_not_ready() -> bool:
        status, _ = await system.cluster.async_get(url)
        statuses.append(status)
        return status != 200

    await async_wait_for(async_is_not_ready, NOTICE_LIMIT_S, f"503 from {url}", 0.01)
    assert statuses[-1] == 503, statuses


async def _async_check_stop(
    system: System, node: NodeLayout, programs: tuple[str, ...]
) -> None:
    """Stop programs during streams, a fan command and short requests."""
    cluster = system.cluster
    for program in programs:
        status, _ = await cluster.async_get(f"{node.ops_address(program)}/ready")
        assert status == 200, f"{program} is not ready"
    for service in cluster.services:
        await cluster.async_control(service.address, delay_ms=FAN_DELAY_MS)
    key = f"stop-{node.name}-{'-'.join(programs)}"
    async with system.async_send_chats_continuously([node]) as sent:
        streams = [
            asyncio.create_task(system.async_send(node, LONG_TOKENS)) for _ in range(3)
        ]
        command = asyncio.create_task(system.async_start_fan(node, key))

        async def async_is_claimed() -> bool:
            return any(row.startswith("claim/") for row in await system.async_rows())

        await async_wait_for(async_is_claimed, 3.0, "the command is claimed")
        for program in programs:
            cluster.terminate(node.name, program)
        if "entry" in programs:
            for address in (node.address("entry"), node.ops_address("entry")):
                await _async_wait_not_ready(system, f"{address}/ready")
        finished = await asyncio.gather(*streams)
        response = await command
    for program in programs:
        process = cluster.process(node.name, program)
        assert await process.async_wait_ended(STOP_LIMIT_S) == 0, process.log_tail()
    assert response.status == 200, response
    assert [item.result.outcome for item in finished] == ["whole"] * len(finished)
    refused = [item.result for item in sent if item.result.outcome != "whole"]
    assert [
        item for item in refused if (item.outcome, item.ran) != ("refused", "no")
    ] == []
    assert "entry" in programs or refused == []
    runs = [
        run
        for service in cluster.services
        for run in (await cluster.async_records(service.address))["runs"]
        if run["idempotency_key"] == key
    ]
    assert len(runs) <= 1


async def test_stopped_entry_finishes_its_requests(system: System) -> None:
    """Guards against streams and commands that a planned stop interrupts."""
    await _async_check_stop(system, system.cluster.nodes[1], ("entry",))


async def test_stopped_entry_vm_finishes_its_requests(system: System) -> None:
    """Guards against an entry program that needs the control program to drain."""
    await _async_check_stop(system, system.cluster.nodes[1], PROGRAMS)


async def test_stopped_control_hands_its_lease_over(system: System) -> None:
    """Guards against a zone without a planner until a stopped node's lease expires."""
    zone = system.cluster.nodes[0].zone
    holder = system.cluster.node(await system.async_lease_holder(zone))
    started_s = boot_time_s()
    stop = asyncio.create_task(_async_check_stop(system, holder, ("control",)))

    async def async_is_stopping() -> bool:
        return not system.cluster.process(holder.name, "control").is_running

    await async_wait_for(async_is_stopping, STOP_LIMIT_S, "control stops")
    started_s = boot_time_s()

    async def async_has_successor() -> bool:
        row = (await system.async_rows())[f"lease/{zone}"]["value"]
        return row["node"] != holder.name and not row["released"]

    await async_wait_for(async_has_successor, HANDOVER_LIMIT_S, f"lease of {zone}")
    assert boot_time_s() - started_s <= HANDOVER_LIMIT_S
    await stop


async def test_stopped_admin_answers_an_edit_in_flight(system: System) -> None:
    """Guards against a stop that leaves the outcome of an edit unknown."""
    cluster, node = system.cluster, system.cluster.nodes[1]
    base = await system.async_revision()
    await system.async_inject_platform_fault(delay_ms=TABLE_DELAY_MS)
    edit = asyncio.create_task(system.async_edit(node, base, [team("stopping")]))
    reads = (await cluster.async_records(cluster.platform_address))["reads"]

    async def async_has_read() -> bool:
        current_records = await cluster.async_records(cluster.platform_address)
        return bool(current_records["reads"] > reads)

    await async_wait_for(async_has_read, 3.0, "the edit has begun")
    cluster.terminate(node.name, "admin")
    await _async_wait_not_ready(system, f"{node.ops_address('admin')}/ready")
    status, body = await edit
    assert status == 200, body
    process = cluster.process(node.name, "admin")
    assert await process.async_wait_ended(STOP_LIMIT_S) == 0, process.log_tail()
