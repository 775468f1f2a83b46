"""Measures the cost of idle control processes by the number of probed VMs."""

import asyncio
import json
import tempfile
from collections.abc import AsyncIterator, Iterable, Sequence
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import aiohttp
import click
from aiohttp import web

from ..http import HOST
from ..layout import PortPicker
from ..processes import ProcessError, ProcessSet
from .figures import cpu_s, memory_mb, metric_total, slope

DEFAULT_NODES = 7
ZONE = "z1"
START_LIMIT_S = 30.0
POLL_PERIOD_S = 0.2
# Time until all VMs are listed, assigned and probed evenly.
SETTLE_S = 6.0
PERCENT = 100


@dataclass(frozen=True, slots=True)
class NodePorts:
    """A control process under measurement."""

    name: str
    port: int
    ops_port: int


@dataclass(frozen=True, slots=True)
class Reading:
    """Totals of one process at one moment."""

    cpu_s: float
    link_bytes: float
    probe_bytes: float
    probes: float


@dataclass(frozen=True, slots=True)
class Cost:
    """Mean cost of one control process."""

    probed_vms: float
    cpu_percent: float
    rss_mb: float
    peak_rss_mb: float
    link_bytes_per_s: float
    probe_bytes_per_s: float
    probes_per_s: float


@asynccontextmanager
async def serve_engines(vms: int) -> AsyncIterator[tuple[str, str]]:
    """Serve idle engines, each at its own loopback address, and the VM list.

    Yields the address of the list and the port of the engines. The name of a VM is
    derived from the requested address.
    """

    async def async_health(req: web.Request) -> web.Response:
        return web.json_response(
            {
                "vm": _vm_name(req.url.host or ""),
                "boot_id": "0123456789abcdef",
                "group": "assistant-1-1234",
                "generation": 1234,
                "state": "serving",
                "leaving": False,
                "active": 3,
                "queued": 0,
                "load_fraction": 1.0,
                "fence": 1234,
            }
        )

    hosts = [f"127.1.{n // 250}.{n % 250 + 1}" for n in range(vms)]

    async def async_vms(_req: web.Request) -> web.Response:
        listed = [
            {
                "vm": _vm_name(host),
                "zone": ZONE,
                "fabric_domain": "f1",
                "address": f"http://{host}:{port}",
                "accelerators": 2,
                "state": "live",
            }
            for host in hosts
        ]
        return web.json_response({"vms": listed})

    app = web.Application()
    app.router.add_get("/health", async_health)
    app.router.add_get("/vms", async_vms)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, HOST, 0).start()
    port = runner.addresses[0][1]
    for host in hosts:
        await web.TCPSite(runner, host, port).start()
    try:
        yield f"http://{HOST}:{port}", str(port)
    finally:
        await runner.cleanup()


def _vm_name(host: str) -> str:
    return "vm-" + host.replace(".", "-")


def control_settings(
    node: NodePorts, nodes: Iterable[NodePorts], table: str, vms: str, ports: PortPicker
) -> dict[str, Any]:
    """Return the settings of a control process, with all others as peers."""

    def unused_ports() -> dict[str, int]:
        return {"port": ports.pick(), "ops_port": ports.pick()}

    return {
        "node": node.name,
        "zone": ZONE,
        "region": "r1",
        "link_secret": "a-secret-of-the-measurement",
        "entry": unused_ports(),
        "control": {"port": node.port, "ops_port": node.ops_port},
        "admin": unused_ports(),
        "peers": [
            {
                "node": peer.name,
                "zone": ZONE,
                "control_address": f"ws://{HOST}:{peer.port}",
            }
            for peer in nodes
            if peer is not node
        ],
        "platform": {
            "table_address": table,
            "objects_address": table,
            "weights_address": table,
            "vms_address": vms,
        },
        "log_level": "WARNING",
    }


async def async_measure(
    count: int, vms: int, seconds: float, directory: Path
) -> list[Cost]:
    """Return the cost of each control process while nothing changes."""
    ports = PortPicker()
    nodes = [
        NodePorts(f"n{number}", ports.pick(), ports.pick()) for number in range(count)
    ]
    processes = ProcessSet(directory)
    try:
        async with (
            serve_engines(vms) as (list_address, _),
            aiohttp.ClientSession() as session,
        ):
            table = _start_platform(processes, ports.pick())
            for node in nodes:
                file = directory / f"{node.name}.json"
                content = control_settings(node, nodes, table, list_address, ports)
                file.write_text(json.dumps(content))
                command = ["-m", "gooseberryhall.control", "--settings", str(file)]
                processes.add(node.name, command)
            await _async_wait_ready(session, nodes, vms)
            await asyncio.sleep(SETTLE_S)
            before = [await _async_read(session, processes, node) for node in nodes]
            await asyncio.sleep(seconds)
            after = [await _async_read(session, processes, node) for node in nodes]
            probed = [await _async_probed(session, node) for node in nodes]
            return [
                _cost(
                    processes.by_name[node.name].pid, probed_vms, seconds, first, last
                )
                for node, probed_vms, first, last in zip(
                    nodes, probed, before, after, strict=True
                )
            ]
    finally:
        processes.kill_all()


