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
    control,
    platform_of,
    until,
)

# P1: a group closes within 3 s; its evidence must move to another node before that.
TAKEOVER_LIMIT_S = 3.0
VMS = 20


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    """Return a session for the ops ports."""
    timeout = aiohttp.ClientTimeout(total=2)
    async with aiohttp.ClientSession(timeout=timeout) as created:
        yield created


class Cluster:
    """Three control processes; `c` is named in no settings but its own."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Create a cluster without processes."""
        self.session = session
        self.nodes: dict[str, ControlProcess] = {}

    async def async_start(
        self, stack: AsyncExitStack, folder: Path, platform: Platform
    ) -> None:
        """Start the processes and wait until all know each other."""
        plans = {name: NodePlan(name, "z1") for name in "abc"}
        a, b = plans["a"], plans["b"]
        for name, peers in (("a", [b]), ("b", [a]), ("c", [a])):
            running = control(folder, platform, plans[name], peers)
            self.nodes[name] = await stack.enter_async_context(running)
        await until(self._async_is_complete, START_LIMIT_S)

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

    async def async_holds_fresh(self, node: str, vms: int) -> bool:
        """Return whether a node holds fresh answers of a number of VMs."""
        evidence = await self.async_evidence(node)
        fresh = [
            item
            for item in evidence.values()
            if item["state"] is not None and float(str(item["age_s"])) <= 3.0
        ]
        return len(fresh) == vms


async def test_evidence_reaches_all_and_moves_when_a_node_dies(
    session: aiohttp.ClientSession, tmp_path: Path
) -> None:
    """The probes of a dead node must be taken over before its evidence is stale.

    Also guards against a node that is learned only from settings: `b` does not name
    `c`, but must hold its evidence.
    """
    vms = [FakeVm(f"vm-{number}", "z1") for number in range(VMS)]
    async with platform_of(*vms) as platform, AsyncExitStack() as stack:
        cluster = Cluster(session)
        await cluster.async_start(stack, tmp_path, platform)
        for name in "abc":
            await until(
                partial(cluster.async_holds_fresh, name, VMS),
                START_LIMIT_S,
            )
        shares = [
            (await node.async_membership(session))["probed_vms"]
            for node in cluster.nodes.values()
        ]
        assert sum(shares) == VMS and all(shares)

        await cluster.nodes.pop("c").async_kill()

        async def async_taken_over() -> bool:
            probed = [
                (await node.async_membership(session))["probed_vms"]
                for node in cluster.nodes.values()
            ]
            return sum(probed) == VMS

        await until(async_taken_over, TAKEOVER_LIMIT_S)
        assert await cluster.async_holds_fresh("a", VMS)
        assert await cluster.async_holds_fresh("b", VMS)


async def test_failure_and_restart_are_known_everywhere(
    session: aiohttp.ClientSession, tmp_path: Path
) -> None:
    """A dead or restarted member must be bad evidence on every node within 3 s."""
    vms = [FakeVm("vm-1", "z1"), FakeVm("vm-2", "z1")]
    async with platform_of(*vms) as platform, AsyncExitStack() as stack:
        cluster = Cluster(session)
        await cluster.async_start(stack, tmp_path, platform)
        for name in "abc":
            await until(
                partial(cluster.async_holds_fresh, name, 2),
                START_LIMIT_S,
            )
        vms[0].silent = True
        vms[1].health["boot_id"] = "boot-2"

        async def async_known() -> bool:
            for name in "abc":
                evidence = await cluster.async_evidence(name)
                if evidence["vm-1"]["state"] is not None:
                    return False
                if evidence["vm-2"]["boot_id"] != "boot-2":
                    return False
            return True

        await until(async_known, TAKEOVER_LIMIT_S)


async def test_sigterm_ends_the_process_and_tells_peers(
    session: aiohttp.ClientSession, tmp_path: Path
) -> None:
    """A planned stop must be known to peers at once, not after the silence limit."""
    async with platform_of(FakeVm("vm-1", "z1")) as platform, AsyncExitStack() as stack:
        cluster = Cluster(session)
        await cluster.async_start(stack, tmp_path, platform)
        assert await cluster.nodes["c"].async_stop() == 0
        timeline = await cluster.nodes["a"].async_get(session, "/timeline")
        down = [item for item in timeline["entries"] if item["kind"] == "peer_down"]
        assert [item["fields"]["peer"] for item in down] == ["c"]
        log = cluster.nodes["c"].log.read_text()
        assert "GH1004" in log
        assert "Traceback" not in log
