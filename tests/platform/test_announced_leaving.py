"""Tests of a node program whose servers speak of themselves in their answers."""

import asyncio
import json
from pathlib import Path

from gooseberryhall.platform.settings import METRICS_PORT
from gooseberryhall.transport.address import Address
from tests.gateway.common import ReceivedRequest, ScriptedServer
from tests.platform.common import (
    CALLER_PORT,
    RunningNode,
    async_respond,
    async_run_node,
)
from tests.platform.test_decoding import SERVER_RECORD

REQUESTS = 60
PAUSE_S = 1.0
MAX_REFUSED_SHARE = 0.01


async def _async_say_leaving(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    head = f"HTTP/1.1 200 OK\r\nx-attempt-id: {request.headers['x-attempt-id']}\r\n"
    head += "x-response-seal: s\r\nserver-leaving: 1\r\ncontent-length: 4\r\n\r\n"
    writer.write(f"{head}done".encode())


async def _async_ask_for_pause(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    head = f"HTTP/1.1 503 X\r\nx-attempt-id: {request.headers['x-attempt-id']}\r\n"
    head += f"x-not-executed: 1\r\nretry-after: {PAUSE_S}\r\ncontent-length: 0\r\n\r\n"
    writer.write(head.encode())


async def _async_add_servers(node: RunningNode, count: int) -> list[ScriptedServer]:
    """Start more servers of the plain service and list them."""
    servers = []
    for number in range(count):
        server = ScriptedServer(f"i-{number}", async_respond)
        listener = await asyncio.start_server(server.async_serve, "127.0.0.1", 0)
        server.address = Address(*listener.sockets[0].getsockname()[:2])
        servers.append(server)
        record = {**SERVER_RECORD, "service": "p", "group": None}
        record["address"] = str(server.address)
        node.store.put("servers", server.server_id, json.dumps(record).encode())
    return servers


async def _async_send_requests(node: RunningNode) -> list[bytes]:
    return [await node.async_get(CALLER_PORT, "/p/1") for _ in range(REQUESTS)]


async def test_leaving_server_gets_no_requests_if_the_store_is_away(
    tmp_path: Path,
) -> None:
    """Guards against requests to a server that says in its answers that it leaves.

    Its record does not say so, and the store cannot tell of its end.
    """
    async with async_run_node(tmp_path, _async_say_leaving) as node:
        await _async_add_servers(node, 3)
        await asyncio.sleep(1.0)
        node.store.status = 503
        responses = await _async_send_requests(node)
        metrics = await node.async_get(METRICS_PORT, "/metrics")
    assert len(node.server.requests) <= 1
    assert all(response.endswith(b"done") for response in responses)
    assert b'gooseberryhall_server_statements_total{kind="leaving"} 1' in metrics


async def test_paused_server_gets_no_requests_and_callers_no_refusals(
    tmp_path: Path,
) -> None:
    """Guards against requests in a pause that a server asked for (BUDGET).

    One in six requests was refused meanwhile, although other servers were free.
    """
    async with async_run_node(tmp_path, _async_ask_for_pause) as node:
        await _async_add_servers(node, 3)
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        responses = await _async_send_requests(node)
        pauses = 1 + int((loop.time() - started_s) / PAUSE_S)
    refused = [response for response in responses if b" 503 " in response[:20]]
    assert len(refused) <= MAX_REFUSED_SHARE * REQUESTS
    assert 1 <= len(node.server.requests) <= pauses
