"""A node program that runs as a process, with stand-ins on loopback."""

import asyncio
import json
import os
import random
import sys
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from gooseberryhall.platform.options import OPTIONS_VARIABLE
from gooseberryhall.platform.settings import SETTINGS_VARIABLE
from gooseberryhall.transport.address import parse_address
from standins.row_store import RowStore
from tests.gateway.common import ReceivedRequest, Script, ScriptedServer
from tests.platform.test_decoding import CONFIGURATION, SERVER_RECORD

ROOT = Path(__file__).parents[2]
START_LIMIT_S = 10.0
POLL_S = 0.05
CALLER_PORT = 8227
READY_PORT = 8220
GRACE_S = 8.0
NO_LIMITS: Mapping[str, float] = {}
REQUEST_HEAD = (
    "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: 7\r\n"
    "authorization: Token {key}\r\n{extra}"
)


async def async_respond(
    request: ReceivedRequest, writer: asyncio.StreamWriter, *, delay_s: float = 0.0
) -> None:
    """Send a complete response after a delay."""
    await asyncio.sleep(delay_s)
    head = f"HTTP/1.1 200 OK\r\nx-attempt-id: {request.headers['x-attempt-id']}\r\n"
    writer.write(f"{head}x-response-seal: s\r\ncontent-length: 4\r\n\r\ndone".encode())


@dataclass(slots=True)
class RunningNode:
    """A node process and its stand-ins."""

    process: asyncio.subprocess.Process
    host: str
    server: ScriptedServer
    store: RowStore
    log: Path

    async def async_connect(
        self, port: int = CALLER_PORT
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the node."""
        return await asyncio.open_connection(self.host, port)

    async def async_get(self, port: int, path: str, key: str = "k1") -> bytes:
        """Send a request; return nothing if no connection is made."""
        try:
            reader, writer = await self.async_connect(port)
        except OSError:
            return b""
        head = REQUEST_HEAD.format(
            method="GET", path=path, key=key, extra="connection: close\r\n\r\n"
        )
        writer.write(head.encode())
        try:
            return await asyncio.wait_for(reader.read(), START_LIMIT_S)
        except ConnectionError:
            return b""
        finally:
            writer.close()

    async def async_wait_ready(self) -> None:
        """Wait until the readiness check of the node succeeds."""
        for _ in range(int(START_LIMIT_S / POLL_S)):
            response = await self.async_get(READY_PORT, "/v1/readiness")
            if response.startswith(b"HTTP/1.1 200"):
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError("node did not become ready")


def _configuration(timeout_s: float, limits: Mapping[str, float]) -> bytes:
    route = {
        "name": "r",
        "host": "a.example",
        "prefix": "/p/",
        "kind": "safe",
        "timeout_ms": timeout_s * 1000,
        "service": "p",
        "attempts": 2,
    }
    once = {**route, "name": "once", "prefix": "/once/", "kind": "unsafe"}
    stream = {**route, "name": "stream", "prefix": "/stream/", "kind": "streaming"}
    changed = {"routes": [route, once, stream], "limits": dict(limits)}
    return json.dumps({**CONFIGURATION, **changed}).encode()


def _settings(
    host: str, store: str, grace_s: float, limits: Mapping[str, float]
) -> str:
    return json.dumps(
        {
            "node_name": "frontend-a-1",
            "zone": "a",
            "ip_address": host,
            "zones": {"a": "r"},
            "listen_addresses": {
                "frontend": f"{host}:{CALLER_PORT}",
                "ready": f"{host}:{READY_PORT}",
            },
            "internal_port_range": [7340, 7355],
            "platform": {"address": store},
            "bounds": {"grace_period_s": grace_s},
            "limits": dict(limits),
        }
    )


@asynccontextmanager
async def async_run_node(
    directory: Path,
    script: Script,
    *,
    timeout_s: float = 2.0,
    grace_s: float = GRACE_S,
    environment: Mapping[str, str] | None = None,
    process_limits: Mapping[str, float] = NO_LIMITS,
    caller_limits: Mapping[str, float] = CONFIGURATION["limits"],
    options: Mapping[str, object] | None = None,
) -> AsyncIterator[RunningNode]:
    """Run a node with one plain server; kill it if it still runs at the end.

    The settings file, the options file and the log are in `directory`.
    `process_limits` are the limits in the settings, `caller_limits` those in the
    configuration.
    """
    added = dict(environment or {})
    if options is not None:
        path = directory / "options.json"
        path.write_text(json.dumps(options))
        added[OPTIONS_VARIABLE] = str(path)
    # An address of its own for each test keeps the fixed ports apart.
    host = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}.2"
    async with AsyncExitStack() as stack:
        store = RowStore()
        server = ScriptedServer("i-9", script)
        addresses = []
        for serve in (store.async_serve, server.async_serve):
            listener = await asyncio.start_server(serve, "127.0.0.1", 0)
            stack.callback(listener.close)
            addresses.append("{}:{}".format(*listener.sockets[0].getsockname()[:2]))
        server.address = parse_address(addresses[1])
        store.put("op", "config", _configuration(timeout_s, caller_limits))
        plain = {
            **SERVER_RECORD,
            "service": "p",
            "address": addresses[1],
            "group": None,
        }
        store.put("servers", "i-9", json.dumps(plain).encode())
        settings = directory / "node.json"
        settings.write_text(_settings(host, addresses[0], grace_s, process_limits))
        log = directory / "log"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "gooseberryhall.platform",
            cwd=ROOT,
            env={**os.environ, SETTINGS_VARIABLE: str(settings), **added},
            stdout=log.open("wb"),
            stderr=asyncio.subprocess.STDOUT,
        )
        running = RunningNode(process, host, server, store, log)
        try:
            await running.async_wait_ready()
            yield running
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
