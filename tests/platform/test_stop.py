"""Tests of a planned stop of the node program as a process."""

import asyncio
import signal
from functools import partial
from pathlib import Path

from tests.gateway.common import (
    ReceivedRequest,
    async_until,
    chunk,
    event,
)
from tests.platform.common import (
    CALLER_PORT,
    REQUEST_HEAD,
    ROOT,
    RunningNode,
    async_respond,
    async_run_node,
)

REFUSING_KERNEL = ROOT / "standins" / "refusing_kernel"
# Long enough to be in progress when the node stops to accept connections.
LONG_S = 3.5
GRACE_S = 5.0
# When callers of a stopping node reach other nodes.
LATE_S = 2.6
# Time before SIGKILL at which the last event of a stream comes.
KILL_MARGIN_S = 0.3
EXIT_LIMIT_S = GRACE_S + 1.0


async def _async_stop(node: RunningNode) -> None:
    """Wait until a stopping node has ended by itself."""
    await asyncio.wait_for(node.process.wait(), EXIT_LIMIT_S)
    assert node.process.returncode == 0


async def _async_hang(_: ReceivedRequest, __: asyncio.StreamWriter) -> None:
    await asyncio.sleep(60)


async def _async_send_late(node: RunningNode, *, deadline_ms: int) -> bytes:
    """Begin a request before the node stops, and complete it late in the grace."""
    reader, writer = await node.async_connect()
    extra = f"x-deadline-milliseconds: {deadline_ms}\r\n"
    head = REQUEST_HEAD.format(
        method="POST", path="/once/late", key="k1", extra=extra
    ).encode()
    writer.write(head[:20])
    await asyncio.sleep(0.2)
    node.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(LATE_S)
    writer.write(head[20:] + b"content-length: 0\r\n\r\n")
    try:
        return await reader.read()
    finally:
        writer.close()


async def test_request_that_comes_late_in_a_stop_is_refused(tmp_path: Path) -> None:
    """Guards against a request that is taken late and cut at the end of the grace.

    It may not be repeated, so its caller must know that it has not run.
    """
    async with async_run_node(
        tmp_path, _async_hang, timeout_s=10.0, grace_s=GRACE_S
    ) as node:
        response = await _async_send_late(node, deadline_ms=8000)
        assert response.startswith(b"HTTP/1.1 503")
        assert b"retry-after" in response
        assert b"Connection: close" in response
        await _async_stop(node)
        assert node.server.requests == []


async def test_request_that_can_end_within_a_stop_is_served(tmp_path: Path) -> None:
    """Guards against refusing requests that a stopping node has time for."""
    async with async_run_node(
        tmp_path, async_respond, timeout_s=10.0, grace_s=GRACE_S
    ) as node:
        response = await _async_send_late(node, deadline_ms=800)
        assert response.endswith(b"done")
        await _async_stop(node)


async def test_request_without_answer_is_answered_at_the_end_of_a_stop(
    tmp_path: Path,
) -> None:
    """Guards against a connection that is closed without an answer at a stop."""
    async with async_run_node(
        tmp_path, _async_hang, timeout_s=20.0, grace_s=GRACE_S
    ) as node:
        request = asyncio.create_task(node.async_get(CALLER_PORT, "/once/1"))
        await asyncio.sleep(0.2)
        node.process.send_signal(signal.SIGTERM)
        response = await request
        assert response.startswith(b"HTTP/1.1 502")
        await _async_stop(node)


async def _async_stream_until(
    request: ReceivedRequest, writer: asyncio.StreamWriter, *, end_s: float
) -> None:
    """Send a stream that ends after some time."""
    writer.write(
        f"HTTP/1.1 200 OK\r\nx-attempt-id: {request.headers['x-attempt-id']}\r\n"
        "x-response-seal: s\r\ntransfer-encoding: chunked\r\n\r\n".encode()
        + chunk(event(1))
    )
    await asyncio.sleep(end_s)
    writer.write(chunk(event(2)) + chunk(b""))


async def test_stream_that_ends_shortly_before_the_kill_is_complete(
    tmp_path: Path,
) -> None:
    """Guards against cutting a stream while there is time to complete it (LOST).

    Nothing is to be said to its caller, so it may go on until the process is killed.
    """
    script = partial(_async_stream_until, end_s=GRACE_S - KILL_MARGIN_S)
    async with async_run_node(
        tmp_path, script, timeout_s=10.0, grace_s=GRACE_S
    ) as node:
        request = asyncio.create_task(node.async_get(CALLER_PORT, "/stream/1"))
        await async_until(lambda: bool(node.server.requests))
        node.process.send_signal(signal.SIGTERM)
        response = await request
        assert b"piece 1" in response
        assert b"piece 2" in response
        assert response.endswith(b"0\r\n\r\n")
        await _async_stop(node)


async def test_request_that_is_never_complete_is_refused_at_the_end_of_a_stop(
    tmp_path: Path,
) -> None:
    """Guards against a slow upload that a planned stop cuts without an answer."""
    async with async_run_node(tmp_path, async_respond, grace_s=GRACE_S) as node:
        reader, writer = await node.async_connect()
        head = REQUEST_HEAD.format(method="POST", path="/p/1", key="k1", extra="")
        writer.write(f"{head}content-length: 9\r\n\r\n12".encode())
        await asyncio.sleep(0.2)
        node.process.send_signal(signal.SIGTERM)
        response = await reader.read()
        writer.close()
        assert response.startswith(b"HTTP/1.1 503")
        await _async_stop(node)
        assert node.server.requests == []


async def test_request_in_progress_is_answered_if_the_kernel_refuses_a_filter(
    tmp_path: Path,
) -> None:
    """Guards against a stop that fails with PermissionError and cuts all requests."""
    async with async_run_node(
        tmp_path,
        partial(async_respond, delay_s=LONG_S),
        timeout_s=GRACE_S,
        grace_s=GRACE_S,
        environment={"PYTHONPATH": str(REFUSING_KERNEL)},
    ) as node:
        request = asyncio.create_task(node.async_get(CALLER_PORT, "/once/1"))
        await asyncio.sleep(0.2)
        node.process.send_signal(signal.SIGTERM)
        response = await request
        assert response.endswith(b"done")
        await _async_stop(node)
        log = node.log.read_text()
    assert "GH1508" in log
    assert "GH1004" in log
