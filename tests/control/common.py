"""Helpers that run control processes with a fake platform and fake engines."""

import asyncio
import contextlib
import json
import random
import secrets
import signal
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from gooseberryhall.core.context import Program, ProgramContext
from gooseberryhall.core.runtime import Runtime
from gooseberryhall.core.state import Identity, State
from gooseberryhall.core.timer import TimerService
from gooseberryhall.links.hub import LinkHub
from gooseberryhall.membership import client
from gooseberryhall.settings.models import NodeSettings
from gooseberryhall.telemetry.ops import OpsState
from gooseberryhall.telemetry.timeline import Timeline

LINK_SECRET = "a-secret-of-the-tests"
# Starting an interpreter has no guaranteed duration on a machine without free cores.
PROCESS_START_LIMIT_S = 60.0
START_LIMIT_S = 10.0
STOP_LIMIT_S = 5.0
POLL_PERIOD_S = 0.05
PORT_RANGE = (10_000, 19_999)
# Two programs of a node must not get the same port.
_reserved_ports: set[int] = set()


def reserve_port() -> int:
    """Return a port that is free and was not returned before.

    It lies below the ephemeral port range, since an outgoing connection could otherwise
    use it before the program that listens on it has started.
    """
    while True:
        port = random.randint(*PORT_RANGE)
        if port in _reserved_ports:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            _reserved_ports.add(port)
            return port


@dataclass
class FakeVm:
    """An engine that responds to health requests unless it is `unresponsive`."""

    vm: str
    zone: str
    address: str = ""
    health: dict[str, Any] = field(default_factory=dict)
    probes: int = 0
    unresponsive: bool = False

    def __post_init__(self) -> None:
        """Report an idle engine."""
        self.health = {
            "vm": self.vm,
            "boot_id": "boot-1",
            "group": "",
            "generation": 0,
            "state": "idle",
            "leaving": False,
            "active": 0,
            "queued": 0,
        }


@dataclass
class Platform:
    """A fake platform with a VM list and a table that is down."""

    vms: list[FakeVm]
    address: str = ""


