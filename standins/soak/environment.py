"""Environment of a soak: servers, store and node programs."""

import asyncio
import itertools
import json
import os
import random
import re
from collections.abc import Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..processes import ROOT, ManagedProcess, ProcessSet
from ..proxy import FaultProxy
from ..row_store import RowStore
from .const import (
    CALLER_PORT,
    COLD_OVERRUN,
    COLD_PER_S,
    COLD_SLACK,
    COLD_START_S,
    DELAY_PERIOD_S,
    EVACUATION_LIMIT_S,
    FORMATION_S,
    GRACE_PERIOD_S,
    GROUP_SIZE,
    HEARTBEAT_INTERVAL_S,
    HOST_NAME,
    INTERNAL_PORTS,
    KEY,
    LAG_LIMIT_S,
    LOAD_S,
    MEMORY_MB,
    MISSED_HEARTBEATS_LIMIT,
    MODEL,
    MODEL_SERVERS_PER_ZONE,
    MODEL_SERVICE,
    NODES_PER_ZONE,
    PLAIN_SERVERS_PER_ZONE,
    PLAIN_SERVICE,
    READY_PORT,
    ROUTE_TIMEOUT_S,
    SLOTS,
    TEAM,
    WARMUP_S,
    ZONES,
)
from .http import async_read_head, encode_message
from .records import Promise, Records
from .server import Server

MS_PER_S = 1000
NS_PER_S = 1e9
KB_PER_MB = 1024
READY_LIMIT_S = 1.0
REFUSING = ROOT / "standins" / "refusing_kernel"
SETTINGS_VARIABLE = "GOOSEBERRYHALL_SETTINGS"


@dataclass(slots=True)
class SoakNode:
    """A node program, its address and its own proxy to the store."""

    name: str
    host: str
    process: ManagedProcess
    store_proxy: FaultProxy

    async def async_is_ready(self) -> bool:
        """Return whether the node reports that it is ready for callers."""
        try:
            async with asyncio.timeout(READY_LIMIT_S):
                reader, writer = await asyncio.open_connection(self.host, READY_PORT)
                try:
                    headers = {"host": self.host, "connection": "close"}
                    writer.write(encode_message("GET /v1/readiness HTTP/1.1", headers))
                    return (await async_read_head(reader)).status == 200  # noqa: PLR2004
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return False


def read_run_delay_s(pid: int) -> float:
    """Return the seconds for which a process was runnable without a processor."""
    try:
        fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    except OSError:
        return 0.0
    return int(fields[1]) / NS_PER_S


def read_peak_memory_mb(pid: int) -> int:
    """Return the most resident memory that a process has had."""
    found = re.search(r"VmHWM:\s*(\d+)", Path(f"/proc/{pid}/status").read_text())
    return int(found[1]) // KB_PER_MB if found else 0