def _start_platform(processes: ProcessSet, port: int) -> str:
    """Start the platform for its table; its own VM list is empty and not used."""
    file = processes.directory / "vms.json"
    file.write_text(json.dumps({"vms": []}))
    command = ["-m", "standins.platform", "--port", str(port), "--vms", str(file)]
    processes.add("platform", command)
    return f"http://{HOST}:{port}"


async def _async_wait_ready(
    session: aiohttp.ClientSession, nodes: Sequence[NodePorts], vms: int
) -> None:
    """Wait until all nodes list each other and each VM is probed by one node."""
    try:
        async with asyncio.timeout(START_LIMIT_S):
            while True:
                found = [await _async_membership(session, node) for node in nodes]
                complete = all(len(item["peers"]) == len(nodes) - 1 for item in found)
                if complete and sum(item["probed_vms"] for item in found) == vms:
                    return
                await asyncio.sleep(POLL_PERIOD_S)
    except TimeoutError as exc:
        raise ProcessError("the control processes did not become ready") from exc


async def _async_membership(
    session: aiohttp.ClientSession, node: NodePorts
) -> dict[str, Any]:
    try:
        async with session.get(f"http://{HOST}:{node.ops_port}/status") as response:
            status = await response.json()
    except aiohttp.ClientError:
        return {"peers": [], "probed_vms": 0}
    membership: dict[str, Any] = status["membership"]
    return membership


async def _async_probed(session: aiohttp.ClientSession, node: NodePorts) -> int:
    return int((await _async_membership(session, node))["probed_vms"])


async def _async_read(
    session: aiohttp.ClientSession, processes: ProcessSet, node: NodePorts
) -> Reading:
    async with session.get(f"http://{HOST}:{node.ops_port}/metrics") as response:
        text = await response.text()
    return Reading(
        cpu_s=cpu_s(processes.by_name[node.name].pid),
        link_bytes=metric_total(text, "gooseberryhall_link_bytes_total"),
        probe_bytes=metric_total(text, "gooseberryhall_probe_bytes_total"),
        probes=metric_total(text, "gooseberryhall_probes_total"),
    )


def _cost(
    pid: int, probed_vms: int, seconds: float, first: Reading, last: Reading
) -> Cost:
    return Cost(
        probed_vms=probed_vms,
        cpu_percent=PERCENT * (last.cpu_s - first.cpu_s) / seconds,
        rss_mb=memory_mb(pid, "VmRSS"),
        peak_rss_mb=memory_mb(pid, "VmHWM"),
        link_bytes_per_s=(last.link_bytes - first.link_bytes) / seconds,
        probe_bytes_per_s=(last.probe_bytes - first.probe_bytes) / seconds,
        probes_per_s=(last.probes - first.probes) / seconds,
    )


def mean_cost(costs: Sequence[Cost]) -> Cost:
    """Return the mean of each field."""
    fields = [asdict(cost) for cost in costs]
    return Cost(
        **{name: sum(item[name] for item in fields) / len(fields) for name in fields[0]}
    )


async def async_measure_all(
    nodes: int, sizes: Sequence[int], seconds: float
) -> dict[str, Any]:
    """Return the cost at each size and its slope for each probed VM of a node."""
    means = []
    for size in sizes:
        with tempfile.TemporaryDirectory() as directory:
            costs = await async_measure(nodes, size * nodes, seconds, Path(directory))
        means.append(mean_cost(costs))
        row = {name: round(value, 3) for name, value in asdict(means[-1]).items()}
        click.echo(json.dumps(row), err=True)
    slopes = {
        name: round(slope([(m.probed_vms, getattr(m, name)) for m in means]), 4)
        for name in ("cpu_percent", "rss_mb", "link_bytes_per_s", "probe_bytes_per_s")
    }
    return {
        "nodes": nodes,
        "seconds": seconds,
        "sizes": [asdict(mean) for mean in means],
        "slope_per_probed_vm": slopes,
    }


@click.command()
@click.option("--nodes", default=DEFAULT_NODES, help="Number of control processes.")
@click.option("--size", "sizes", type=int, multiple=True, default=(1, 6, 18, 54))
@click.option("--seconds", type=float, default=20.0, help="Duration at each size.")
def main(nodes: int, sizes: tuple[int, ...], seconds: float) -> None:
    """Measure idle control processes; sizes are probed VMs for each node."""
    click.echo(json.dumps(asyncio.run(async_measure_all(nodes, sizes, seconds))))


if __name__ == "__main__":
    main()
