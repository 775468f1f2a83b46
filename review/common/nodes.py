"""Node programs, started with the command of the deploy file."""

import asyncio
import json
import os
import random
import signal
import subprocess
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import IO

from .http import BrokenMessageError, encode_message, read_message
from .record import Record

ROOT = Path(__file__).resolve().parents[2]
FRONTEND_PORT = 8227
READY_PORT = 8220
OK = 200
PASSED_ON_VARIABLES = ("PATH", "HOME", "LANG")


@dataclass(slots=True)
class Node:
    """A machine with one node program."""

    name: str
    zone: str
    host: str
    settings: Path
    log: IO[bytes]
    record: Record
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the program as a separate process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        environment = {
            name: os.environ[name] for name in PASSED_ON_VARIABLES if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["GOOSEBERRYHALL_SETTINGS"] = str(self.settings)
        self.process = subprocess.Popen(  # noqa: S603
            role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.record.write("node_started", node=self.name, pid=self.process.pid)

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        if self.process is None:
            return 0.0
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.record.write("node_killed", node=self.name)

    async def is_ready(self) -> bool:
        """Ask the readiness address as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, READY_PORT)
                try:
                    headers = {"Host": self.host, "Connection": "close"}
                    writer.write(encode_message("GET /v1/readiness HTTP/1.1", headers))
                    return (await read_message(reader)).status == OK
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, BrokenMessageError):
            return False


def create_nodes(
    directory: Path, zones: list[str], per_zone: int, store_port: int, record: Record
) -> list[Node]:
    """Return nodes with loopback addresses and settings of their own."""
    network = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}"
    nodes = []
    for number in range(len(zones) * per_zone):
        zone = zones[number % len(zones)]
        name, host = f"frontend-{zone}-{number}", f"{network}.{number + 2}"
        path = directory / f"{name}.json"
        path.write_text(json.dumps(_settings(name, zone, host, zones, store_port)))
        log = (directory / f"{name}.log").open("ab")
        nodes.append(Node(name, zone, host, path, log, record))
    return nodes


def _settings(
    name: str, zone: str, host: str, zones: list[str], store_port: int
) -> dict[str, object]:
    return {
        "node_name": name,
        "role": "node",
        "machine_class": "frontend",
        "serves": ["frontend"],
        "ip_address": host,
        "zone": zone,
        "region": "lima",
        "zones": dict.fromkeys(zones, "lima"),
        "listen_addresses": {
            "frontend": f"{host}:{FRONTEND_PORT}",
            "ready": f"{host}:{READY_PORT}",
        },
        "internal_port_range": [7340, 7355],
        "seed_nodes": [],
        "bootstrap": True,
        "counted_for_tolerance": False,
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
            "loss_slack_ms": 200,
            "config_propagation_ms": 2000,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "retry_budget_slack": 130,
            "recovery_s": 12,
            "stall_ms": 4000,
            "fencing_enforced": True,
        },
        "platform": {
            "address": f"127.0.0.1:{store_port}",
            "form": "table",
            "writes_per_s": 400,
            "reads_per_s": 2000,
            "transaction_ms": 6.0,
            "part_writes_per_s": 200,
            "row_bytes": 65536,
            "history_s": 20,
        },
    }
