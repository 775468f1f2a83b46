"""Monitors that check an invariant periodically during a whole test."""

import asyncio
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from .common import System, node_programs

Rows = Mapping[str, Mapping[str, Any]]


@dataclass(slots=True)
class AssignmentMonitor:
    """Checks that no VM is a member of two groups (promise P2)."""

    system: System
    samples: int = 0
    fences: dict[tuple[str, str], int] = field(default_factory=dict)

    async def async_sample(self) -> None:
        """Check the rows of the table and the fencing tokens of the engines."""
        rows = await self.system.async_rows()
        if rows:
            check_assignments(rows)
            self.samples += 1
        await asyncio.gather(
            *(self._async_check_fence(vm.vm) for vm in self.system.cluster.vms)
        )

    async def _async_check_fence(self, vm: str) -> None:
        health = await self.system.async_health(vm)
        if not health:
            return
        key = (vm, health["boot_id"])
        assert health["fence"] >= self.fences.get(key, 0), f"fence of {vm} fell"
        self.fences[key] = health["fence"]


def check_assignments(rows: Rows) -> None:
    """Check that the rows of VMs and of groups are consistent."""
    assigned = {
        key.removeprefix("vm/"): row["value"]["group"]
        for key, row in rows.items()
        if key.startswith("vm/")
    }
    members = [
        (item["vm"], row["value"]["group"])
        for key, row in rows.items()
        if key.startswith("group/")
        for item in row["value"]["members"]
    ]
    shared_vms = [
        vm for vm, count in Counter(vm for vm, _ in members).items() if count > 1
    ]
    assert not shared_vms, f"members of two groups: {shared_vms} in {members}"
    assert dict(members) == assigned


async def async_check_orders(system: System, fencing_zone: str) -> None:
    """Check that engines of a zone accepted no order with a lower fencing token."""
    vms = [vm.vm for vm in system.cluster.vms if vm.zone == fencing_zone]
    for vm in vms:
        records = await system.cluster.async_records(system.cluster.engine_address(vm))
        accepted = [
            order["fence"]
            for order in records["orders"]
            if order["result"] == "accepted"
        ]
        assert accepted == sorted(accepted), f"{vm} ran an old order: {accepted}"


@dataclass(slots=True)
class RevisionMonitor:
    """Checks that no process shows a lower revision than before (promise P8)."""

    system: System
    highest: dict[tuple[str, str, int], int] = field(default_factory=dict)
    samples: int = 0

    async def async_sample(self) -> None:
        """Check the revision of every responsive process."""
        programs = node_programs(self.system.cluster)
        await asyncio.gather(*(self._async_check(*item) for item in programs))
        self.samples += 1

    async def _async_check(self, node: Any, program: str) -> None:
        pid = self.system.cluster.process(node.name, program).pid
        revision = await async_revision_of(self.system, node, program)
        if revision is None:
            return
        # A restarted process starts without a configuration, so its key has the pid.
        key = (node.name, program, pid)
        highest = self.highest.get(key, 0)
        assert revision >= highest, f"{key} reverted from {highest} to {revision}"
        self.highest[key] = revision


async def async_revision_of(system: System, node: Any, program: str) -> int | None:
    """Return the revision in force in a process, or None without a response."""
    status = await system.async_status(node, program)
    return status["config"]["revision"] if "config" in status else None
