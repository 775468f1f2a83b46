"""Tests of the node program as a process, with stand-ins on loopback."""

import asyncio
import json
import os
import random
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

import pytest

from gooseberryhall.platform.settings import METRICS_PORT, SETTINGS_VARIABLE
from standins.row_store import RowStore
from tests.gateway.common import ReceivedRequest, ScriptedServer
from tests.platform.test_decoding import CONFIGURATION, SERVER_RECORD

ROOT = Path(__file__).parents[2]
START_LIMIT_S = 10.0
POLL_S = 0.05
STOP_LIMIT_S = 8.0
CALLER_PORT = 8227
READY_PORT = 8220


async def _async_respond(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Respond with a delay, so that a shutdown begins with a request in flight."""
    await asyncio.sleep(0.5 if "slow" in request.request_line else 0)
    head = f"HTTP/1.1 200 OK\r\nx-attempt-id: {request.headers['x-attempt-id']}\r\n"
    writer.write(f"{head}x-response-seal: s\r\ncontent-length: 4\r\n\r\ndone".encode())


@dataclass(slots=True)
class RunningNode:
    """A node process and its stand-ins."""

    process: asyncio.subprocess.Process
    host: str
    server: ScriptedServer

    async def async_get(self, port: int, path: str, key: str = "k1") -> bytes:
        """Send a request; return nothing if no connection is made."""
        try:
            reader, writer = await asyncio.open_connection(self.host, port)
        except OSError:
            return b""
        writer.write(
            f"GET {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: 7\r\n"
            f"authorization: Token {key}\r\nconnection: close\r\n\r\n".encode()
        )
        try:
            return await asyncio.wait_for(reader.read(), START_LIMIT_S)
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


def _configuration() -> bytes:
    route = {
        "name": "r",
        "host": "a.example",
        "prefix": "/p/",
        "kind": "safe",
        "timeout_ms": 2000,
        "service": "p",
        "attempts": 2,
    }
    return json.dumps({**CONFIGURATION, "routes": [route]}).encode()


def _settings(host: str, store: str) -> str:
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
            "bounds": {"grace_period_s": 8},
        }
    )


@pytest.fixture
async def node(tmp_path: Path) -> AsyncIterator[RunningNode]:
    """Yield a ready node; kill it if it still runs at the end."""
    # An address of its own for each test keeps the fixed ports apart.
    host = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}.2"
    async with AsyncExitStack() as stack:
        store = RowStore()
        server = ScriptedServer("i-9", _async_respond)
        addresses = []
        for serve in (store.async_serve, server.async_serve):
            listener = await asyncio.start_server(serve, "127.0.0.1", 0)
            stack.callback(listener.close)
            addresses.append("{}:{}".format(*listener.sockets[0].getsockname()[:2]))
        store.put("op", "config", _configuration())
        plain = {
            **SERVER_RECORD,
            "service": "p",
            "address": addresses[1],
            "group": None,
        }
        store.put("servers", "i-9", json.dumps(plain).encode())
        settings = tmp_path / "node.json"
        settings.write_text(_settings(host, addresses[0]))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "gooseberryhall.platform",
            cwd=ROOT,
            env={**os.environ, SETTINGS_VARIABLE: str(settings)},
            stdout=(tmp_path / "log").open("wb"),
        )
        running = RunningNode(process, host, server)
        try:
            await running.async_wait_ready()
            yield running
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


async def test_node_serves_requests_and_metrics(node: RunningNode) -> None:
    """Guards against wrong header names of the platform and missing metrics."""
    response = await node.async_get(CALLER_PORT, "/p/1")
    assert response.startswith(b"HTTP/1.1 200")
    assert b"x-response-seal: s" in response
    assert response.endswith(b"done")
    (request,) = node.server.requests
    assert request.headers["x-tenant"] == "t"
    assert request.headers["x-expected-instance"] == "i-9"
    assert "authorization" not in request.headers
    wrong = await node.async_get(CALLER_PORT, "/p/1", key="k9")
    assert wrong.startswith(b"HTTP/1.1 401")
    metrics = await node.async_get(METRICS_PORT, "/metrics")
    assert b'gooseberryhall_requests_total{outcome="relayed",route="r"} 1' in metrics


async def test_shutdown_answers_accepted_requests(node: RunningNode) -> None:
    """Guards against requests that are cut off by SIGTERM.

    The node must first leave the load balancer.
    """
    node.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    ready = await node.async_get(READY_PORT, "/v1/readiness")
    assert ready.startswith(b"HTTP/1.1 503")
    response = await node.async_get(CALLER_PORT, "/p/slow")
    assert response.endswith(b"done")
    await asyncio.wait_for(node.process.wait(), STOP_LIMIT_S)
    assert node.process.returncode == 0


async def test_invalid_settings_do_not_stop_the_node(
    node: RunningNode, tmp_path: Path
) -> None:
    """Guards against a node that stops on SIGHUP with a half-written settings file."""
    (tmp_path / "node.json").write_text("{half")
    node.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.2)
    response = await node.async_get(CALLER_PORT, "/p/1")
    assert response.endswith(b"done")
    assert "GH1101" in (tmp_path / "log").read_text()
