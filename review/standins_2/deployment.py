"""A small deployment: the programs of the deploy file, and stand-ins around them."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from .http import Message, async_read_body, async_read_head, encode
from .server import FORMATION_S, LOAD_S, WARMUP_S, Server
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("obihiro", "asahikawa", "sapporo")
HOST_NAME = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
MODEL = "daka510000"
READY_LIMIT_S = 25.0
READY_STATUS = 200
# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run."""


@dataclass(slots=True)
class Node:
    """A program of the deploy file."""

    name: str
    host: str
    caller_port: int
    ready_port: int
    environment: dict[str, str]
    log: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self, command: Sequence[str]) -> None:
        """Start the program."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(  # noqa: S603
                command,
                cwd=ROOT,
                env=self.environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """End the program."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


@dataclass(slots=True)
class Deployment:
    """All parts of a deployment, and the record of what was seen."""

    record: Path
    store: Store = field(default_factory=Store)
    servers: list[Server] = field(default_factory=list)
    nodes: list[Node] = field(default_factory=list)
    bounds: dict[str, Any] = field(default_factory=dict)
    model_size: int = 1
    # Zone of each program.
    node_zones: tuple[str, ...] = ZONES
    internal_port: int = field(default_factory=lambda: random.randint(20000, 30000))
    lines: list[dict[str, Any]] = field(default_factory=list)
    version: int = 0
    _started_s: float = field(default_factory=time.monotonic)
    _directory: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix="review-"))
    )
    _ids: Any = field(default_factory=random.Random)
    _listeners: list[asyncio.Server] = field(default_factory=list)

    def now_s(self) -> float:
        """Return the time since the start of the case."""
        return time.monotonic() - self._started_s

    def log(self, event: str, **fields: Any) -> None:
        """Add a line to the record."""
        self.lines.append({"at_s": round(self.now_s(), 3), "event": event, **fields})

    def write_record(self) -> None:
        """Write the record of the case."""
        text = "".join(json.dumps(line) + "\n" for line in self.lines)
        self.record.write_text(text)

    async def async_start(self, servers: Sequence[Server], routes: list[Any]) -> None:
        """Start store, servers and programs; wait until all programs are ready."""
        self.servers = list(servers)
        self.configure(routes)
        for server in self.servers:
            await server.async_start()
        command = read_command()
        network = f"127.{random.randint(2, 250)}.{random.randint(2, 250)}"
        for number, zone in enumerate(self.node_zones, start=2):
            host = f"{network}.{number}"
            count = self.node_zones[: number - 1].count(zone)
            name = f"frontend-{zone}-{count}"
            # Each machine has an address of the store of its own.
            listener = await asyncio.start_server(
                partial(self.store.async_serve, name), "127.0.0.1", 0
            )
            self._listeners.append(listener)
            store_port = listener.sockets[0].getsockname()[1]
            node = self._create_node(name, zone, host, store_port)
            node.start(command)
            self.nodes.append(node)
        await self._async_wait_ready()

    def stop(self) -> None:
        """End all that was started."""
        for node in self.nodes:
            node.kill()
        for server in self.servers:
            if server.running:
                server.stop()
        for listener in self._listeners:
            listener.close()
        shutil.rmtree(self._directory, ignore_errors=True)

    def configure(self, routes: list[Any]) -> None:
        """Write the next configuration, as the operator does."""
        self.version += 3
        model = {"name": MODEL, "size": self.model_size, "pace": 1.0, "share": 1.0}
        model |= {"load_time_s": LOAD_S, "warmup_s": WARMUP_S}
        engine = {"slots": 8, "models": [model], "formation_ms": FORMATION_S * 1000}
        engine |= {"loads_at_once": 4, "step_ms": 5.95, "per_seq_ms": 0.0445}
        engine |= {"read_per_s": 50700, "stride": 7, "report_lag_ms": 200}
        engine |= {"usual": {"prompt": 674, "answer": 200}}
        content = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": "assistant-llm", "engine": engine},
                {"name": "silo-control", "health_check_path": "/health"},
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": TENANT, "api_keys": [KEY]}],
        }
        self.store.put("op", "config", json.dumps(content).encode())
        self.log("configured", version=self.version)

    def _create_node(self, name: str, zone: str, host: str, store_port: int) -> Node:
        caller_port, ready_port, control_port = free_ports(host)
        first = self.internal_port
        settings = {
            "node_name": name,
            "role": "node",
            "machine_class": "frontend",
            "serves": ["frontend"],
            "ip_address": host,
            "zone": zone,
            "region": "hokkaido",
            "zones": dict.fromkeys(ZONES, "hokkaido"),
            "listen_addresses": {
                "frontend": f"{host}:{caller_port}",
                "ready": f"{host}:{ready_port}",
                "control_plane": f"{host}:{control_port}",
            },
            "internal_port_range": [first, first + 15],
            "seed_nodes": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": 300,
                "file_descriptors": 4200,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_directory": None,
            "discovery": "platform",
            "entry_point": "virtual_ip",
            "heartbeat_interval_ms": 1200,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "stability_window_ms": 3000,
                "drain_timeout_ms": 2000,
                "grace_period_s": 8,
                "config_propagation_ms": 2000,
                "retry_budget_ratio": 0.2,
                "budget_window_s": 10,
                "retry_budget_slack": 130,
                "stall_ms": 4000,
                "fencing_enforced": True,
                **self.bounds,
            },
            "platform": {
                "address": f"127.0.0.1:{store_port}",
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
            },
        }
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        environment = {
            key: value
            for key, value in os.environ.items()
            if key in {"PATH", "HOME", "LANG"}
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["GOOSEBERRYHALL_SETTINGS"] = str(path)
        log = Path(os.environ.get("CASE_LOGS", self._directory)) / f"{name}.log"
        return Node(name, host, caller_port, ready_port, environment, log)

    async def _async_wait_ready(self) -> None:
        for node in self.nodes:
            while not await async_is_ready(node):
                if self.now_s() > READY_LIMIT_S:
                    raise NotRunError(f"{node.name} is not ready")
                await asyncio.sleep(0.1)
        self.log("ready", nodes=[node.name for node in self.nodes])

    # Callers

    def create_id(self) -> str:
        """Return a new id of a client attempt."""
        return f"{self._ids.getrandbits(64):016x}"

    def encode_request(
        self, method: str, path: str, attempt_id: str, body: bytes = b"", **more: str
    ) -> bytes:
        """Return a request of a client."""
        headers = {
            "Host": HOST_NAME,
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Milliseconds": "5000",
            "Authorization": f"Token {KEY}",
        }
        headers |= {name.replace("_", "-"): value for name, value in more.items()}
        data = encode(f"{method} {path} HTTP/1.1", headers, body)
        return data if body else data.replace(b"Content-Length: 0\r\n", b"")

    async def async_call(
        self,
        node: Node,
        method: str,
        path: str,
        body: bytes = b"",
        limit_s: float = 8.0,
        **more: str,
    ) -> tuple[str, str, Message | None]:
        """Send one request on a new connection; return its id, outcome and answer.

        The outcome is the status, or `cut` if the answer is incomplete.
        """
        attempt_id = self.create_id()
        data = self.encode_request(method, path, attempt_id, body, **more)
        self.log("sent", node=node.name, id=attempt_id, line=f"{method} {path}")
        message = None
        outcome = "cut"
        writer = None
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(
                    node.host, node.caller_port
                )
                writer.write(data)
                message = await async_read_head(reader)
                message.body = await async_read_body(reader, message)
                outcome = str(message.status)
        except (asyncio.IncompleteReadError, OSError, TimeoutError) as exc:
            self.log("caller_saw", id=attempt_id, error=repr(exc)[:120])
        finally:
            if writer is not None:
                writer.transport.abort()
        self.log("answered", id=attempt_id, outcome=outcome)
        return attempt_id, outcome, message


def stream_route(**more: Any) -> dict[str, Any]:
    """Return the route of streams."""
    return {
        "name": "reading-explain",
        "host": HOST_NAME,
        "prefix": "/explain/",
        "kind": "streaming",
        "service": "assistant-llm",
        "timeout_ms": 5000,
        "target_latency_ms": 200,
        "target_gap_ms": 200,
        "attempts": 2,
        "priority": 1,
        "stream_resumption": True,
        "session_affinity": True,
        **more,
    }


def plain_route(**more: Any) -> dict[str, Any]:
    """Return the route of safe reads."""
    return {
        "name": "bin-status",
        "host": HOST_NAME,
        "prefix": "/status/",
        "kind": "safe",
        "service": "silo-control",
        "timeout_ms": 1500,
        "target_latency_ms": 300,
        "attempts": 2,
        "priority": 2,
        **more,
    }


def read_command() -> list[str]:
    """Return the command of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    command = deploy["roles"]["node"]["run"].split()
    if not (ROOT / "target" / "deps").exists():
        raise NotRunError("the build of the deploy file has not run")
    return [sys.executable if command[0] == "python3" else command[0], *command[1:]]


def free_ports(host: str) -> tuple[int, int, int]:
    """Return free ports for callers, readiness and control."""
    ports = []
    for _ in range(3):
        with contextlib.closing(socket.socket()) as sock:
            sock.bind((host, 0))
            ports.append(sock.getsockname()[1])
    return ports[0], ports[1], ports[2]


async def async_is_ready(node: Node) -> bool:
    """Return whether a program answers 200 to the platform's readiness check."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(node.host, node.ready_port)
            writer.write(
                b"GET /v1/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
            )
            message = await async_read_head(reader)
            writer.transport.abort()
            return message.status == READY_STATUS
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False


def run_case(record: Path, async_case: Any) -> None:
    """Run a case, write its record and exit with its result."""
    deployment = Deployment(record)
    disturb = os.environ.get("TROUBLE", "1") != "0"
    # Whoever ends the script also ends what it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def async_main() -> int:
        try:
            broken = await asyncio.wait_for(async_case(deployment, disturb), 110)
        except (NotRunError, TimeoutError) as exc:
            deployment.log("not_run", reason=repr(exc))
            return NOT_RUN
        finally:
            deployment.stop()
        deployment.log("result", trouble=disturb, broken=broken)
        return BROKEN if broken else HELD

    code = NOT_RUN
    try:
        code = asyncio.run(async_main())
    finally:
        deployment.write_record()
    sys.stdout.write(json.dumps(deployment.lines[-1]) + "\n")
    sys.exit(code)
