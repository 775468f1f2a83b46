"""Tests of the node program as a process, with stand-ins on loopback."""

import asyncio
import json
import re
import signal
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from gooseberryhall.platform.settings import METRICS_PORT
from tests.gateway.common import ReceivedRequest
from tests.platform.common import (
    CALLER_PORT,
    READY_PORT,
    RunningNode,
    async_respond,
    async_run_node,
)
from tests.platform.test_decoding import SERVER_RECORD, add_nested_field

STOP_LIMIT_S = 8.0
CHANGE_LIMIT_S = 5.0


async def _async_respond(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Respond with a delay, so that a shutdown begins with a request in flight."""
    delay_s = 0.5 if "slow" in request.request_line else 0.0
    await async_respond(request, writer, delay_s=delay_s)


@pytest.fixture
async def node(tmp_path: Path) -> AsyncIterator[RunningNode]:
    """Yield a ready node; kill it if it still runs at the end."""
    async with async_run_node(tmp_path, _async_respond) as running:
        yield running


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
    query = "host=a.example&path=/p/1&team=t&deadline_ms=900"
    answer = await node.async_get(METRICS_PORT, f"/explain?{query}")
    assert json.loads(answer.partition(b"\r\n\r\n")[2])["server"] == "i-9"
    assert len(node.server.requests) == 1


async def test_odd_entries_do_not_affect_the_node(node: RunningNode) -> None:
    """Guards against entries of another writer that end a node or its follower."""
    plain = {**SERVER_RECORD, "service": "p", "group": None}
    address = str(node.server.address)
    odd: list[dict[str, Any]] = [
        {"address": "127.0..1:8310"},
        {"address": "127.0.0.1:99999"},
        {"slots": 10**30},
        {"sequence": 10**30},
        {"born": 10**30},
        {"group": {"name": "g", "epoch": 10**30, "rank": 0, "state": "open"}},
        {"state": "odd"},
        {"zone": None},
    ]
    for number, change in enumerate(odd):
        record = json.dumps({**plain, **change}).encode()
        node.store.put("servers", f"i-odd-{number}", record)
    node.store.put("servers", "i-nested", add_nested_field(plain))
    node.store.put("servers", "i-bytes", b"\xff\x00")
    sound = json.dumps({**plain, "address": address}).encode()
    node.store.put("servers", "i-8\r\nx-odd: 1", sound)
    # Each node still learns of this change.
    node.store.put("servers", "i-9", None)
    node.store.put("servers", "i-8", sound)
    async with asyncio.timeout(CHANGE_LIMIT_S):
        while "i-8" not in {
            item.headers["x-expected-instance"] for item in (node.server.requests)
        }:
            await node.async_get(CALLER_PORT, "/p/1")
    responses = [await node.async_get(CALLER_PORT, "/p/1") for _ in range(20)]
    assert all(response.endswith(b"done") for response in responses)
    assert all("x-odd" not in item.headers for item in node.server.requests)
    assert node.process.returncode is None
    log = node.log.read_text()
    assert "GH1803" in log
    assert not {"GH1005", "GH1504", "GH1805"} & set(re.findall("GH[0-9]+", log))


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


async def test_reload_during_the_start_does_not_end_the_node(tmp_path: Path) -> None:
    """Guards against SIGHUP that ends a node which has not installed a handler yet.

    It was not started again (soak, seed 805555).
    """
    environment = {"PYTHONPATH": str(Path(__file__).parent / "early_reload")}
    async with async_run_node(
        tmp_path, _async_respond, environment=environment
    ) as running:
        response = await running.async_get(CALLER_PORT, "/p/1")
        assert response.endswith(b"done")
    assert "GH1006" in running.log.read_text()


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
