"""Run a cluster of stand-ins and programs."""

import asyncio
import atexit
import tempfile
import time
from collections.abc import Awaitable, Callable, Collection
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Any

import aiohttp

from .http import HOST
from .layout import (
    PROGRAMS,
    ClusterOptions,
    Layout,
    NodeLayout,
    ServiceLayout,
    VmLayout,
    create_layout,
    write_settings,
    write_vms,
)
from .processes import ManagedProcess, ProcessError, ProcessSet
from .proxy import FaultProxy

PLATFORM = "platform"
READY_LIMIT_S = 40.0
POLL_PERIOD_S = 0.05
CALL_TIMEOUT_S = 5.0
# Connections that can be routed through a FaultProxy.
EDGES = ("platform", "control", "engines")

Condition = Callable[[], Awaitable[bool]]


async def async_wait_for(
    condition: Condition,
    limit_s: float,
    description: str,
    period_s: float = POLL_PERIOD_S,
) -> float:
    """Poll until a condition holds; return the seconds waited. Raises ProcessError."""
    start_s = time.monotonic()
    while not await condition():
        if time.monotonic() - start_s > limit_s:
            raise ProcessError(f"not within {limit_s} s: {description}")
        await asyncio.sleep(period_s)
    return time.monotonic() - start_s


