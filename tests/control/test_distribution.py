"""Tests of the data that control processes distribute while the table is down."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import aiohttp

from gooseberryhall.config.models import VmLabels
from gooseberryhall.config.operations import Change, PutObject
from gooseberryhall.core.clock import now_s
from gooseberryhall.groups.models import Group, GroupPhase, Member
from gooseberryhall.links.client import async_maintain
from gooseberryhall.links.hub import LinkHub
from gooseberryhall.links.identity import LinkIdentity, Role
from gooseberryhall.links.messages import ConfigChanges, GroupView, MemberFailure
from gooseberryhall.membership.const import PROBE_PERIOD_S

from .common import (
    LINK_SECRET,
    START_LIMIT_S,
    FakeVm,
    NodePlan,
    Platform,
    async_wait_until,
    run_control,
    run_entry_program,
    run_platform,
)

# P8: an accepted configuration is in force everywhere within 8 s, usually 2 s.
CONFIG_LIMIT_S = 8.0
# A group closes when the evidence of a member is older than this.
FAILOVER_LIMIT_S = 3.0


def create_change(revision: int, objects: int = 1) -> Change:
    """Return a change that sets the labels of VMs."""
    operations = tuple(
        PutObject(object=VmLabels(name=f"vm-{revision}-{n}", labels={"rack": "r" * 60}))
        for n in range(objects)
    )
    return Change(revision=revision, actor="test", token="t", operations=operations)


@asynccontextmanager
async def run_linked_hub(plan: NodePlan, role: Role) -> AsyncIterator[LinkHub]:
    """Run a hub that is linked to a control process in a role."""
    identity = LinkIdentity("test", "z1", "r1", role, f"test-{role}", LINK_SECRET)
    hub = LinkHub(identity)
    address = f"ws://127.0.0.1:{plan.port}"
    task = asyncio.create_task(async_maintain([address], identity, hub.handlers))

    async def async_is_open() -> bool:
        # Raises the error of a failed client, which otherwise looks like a slow one.
        if task.done():
            task.result()
        return bool(hub.links())

    try:
        await async_wait_until(async_is_open, START_LIMIT_S)
        yield hub
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def async_revision(session: aiohttp.ClientSession, plan: NodePlan) -> int:
    """Return the revision in force on a control process, or -1 if it is unknown."""
    address = f"http://127.0.0.1:{plan.ops_port}/status"
    try:
        async with session.get(address) as response:
            status = await response.json()
    except aiohttp.ClientError:
        return -1
    return int(status.get("config", {}).get("revision", -1))


async def test_new_node_gets_the_configuration_without_the_table(
    tmp_path: Path,
) -> None:
    """A replaced node must get the configuration from peers while the table is down.

    The configuration exceeds one frame, so it is sent as a snapshot in several parts.
    """
    plans = [NodePlan(name, "z1") for name in "abc"]
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(run_platform())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        for plan, peers in zip(plans[:2], (plans[1:2], plans[:1]), strict=True):
            await stack.enter_async_context(
                run_control(tmp_path, platform, plan, peers)
            )
        hub = await stack.enter_async_context(run_linked_hub(plans[0], Role.ADMIN))
        for revision in range(1, 9):
            hub.async_send(
                ConfigChanges(changes=(create_change(revision, objects=900),))
            )

        async def async_is_in_force(plan: NodePlan, revision: int) -> bool:
            return await async_revision(session, plan) == revision

        await async_wait_until(lambda: async_is_in_force(plans[1], 8), CONFIG_LIMIT_S)
        new_node = run_control(tmp_path, platform, plans[2], plans[:1])
        await stack.enter_async_context(new_node)
        await async_wait_until(lambda: async_is_in_force(plans[2], 8), START_LIMIT_S)
        hub.async_send(ConfigChanges(changes=(create_change(9),)))
        await async_wait_until(lambda: async_is_in_force(plans[2], 9), CONFIG_LIMIT_S)


def create_group(*vms: FakeVm) -> Group:
    """Return a serving group."""
    members = tuple(Member(vm.vm, vm.health["boot_id"], vm.address) for vm in vms)
    return Group("g1", "s1", "z1", "f1", "m", "v", 3, GroupPhase.SERVING, members)


async def test_entry_keeps_fresh_evidence_after_its_control_process_is_killed(
    tmp_path: Path,
) -> None:
    """An entry process must switch links before the evidence of its groups is stale."""
    vm = FakeVm("vm-1", "z1")
    plans = [NodePlan(name, "z1") for name in "ab"]
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(run_platform(vm))
        nodes = [
            await stack.enter_async_context(
                run_control(tmp_path, platform, plan, [peer])
            )
            for plan, peer in zip(plans, reversed(plans), strict=True)
        ]
        ctx, _ = await stack.enter_async_context(
            run_entry_program(platform, plans[0], plans[1:])
        )
        peer = await stack.enter_async_context(run_linked_hub(plans[0], Role.CONTROL))
        groups = (create_group(vm),)
        peer.async_send(GroupView(zone="z1", revision=4, groups=groups))
        state = ctx.runtime.state

        async def async_is_complete() -> bool:
            return "g1" in state.groups.groups and "vm-1" in state.membership.evidence

        await async_wait_until(async_is_complete, START_LIMIT_S)
        await nodes[0].async_kill()
        killed_s = now_s()
        oldest_s = 0.0
        while now_s() - killed_s < 2 * FAILOVER_LIMIT_S:
            evidence = state.membership.evidence["vm-1"]
            oldest_s = max(oldest_s, now_s() - evidence.observed_at_s)
            await asyncio.sleep(0.05)
        assert oldest_s <= FAILOVER_LIMIT_S


async def test_reported_failure_is_probed_at_once(tmp_path: Path) -> None:
    """A failure that an entry process reports must not wait for the next probe."""
    vm = FakeVm("vm-1", "z1")
    plan = NodePlan("a", "z1")
    async with AsyncExitStack() as stack:
        platform: Platform = await stack.enter_async_context(run_platform(vm))
        await stack.enter_async_context(run_control(tmp_path, platform, plan, []))
        hub = await stack.enter_async_context(run_linked_hub(plan, Role.ENTRY))

        async def async_is_probed(count: int) -> bool:
            return vm.probes >= count

        await async_wait_until(lambda: async_is_probed(2), START_LIMIT_S)
        before, started_s = vm.probes, now_s()
        failure = MemberFailure(
            vm="vm-1", boot_id="boot-1", group="g1", generation=3, reason="connect"
        )
        for count in range(1, 6):
            hub.async_send(failure)
            await async_wait_until(
                lambda count=count: async_is_probed(before + count), START_LIMIT_S
            )  # type: ignore[misc]
        # Five periodic probes would take at least four probe periods.
        assert now_s() - started_s < 4 * PROBE_PERIOD_S
