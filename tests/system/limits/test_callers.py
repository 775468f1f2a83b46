"""Tests of callers that send or hold more than the limits of a node allow."""

import asyncio
import socket
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.gateway.common import ReceivedRequest
from tests.platform.common import RunningNode, async_respond, async_run_node
from tests.system.limits.common import (
    CALLER_LIMITS,
    HEAD,
    MAX_BODY_BYTES,
    PROCESS_LIMITS,
    async_check,
)

BODY_CALLERS = 80
HEAD_CALLERS = 400
SLOW_READERS = 32
IDLE_CALLERS = 400
IDLE_DESCRIPTORS = 128
PIECES = 32
PIECE_PERIOD_S = 0.01
# One caller of this many sends its whole body.
COMPLETE_EVERY = 8
# More than the buffers of both sockets hold.
LARGE_ANSWER_BYTES = 8 * 1024 * 1024
# Just below what the parser may hold of a head: 16 KiB and one read.
LONG_VALUE_BYTES = 250 * 1024
# The head stays below 16 KiB by the count of its bytes.
TINY_HEADERS = 2500
EMPTY_LINES = b"\r\n" * 8192
EMPTY_LINE_WRITES = 256
LARGE_CHUNK_BYTES = 64 * 1024
SMALL_CHUNK_BYTES = 64


async def _async_answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    if "/large" not in request.request_line:
        await async_respond(request, writer)
        return
    head = (
        f"HTTP/1.1 200 OK\r\nx-attempt-id: {request.headers['x-attempt-id']}\r\n"
        f"x-response-seal: s\r\ncontent-length: {LARGE_ANSWER_BYTES}\r\n\r\n"
    )
    writer.write(head.encode() + bytes(LARGE_ANSWER_BYTES))


@pytest.fixture
async def node(tmp_path: Path) -> AsyncIterator[RunningNode]:
    """Yield a ready node with little memory."""
    async with async_run_node(
        tmp_path,
        _async_answer,
        process_limits=PROCESS_LIMITS,
        caller_limits=CALLER_LIMITS,
    ) as running:
        yield running


async def _async_write_pieces(
    writer: asyncio.StreamWriter, data: bytes, pieces: int
) -> None:
    size = -(-len(data) // pieces)
    for start in range(0, len(data), size):
        writer.write(data[start : start + size])
        await writer.drain()
        if pieces > 1:
            await asyncio.sleep(PIECE_PERIOD_S)


async def _async_check_bodies(
    node: RunningNode, head: bytes, body: bytes, pieces: int
) -> None:
    """Send many bodies; most stop just short of their end."""

    async def async_call(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        data = head + (body if number % COMPLETE_EVERY == 0 else body[:-1])
        await _async_write_pieces(writer, data, pieces)

    await async_check(node, BODY_CALLERS, async_call)


@pytest.mark.parametrize("pieces", [1, PIECES], ids=["whole", "pieces"])
async def test_many_large_bodies(node: RunningNode, pieces: int) -> None:
    """Guards against memory that grows with all bodies that are received."""
    head = HEAD + b"content-length: %d\r\n\r\n" % MAX_BODY_BYTES
    await _async_check_bodies(node, head, bytes(MAX_BODY_BYTES), pieces)


@pytest.mark.parametrize(
    "chunk_bytes", [LARGE_CHUNK_BYTES, SMALL_CHUNK_BYTES], ids=["large", "small"]
)
async def test_many_chunked_bodies(node: RunningNode, chunk_bytes: int) -> None:
    """Guards against memory that grows with all chunks that are received."""
    head = HEAD + b"transfer-encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
    body = chunk * (MAX_BODY_BYTES // chunk_bytes) + b"0\r\n\r\n"
    await _async_check_bodies(node, head, body, PIECES)


@pytest.mark.parametrize(
    ("data", "pieces"),
    [
        pytest.param(
            HEAD + b"a: " + b"x" * LONG_VALUE_BYTES * 2 + b"\r\n\r\n",
            PIECES,
            id="over-the-limit",
        ),
        pytest.param(HEAD + b"a: " + b"x" * LONG_VALUE_BYTES, 1, id="without-end"),
        pytest.param(HEAD + b"a:b\r\n" * TINY_HEADERS, 1, id="tiny-headers"),
    ],
)
async def test_many_long_heads(node: RunningNode, data: bytes, pieces: int) -> None:
    """Guards against memory that grows with heads that are not complete."""

    async def async_call(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        await _async_write_pieces(writer, data, pieces)

    await async_check(node, HEAD_CALLERS, async_call)


async def test_empty_lines_without_end(node: RunningNode) -> None:
    """Guards against a node that reads empty lines instead of requests."""

    async def async_call(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        for _number in range(EMPTY_LINE_WRITES):
            writer.write(EMPTY_LINES)
            await writer.drain()

    await async_check(node, BODY_CALLERS, async_call)


async def test_callers_that_do_not_read(node: RunningNode) -> None:
    """Guards against memory that grows with responses that no caller takes."""
    turn = asyncio.Lock()
    head = HEAD.replace(b"POST /p/1", b"GET /p/large") + b"\r\n"

    async def async_call(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: int
    ) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        # One response after another, so that none of them is given up on its way
        # through the node.
        async with turn:
            writer.write(head)
            await reader.read(1)
            reader.feed_data = _ignore  # type: ignore[method-assign]
            writer.transport.pause_reading()  # type: ignore[attr-defined]

    await async_check(node, SLOW_READERS, async_call)


def _ignore(data: bytes) -> None:
    """Drop data that was read before the pause."""


async def test_many_idle_connections(tmp_path: Path) -> None:
    """Guards against a node that runs out of descriptors."""

    async def async_stay(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        """Send nothing."""

    async with async_run_node(
        tmp_path,
        _async_answer,
        process_limits={**PROCESS_LIMITS, "file_descriptors": IDLE_DESCRIPTORS},
        caller_limits=CALLER_LIMITS,
    ) as node:
        await async_check(
            node, IDLE_CALLERS, async_stay, max_descriptors=IDLE_DESCRIPTORS
        )
