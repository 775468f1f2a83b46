"""Tests of control processes that exchange heartbeats and evidence."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path

import aiohttp
import pytest

from .common import (
    START_LIMIT_S,
    ControlProcess,
    FakeVm,
    NodePlan,
    Platform,
    async_wait_until,
    run_control,
    run_platform,
)

# P1: a group closes within 3 s, so another node must provide its evidence by then.
DETECTION_LIMIT_S = 3.0
VMS = 20


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    """Return a client session for the ops ports."""
    timeout = aiohttp.ClientTimeout(total=2)
    async with aiohttp.ClientSession(timeout=timeout) as created:
        yield created


class Cluster:
    """Three control processes; the settings of `a` and `b` do not list `c`."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Create a cluster without processes."""
        self.session = session
        self.nodes: dict[str, ControlProcess] = {}

    async def async_start(
        self, stack: AsyncExitStack, folder: Path, platform: Platform
    ) -> None:
        """Start the processes and wait until each one is linked to the others."""
        plans = {name: NodePlan(name, "z1") for name in "abc"}
        a, b = plans["a"], plans["b"]
        for name, peers in (("a", [b]), ("b", [a]), ("c", [a])):
            running = run_control(folder, platform, plans[name], peers)
            self.nodes[name] = await stack.enter_async_context(running)
        await async_wait_until(self._async_is_complete, START_LIMIT_S)

    async def _async_is_complete(self) -> bool:
        for name, node in self.nodes.items():
            membership = await node.async_membership(self.session)
            if membership.get("peers") != sorted(self.nodes.keys() - {name}):
                return False
        return True

    async def async_evidence(self, node: str) -> dict[str, dict[str, object]]:
        """Return the evidence that a node holds."""
        membership = await self.nodes[node].async_membership(self.session)
        evidence: dict[str, dict[str, object]] = membership.get("evidence") or {}
        return evidence

    async def async_has_fresh_evidence(self, node: str, vms: int) -> bool:
        """Return whether a node holds fresh evidence of exactly `vms` VMs."""
        evidence = await self.async_evidence(node)
        fresh = [
            item
            for item in evidence.values()
            if item["state"] is not None and float(str(item["age_s"])) <= 3.0
        ]
        return len(fresh) == vms


async def test_probes_of_a_killed_node_are_taken_over(
    session: aiohttp.ClientSession, tmp_path: Path
) -> None:
    """Other nodes must take over the probes of a killed node before evidence is stale.

    Also guards against peers that are found only through settings: those of `b` do not
    list `c`, but `b` must hold the evidence of `c`.
    """
    vms = [FakeVm(f"vm-{number}", "z1") for number in range(VMS)]
    async with run_platform(*vms) as platform, AsyncExitStack() as stack:
        cluster = Cluster(session)
        await cluster.async_start(stack, tmp_path, platform)
        for name in "abc":
            await async_wait_until(
                partial(cluster.async_has_fresh_evidence, name, VMS),
                START_LIMIT_S,
            )
        shares = [
            (await node.async_membership(session))["probed_vms"]
            for node in cluster.nodes.values()
        ]
        assert sum(shares) == VMS and all(shares)

        await cluster.nodes.pop("c").async_kill()

        async def async_are_all_vms_probed() -> bool:
            probed = [
                (await node.async_membership(session))["probed_vms"]
                for node in cluster.nodes.values()
            ]
            return sum(probed) == VMS

        await async_wait_until(async_are_all_vms_probed, DETECTION_LIMIT_S)
        assert await cluster.async_has_fresh_evidence("a", VMS)
        assert await cluster.async_has_fresh_evidence("b", VMS)


async def test_failure_and_restart_reach_every_node(
    session: aiohttp.ClientSession, tmp_path: Path
) -> None:
    """Every node must learn within 3 s that a member is unresponsive or restarted."""
    vms = [FakeVm("vm-1", "z1"), FakeVm("vm-2", "z1")]
    async with run_platform(*vms) as platform, AsyncExitStack() as stack:
        cluster = Cluster(session)
        await cluster.async_start(stack, tmp_path, platform)
        for name in "abc":
            await async_wait_until(
                partial(cluster.async_has_fresh_evidence, name, 2),
                START_LIMIT_S,
            )
        vms[0].unresponsive = True
        vms[1].health["boot_id"] = "boot-2"

        async def async_is_evidence_updated() -> bool:
            for name in "abc":
                evidence = await cluster.async_evidence(name)
                if evidence["vm-1"]["state"] is not None:
                    return False
                if evidence["vm-2"]["boot_id"] != "boot-2":
                    return False
            return True

        await async_wait_until(async_is_evidence_updated, DETECTION_LIMIT_S)


async def test_sigterm_stops_the_process_and_notifies_peers(
    session: aiohttp.ClientSession, tmp_path: Path
) -> None:
    """Peers must learn of a planned stop at once, not after the heartbeat timeout."""
    async with (
        run_platform(FakeVm("vm-1", "z1")) as platform,
        AsyncExitStack() as stack,
    ):
        cluster = Cluster(session)
        await cluster.async_start(stack, tmp_path, platform)
        assert await cluster.nodes["c"].async_stop() == 0
        timeline = await cluster.nodes["a"].async_get(session, "/timeline")
        down = [item for item in timeline["entries"] if item["kind"] == "peer_down"]
        assert [item["fields"]["peer"] for item in down] == ["c"]
        log = cluster.nodes["c"].log.read_text()
        assert "GH1004" in log
        assert "Traceback" not in log