@dataclass(slots=True)
class Environment:
    """All parts of a soak, which faults can disturb."""

    directory: Path
    records: Records
    stack: AsyncExitStack
    store: RowStore = field(default_factory=lambda: RowStore(era=1))
    servers: dict[str, Server] = field(default_factory=dict)
    nodes: list[SoakNode] = field(default_factory=list)
    version: int = 0
    # When routes were added, by their path prefix.
    added_at_s: dict[str, float] = field(default_factory=dict)
    _ids: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    _missed_s: dict[str, float] = field(default_factory=dict)

    async def async_start(self) -> None:
        """Start store, servers and nodes."""
        listener = await asyncio.start_server(self.store.async_serve, "127.0.0.1", 0)
        self.stack.callback(listener.close)
        port = listener.sockets[0].getsockname()[1]
        self.change_configuration()
        for zone in ZONES:
            for _ in range(MODEL_SERVERS_PER_ZONE):
                await self.async_add_server(MODEL_SERVICE, zone)
            for _ in range(PLAIN_SERVERS_PER_ZONE):
                await self.async_add_server(PLAIN_SERVICE, zone)
        self.stack.push_async_callback(self._async_stop_servers)
        heartbeats = asyncio.create_task(self._async_send_heartbeats())
        self.stack.callback(heartbeats.cancel)
        processes = ProcessSet(self.directory)
        self.stack.callback(processes.kill_all)
        # The ports are fixed, so each run uses addresses of its own.
        network = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}"
        for number, zone in enumerate(ZONES * NODES_PER_ZONE, start=2):
            name, host = f"node-{zone}-{number}", f"{network}.{number}"
            proxy = FaultProxy(port)
            await proxy.async_start()
            self.stack.push_async_callback(proxy.async_stop)
            process = self._add_process(processes, name, zone, host, proxy.port)
            self.nodes.append(SoakNode(name, host, process, proxy))

    def _add_process(
        self, processes: ProcessSet, name: str, zone: str, host: str, store_port: int
    ) -> ManagedProcess:
        path = self.directory / f"{name}.json"
        settings = {
            "node_name": name,
            "zone": zone,
            "ip_address": host,
            "zones": dict.fromkeys(ZONES, "r"),
            "listen_addresses": {
                "frontend": f"{host}:{CALLER_PORT}",
                "ready": f"{host}:{READY_PORT}",
            },
            "internal_port_range": INTERNAL_PORTS,
            "platform": {"address": f"127.0.0.1:{store_port}"},
            "bounds": {
                "grace_period_s": GRACE_PERIOD_S,
                "evacuation_ms": EVACUATION_LIMIT_S * MS_PER_S,
                "cold_overrun": COLD_OVERRUN,
                "cold_slack": COLD_SLACK,
            },
            "limits": {"memory_mb": MEMORY_MB},
        }
        path.write_text(json.dumps(settings))
        environment = {SETTINGS_VARIABLE: str(path)}
        if len(self.nodes) % 2:
            # Half of the nodes run on a kernel that refuses socket filters.
            environment["PYTHONPATH"] = os.pathsep.join(map(str, (ROOT, REFUSING)))
        return processes.add(
            name, ["-m", "gooseberryhall.platform"], environment=environment
        )

    async def async_watch_processor(self) -> None:
        """Mark nodes that lacked a processor too long; their times are not checked."""
        delays_s: dict[int, float] = {}
        while True:
            await asyncio.sleep(DELAY_PERIOD_S)
            for node in self.nodes:
                if not node.process.is_running:
                    continue
                pid = node.process.pid
                peak_mb = read_peak_memory_mb(pid)
                name = f"peak memory of {node.name}"
                self.records.record_peak(name, peak_mb, MEMORY_MB, Promise.MEMORY)
                delay_s = read_run_delay_s(pid)
                if delay_s - delays_s.get(pid, delay_s) > LAG_LIMIT_S:
                    self.records.mark_disturbed(node.name)
                    self.records.outcomes["node without processor"] += 1
                delays_s[pid] = delay_s

    # Servers

    async def async_add_server(self, service: str, zone: str) -> Server:
        """Start a server without staged models."""
        server_id = f"i-{next(self._ids)}"
        server = Server(server_id, service, zone, self.records, self.servers)
        await server.async_start()
        # Servers that start before the nodes are warm.
        if self.nodes:
            server.cold_until_s = self.records.now_s() + COLD_START_S
        self.servers[server_id] = server
        self._write_server_record(server)
        return server

    async def async_crash_server(self, server: Server) -> None:
        """Stop a server at once; its record lapses later."""
        await server.async_stop()

    async def async_remove_server(self, server: Server) -> None:
        """Remove a drained server and its record."""
        await server.async_stop()
        self._remove_server(server)

    def mark_leaving(self, server: Server) -> None:
        """Mark a server as leaving in its record."""
        server.leaving_s = self.records.now_s()
        server.lapsed_until_s = 0.0
        self._write_server_record(server)

    def live_servers(self, service: str) -> list[Server]:
        """Return the servers that are running and not leaving."""
        return [
            server
            for server in self.servers.values()
            if server.service == service and server.is_running and not server.leaving_s
        ]

    def _write_server_record(self, server: Server) -> None:
        server.sequence += 1
        value = json.dumps(server.server_record()).encode()
        self.store.put("servers", server.server_id, value)

    def _remove_server(self, server: Server) -> None:
        self.servers.pop(server.server_id, None)
        self.store.put("servers", server.server_id, None)

    async def _async_send_heartbeats(self) -> None:
        """Write server records; those of crashed servers lapse."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for server in list(self.servers.values()):
                server_id = server.server_id
                is_lapsed = server.lapsed_until_s > self.records.now_s()
                if server.is_running and not is_lapsed:
                    self._missed_s.pop(server_id, None)
                    self._write_server_record(server)
                    continue
                missed_s = self._missed_s.get(server_id, 0.0) + HEARTBEAT_INTERVAL_S
                self._missed_s[server_id] = missed_s
                if missed_s < MISSED_HEARTBEATS_LIMIT * HEARTBEAT_INTERVAL_S:
                    continue
                if not server.is_running:
                    self._remove_server(server)
                elif self.store.rows["servers", server_id][0] is not None:
                    self.store.put("servers", server_id, None)

    async def _async_stop_servers(self) -> None:
        for server in list(self.servers.values()):
            await server.async_stop()

    # Configuration

    def change_configuration(self, new_prefix: str | None = None) -> None:
        """Write the next version, with one more route if a prefix is given."""
        self.version += random.randint(1, 5)
        if new_prefix is not None:
            self.added_at_s[new_prefix] = self.records.now_s()
        value = json.dumps(self._configuration()).encode()
        self.store.put("op", "config", value)

    def _configuration(self) -> dict[str, Any]:
        timeout_ms = ROUTE_TIMEOUT_S * MS_PER_S
        shared = {"host": HOST_NAME, "timeout_ms": timeout_ms, "attempts": 2}
        plain = {**shared, "service": PLAIN_SERVICE, "target_latency_ms": 300}
        stream = {
            **shared,
            "kind": "streaming",
            "service": MODEL_SERVICE,
            "target_latency_ms": 300,
        }
        chat = {"name": "chat", "prefix": "/chat/", "stream_resumption": True}
        once = {"name": "once", "prefix": "/once/", "attempts": 1}
        routes: list[dict[str, Any]] = [
            {**plain, "name": "read", "prefix": "/read/", "kind": "safe"},
            {**plain, "name": "command", "prefix": "/command/", "kind": "unsafe"},
            {**stream, **chat},
            {**stream, **once},
        ]
        for prefix in self.added_at_s:
            name = prefix.strip("/")
            routes.append({**plain, "name": name, "prefix": prefix, "kind": "safe"})
        model = {
            "name": MODEL,
            "size": GROUP_SIZE,
            "share": 1.0,
            "load_time_s": LOAD_S,
            "warmup_s": WARMUP_S,
        }
        engine = {
            "slots": SLOTS,
            "models": [model],
            "formation_ms": FORMATION_S * MS_PER_S,
            "loads_at_once": 4,
        }
        cold = {"cold_start_s": COLD_START_S, "cold_per_s": COLD_PER_S}
        return {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": MODEL_SERVICE, "engine": engine, **cold},
                {"name": PLAIN_SERVICE, **cold},
            ],
            "tenants": [{"name": TEAM, "api_keys": [KEY]}],
        }