@asynccontextmanager
async def run_platform(*vms: FakeVm) -> AsyncIterator[Platform]:
    """Serve the VM list and the engines."""
    platform = Platform(list(vms))

    async def async_vms(_req: web.Request) -> web.Response:
        listed = [
            {
                "vm": vm.vm,
                "zone": vm.zone,
                "fabric_domain": "f1",
                "address": vm.address,
                "accelerators": 2,
                "state": "live",
            }
            for vm in platform.vms
        ]
        return web.json_response({"vms": listed})

    def create_health_handler(
        vm: FakeVm,
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def async_health(_req: web.Request) -> web.Response:
            vm.probes += 1
            if vm.unresponsive:
                await asyncio.sleep(START_LIMIT_S)
            return web.json_response(vm.health)

        return async_health

    async def async_down(_req: web.Request) -> web.Response:
        return web.Response(status=503)

    async with AsyncExitStack() as stack:
        routes = {"/vms": async_vms, "/{table:rows?|txn}": async_down}
        platform.address = await _async_serve(stack, routes)
        for vm in vms:
            vm.address = await _async_serve(
                stack, {"/health": create_health_handler(vm)}
            )
        yield platform


async def _async_serve(
    stack: AsyncExitStack,
    routes: Mapping[str, Callable[[web.Request], Awaitable[web.Response]]],
) -> str:
    app = web.Application()
    for path, handler in routes.items():
        app.router.add_route("*", path, handler)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return f"http://127.0.0.1:{runner.addresses[0][1]}"


@dataclass
class NodePlan:
    """Name, zone and control ports of an entry VM."""

    node: str
    zone: str
    port: int = field(default_factory=reserve_port)
    ops_port: int = field(default_factory=reserve_port)

    def settings(self, platform: Platform, peers: list["NodePlan"]) -> dict[str, Any]:
        """Return the content of a settings file that lists the peers."""
        return {
            "node": self.node,
            "zone": self.zone,
            "region": "r1",
            "link_secret": LINK_SECRET,
            "entry": {"port": reserve_port(), "ops_port": reserve_port()},
            "control": {"port": self.port, "ops_port": self.ops_port},
            "admin": {"port": reserve_port(), "ops_port": reserve_port()},
            "peers": [
                {
                    "node": peer.node,
                    "zone": peer.zone,
                    "control_address": f"ws://127.0.0.1:{peer.port}",
                }
                for peer in peers
            ],
            "platform": dict.fromkeys(
                ("table_address", "objects_address", "weights_address", "vms_address"),
                platform.address,
            ),
        }


class ControlProcess:
    """A running control process."""

    def __init__(
        self, plan: NodePlan, process: asyncio.subprocess.Process, log: Path
    ) -> None:
        """Wrap a started process."""
        self.plan = plan
        self.process = process
        self.log = log
        self._ops = f"http://127.0.0.1:{plan.ops_port}"

    async def async_wait_started(self) -> None:
        """Wait until the ops port accepts connections."""

        async def async_is_listening() -> bool:
            assert self.process.returncode is None, self.log.read_text()
            try:
                _, writer = await asyncio.open_connection(
                    "127.0.0.1", self.plan.ops_port
                )
            except OSError:
                return False
            writer.close()
            return True

        await async_wait_until(async_is_listening, PROCESS_START_LIMIT_S)

    async def async_get(self, session: aiohttp.ClientSession, path: str) -> Any:
        """Return a response of the ops port, or None if the request fails."""
        try:
            async with session.get(self._ops + path) as response:
                return await response.json()
        except aiohttp.ClientError:
            return None

    async def async_membership(self, session: aiohttp.ClientSession) -> dict[str, Any]:
        """Return the status of the membership component."""
        status = await self.async_get(session, "/status")
        return (status or {}).get("membership") or {}

    async def async_stop(self) -> int:
        """Stop the process with SIGTERM and return its exit code."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), STOP_LIMIT_S)

    async def async_kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.process.kill()
        await self.process.wait()


@asynccontextmanager
async def run_control(
    folder: Path, platform: Platform, plan: NodePlan, peers: list[NodePlan]
) -> AsyncIterator[ControlProcess]:
    """Run a control process; it listens before the context is entered."""
    settings = folder / f"{plan.node}.json"
    settings.write_text(json.dumps(plan.settings(platform, peers)))
    log = folder / f"{plan.node}.log"
    with log.open("wb") as stderr:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "gooseberryhall.control",
            "--settings",
            str(settings),
            stderr=stderr,
        )
    running = ControlProcess(plan, process, log)
    try:
        await running.async_wait_started()
        yield running
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@asynccontextmanager
async def run_entry_program(
    platform: Platform, plan: NodePlan, peers: list[NodePlan]
) -> AsyncIterator[tuple[ProgramContext, LinkHub]]:
    """Run the component of an entry program that links to a control process."""
    settings = NodeSettings.model_validate(plan.settings(platform, peers))
    async with AsyncExitStack() as stack:
        ctx = ProgramContext(
            program=Program.ENTRY,
            settings=settings,
            runtime=Runtime(State(Identity(plan.node, plan.zone, "r1"))),
            timer=TimerService(),
            session=await stack.enter_async_context(aiohttp.ClientSession()),
            stack=stack,
            ops=OpsState(Timeline()),
            incarnation=secrets.token_hex(8),
        )
        stack.push_async_callback(ctx.async_cancel_tasks)
        yield ctx, client.async_setup(ctx)


async def async_wait_until(
    condition: Callable[[], Awaitable[bool]], limit_s: float
) -> None:
    """Wait until a condition holds. Raises TimeoutError after `limit_s`."""
    async with asyncio.timeout(limit_s):
        while not await condition():  # noqa: ASYNC110 - conditions have no events
            await asyncio.sleep(POLL_PERIOD_S)
