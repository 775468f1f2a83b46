"""Probes the health of VMs over persistent connections."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from ..core.clock import now_s
from ..core.context import ProgramContext
from ..exceptions import UnavailableError
from .assignment import ProbeTarget
from .const import (
    FAILURES_TO_REPORT,
    PROBE_DELAY_TOLERANCE_S,
    PROBE_MIN_INTERVAL_S,
    PROBE_PERIOD_S,
    PROBE_TIMEOUT_S,
)
from .metrics import PROBE_BYTES, PROBED_VMS, PROBES
from .models import Evidence, MemberHealth

HealthReader = Callable[[str], Awaitable[tuple[MemberHealth, int]]]


@dataclass(slots=True)
class _Probe:
    """State of the probes of one VM; `failures` counts consecutive failed probes."""

    target: ProbeTarget
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[Any] | None = None
    failures: int = 0


class Prober:
    """Probe a changing set of VMs."""

    def __init__(
        self,
        ctx: ProgramContext,
        read_health: HealthReader,
        on_result: Callable[[Evidence], None],
    ) -> None:
        """Create a prober without targets."""
        self._ctx = ctx
        self._read_health = read_health
        self._on_result = on_result
        self._probes: dict[str, _Probe] = {}
        self.answered = 0
        self.failed = 0
        self.probe_bytes = 0

    def __contains__(self, vm: str) -> bool:
        """Return whether this node probes a VM."""
        return vm in self._probes

    def __len__(self) -> int:
        """Return the number of probed VMs."""
        return len(self._probes)

    def async_set_targets(self, targets: Mapping[str, ProbeTarget]) -> None:
        """Probe exactly these VMs; probe new ones at once."""
        for vm, probe in list(self._probes.items()):
            if targets.get(vm) != probe.target:
                self._stop(vm)
        for vm, target in targets.items():
            if vm not in self._probes:
                self._start(target)

    def collect(self) -> None:
        """Update the metrics of the probes."""
        PROBED_VMS.set({}, len(self._probes))
        PROBES.set({"result": "ok"}, self.answered)
        PROBES.set({"result": "failed"}, self.failed)
        PROBE_BYTES.set({}, self.probe_bytes)

    def async_probe_now(self, vm: str) -> None:
        """Probe a VM before its period ends."""
        probe = self._probes.get(vm)
        if probe is not None:
            probe.wake.set()

    def _start(self, target: ProbeTarget) -> None:
        probe = _Probe(target)
        self._probes[target.vm] = probe
        name = f"probe {target.vm}"
        probe.task = self._ctx.async_create_task(self._async_run(probe), name)

    def _stop(self, vm: str) -> None:
        probe = self._probes.pop(vm)
        if probe.task is not None:
            probe.task.cancel()

    async def _async_run(self, probe: _Probe) -> None:
        # The random time of the second probe spreads VMs that were assigned together
        # over the period.
        pause_s = random.uniform(PROBE_MIN_INTERVAL_S, PROBE_PERIOD_S)
        while True:
            started_s = now_s()
            await self._async_probe(probe, started_s)
            if 0 < probe.failures < FAILURES_TO_REPORT:
                # A stalled connection looks like an unresponsive member; the retry uses
                # a new connection.
                continue
            await _async_pause(probe.wake, started_s + pause_s - now_s())
            pause_s = PROBE_PERIOD_S

    async def _async_probe(self, probe: _Probe, started_s: float) -> None:
        health = await self._async_read(probe.target)
        if (
            health is None
            and now_s() - started_s > PROBE_TIMEOUT_S + PROBE_DELAY_TOLERANCE_S
        ):
            # This process was paused during the probe, so the member may have responded
            # in time.
            return
        if health is None:
            self.failed += 1
            probe.failures += 1
            if probe.failures < FAILURES_TO_REPORT:
                return
        else:
            self.answered += 1
            probe.failures = 0
        # Dated at the start of the probe, which is never later than the response.
        self._on_result(Evidence(probe.target.vm, health, started_s))

    async def _async_read(self, target: ProbeTarget) -> MemberHealth | None:
        try:
            health, size = await self._read_health(target.address)
        except UnavailableError:
            return None
        self.probe_bytes += size
        # The address may have been reassigned to another VM.
        return health if health.vm == target.vm else None


async def _async_pause(wake: asyncio.Event, pause_s: float) -> None:
    """Wait for `pause_s` or until woken, but at least PROBE_MIN_INTERVAL_S."""
    loop = asyncio.get_running_loop()
    due_s = loop.time() + pause_s
    earliest_s = loop.time() + PROBE_MIN_INTERVAL_S
    timer = loop.call_at(max(due_s, earliest_s), wake.set)
    try:
        await wake.wait()
    finally:
        timer.cancel()
        wake.clear()
    if loop.time() < earliest_s:
        await asyncio.sleep(earliest_s - loop.time())