class Cluster:
    """A running cluster, as an async context manager.

    `proxied` names the connections that pass through a `FaultProxy`: `platform` (one
    proxy per entry VM), `control` (one per ordered pair of entry VMs) and `engines`
    (one per model VM). If `programs` is empty, only the stand-ins run.
    """

    def __init__(
        self,
        options: ClusterOptions | None = None,
        *,
        proxied: Collection[str] = (),
        programs: Collection[str] = PROGRAMS,
        directory: Path | None = None,
    ) -> None:
        """Choose names and ports; processes start when the context is entered."""
        self.layout: Layout = create_layout(options or ClusterOptions())
        self.platform_proxies: dict[str, FaultProxy] = {}
        self.control_proxies: dict[tuple[str, str], FaultProxy] = {}
        self.engine_proxies: dict[str, FaultProxy] = {}
        self._proxied = frozenset(proxied)
        self._programs = tuple(programs)
        self._given_directory = directory
        self._stack = AsyncExitStack()
        if self._proxied - set(EDGES):
            raise ValueError(f"unknown edges: {sorted(self._proxied - set(EDGES))}")

    async def __aenter__(self) -> "Cluster":
        """Start all processes and wait until they are ready."""
        try:
            await self._async_start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill every process."""
        await self._stack.aclose()

    # Names and addresses

    @property
    def nodes(self) -> tuple[NodeLayout, ...]:
        """Return the entry VMs."""
        return self.layout.nodes

    @property
    def vms(self) -> tuple[VmLayout, ...]:
        """Return the model VMs."""
        return self.layout.vms

    @property
    def services(self) -> tuple[ServiceLayout, ...]:
        """Return the servers of the plain service."""
        return self.layout.services

    @property
    def platform_address(self) -> str:
        """Return the platform's address, bypassing any proxy."""
        return f"http://{HOST}:{self.layout.platform_port}"

    def node(self, name: str) -> NodeLayout:
        """Return an entry VM."""
        return next(node for node in self.nodes if node.name == name)

    def engine_address(self, vm: str) -> str:
        """Return an engine's address, bypassing any proxy."""
        port = next(item.port for item in self.vms if item.vm == vm)
        return f"http://{HOST}:{port}"

    # Processes

    def process(self, name: str, program: str | None = None) -> ManagedProcess:
        """Return the process of a stand-in, or of a program of an entry VM."""
        return self.processes.by_name[f"{name}-{program}" if program else name]

    def kill(self, name: str, program: str | None = None) -> None:
        """Kill a process."""
        self.process(name, program).kill()

    def pause(self, name: str, program: str | None = None) -> None:
        """Suspend a process with SIGSTOP."""
        self.process(name, program).pause()

    def resume(self, name: str, program: str | None = None) -> None:
        """Resume a suspended process."""
        self.process(name, program).resume()

    def terminate(self, name: str, program: str | None = None) -> None:
        """Send SIGTERM to a process."""
        self.process(name, program).terminate()

    async def async_restart(self, name: str, program: str | None = None) -> None:
        """Restart a process with empty memory; kill it first if it is running."""
        await self.process(name, program).async_restart()

    # Requests to the processes

    async def async_control(self, address: str, **values: Any) -> None:
        """Set control values of a stand-in, which inject faults."""
        url = f"{address}/_control"
        async with self.session.post(url, json=values) as response:
            if response.status != 200:  # noqa: PLR2004
                raise ProcessError(f"{url}: {await response.text()}")

    async def async_get(self, url: str) -> tuple[int, Any]:
        """Return status and JSON body; the status is 0 if there is no response."""
        try:
            async with self.session.get(url) as response:
                return response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, None

    async def async_records(self, address: str) -> dict[str, Any]:
        """Return the records of a stand-in."""
        status, body = await self.async_get(f"{address}/_records")
        if status != 200:  # noqa: PLR2004
            raise ProcessError(f"no records from {address}")
        records: dict[str, Any] = body
        return records

    async def async_wait_ready(
        self, name: str, program: str | None = None, limit_s: float = READY_LIMIT_S
    ) -> None:
        """Wait until a process responds. Raises ProcessError at once if it exits."""
        process, url = self.process(name, program), self._ready_url(name, program)

        async def async_is_ready() -> bool:
            if not process.is_running:
                raise ProcessError(f"{process.name} exited:\n{process.log_tail()}")
            return (await self.async_get(url))[0] == 200  # noqa: PLR2004

        try:
            await async_wait_for(async_is_ready, limit_s, f"{process.name} ready")
        except ProcessError as exc:
            raise ProcessError(f"{exc}\n{process.log_tail()}") from None

    async def async_wait_accepting(self, limit_s: float = READY_LIMIT_S) -> None:
        """Wait until every entry VM reports to the load balancer that it is ready."""

        async def async_all_ready() -> bool:
            urls = [f"{node.address('entry')}/ready" for node in self.nodes]
            responses = await asyncio.gather(*map(self.async_get, urls))
            return all(status == 200 for status, _ in responses)  # noqa: PLR2004

        await async_wait_for(async_all_ready, limit_s, "entry programs ready")

    # Start

    def _ready_url(self, name: str, program: str | None) -> str:
        if program:
            # Readiness for traffic needs a configuration, which is applied later.
            return f"{self.node(name).ops_address(program)}/status"
        if name == PLATFORM:
            return f"{self.platform_address}/vms"
        ports = {item.vm: item.port for item in self.vms}
        ports.update({item.name: item.port for item in self.services})
        return f"http://{HOST}:{ports[name]}/health"

    async def _async_start(self) -> None:
        stack = self._stack
        directory = self._given_directory
        if directory is None:
            directory = Path(
                stack.enter_context(tempfile.TemporaryDirectory(prefix="cluster-"))
            )
        self.directory = directory
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=timeout)
        )
        await self._async_start_proxies()
        self.processes = ProcessSet(self.directory)
        atexit.register(self.processes.kill_all)
        stack.callback(atexit.unregister, self.processes.kill_all)
        stack.callback(self.processes.kill_all)
        self._start_standins()
        self._start_programs()
        names = [(PLATFORM, None), *((vm.vm, None) for vm in self.vms)]
        names += [(service.name, None) for service in self.services]
        waits = [self.async_wait_ready(*name) for name in names]
        waits += [
            self.async_wait_ready(node.name, program)
            for node in self.nodes
            for program in self._programs
        ]
        try:
            async with asyncio.TaskGroup() as group:
                for wait in waits:
                    group.create_task(wait)
        except* ProcessError as failures:
            raise failures.exceptions[0] from None

    async def _async_start_proxies(self) -> None:
        if "platform" in self._proxied:
            for node in self.nodes:
                self.platform_proxies[node.name] = await self._async_proxy(
                    self.layout.platform_port
                )
        if "engines" in self._proxied:
            for vm in self.vms:
                self.engine_proxies[vm.vm] = await self._async_proxy(vm.port)
        if "control" in self._proxied:
            for source in self.nodes:
                for target in self.nodes:
                    if source is not target:
                        proxy = await self._async_proxy(target.ports["control"])
                        self.control_proxies[source.name, target.name] = proxy

    async def _async_proxy(self, port: int) -> FaultProxy:
        return await self._stack.enter_async_context(FaultProxy(port))

    def _start_standins(self) -> None:
        layout, options = self.layout, self.layout.options
        addresses = {
            vm.vm: f"http://{HOST}:"
            f"{self.engine_proxies[vm.vm].port if self.engine_proxies else vm.port}"
            for vm in self.vms
        }
        vms_file = self.directory / "vms.json"
        write_vms(layout, addresses, vms_file)
        command = ["-m", "standins.platform", "--port", str(layout.platform_port)]
        command += [
            "--vms",
            str(vms_file),
            "--vm-list-lag-s",
            str(options.vm_list_lag_s),
        ]
        command += ["--weight-rate-bytes-per-s", str(options.weight_rate_bytes_per_s)]
        command += ["--weight-max-readers", str(options.weight_max_readers)]
        self.processes.add(PLATFORM, command)
        for index, vm in enumerate(self.vms):
            self.processes.add(vm.vm, self._engine_command(index, vm))
        for service in self.services:
            command = ["-m", "standins.service", "--port", str(service.port)]
            self.processes.add(service.name, [*command, "--name", service.name])

    def _engine_command(self, index: int, vm: VmLayout) -> list[str]:
        options = self.layout.options
        command = ["-m", "standins.engine", "--port", str(vm.port), "--vm", vm.vm]
        command += ["--platform", self.platform_address]
        command += ["--weight-bytes", str(options.weight_bytes)]
        if options.order_token:
            command += ["--order-token", options.order_token]
        every = options.ignore_fence_every
        if every and index % every == 0:
            command.append("--ignore-fence")
        return [*command, *options.engine_options]

    def _start_programs(self) -> None:
        for node in self.nodes:
            file = self.directory / f"{node.name}.json"
            platform = self.platform_address
            if self.platform_proxies:
                platform = f"http://{HOST}:{self.platform_proxies[node.name].port}"
            controls = {
                peer.name: f"ws://{HOST}:{self._control_port(node, peer)}"
                for peer in self.nodes
            }
            write_settings(self.layout, node, platform, controls, file)
            for program in self._programs:
                module = f"gooseberryhall.{program}"
                command = ["-m", module, "--settings", str(file)]
                self.processes.add(f"{node.name}-{program}", command)

    def _control_port(self, node: NodeLayout, peer: NodeLayout) -> int:
        proxy = self.control_proxies.get((node.name, peer.name))
        return proxy.port if proxy else peer.ports["control"]
