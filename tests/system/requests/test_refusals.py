"""Malformed, oversized and unauthorized requests from callers (P4)."""

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio
from yarl import URL

from standins.demo import MODEL, SERVICE

from .common import (
    TEAM_HEADERS,
    RunningSystem,
    async_chat,
    async_engine_total,
    async_run_count,
    async_send_command,
)

pytestmark = pytest.mark.asyncio(loop_scope="package")

MAX_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
CHUNK_BYTES = 64 * 1024
RESPONSE_LIMIT_S = 5.0
MESSAGES = [{"role": "user", "content": "x"}]
VALID_BODY = json.dumps({"model": MODEL, "messages": MESSAGES}).encode()
CHAT_PATH = "/v1/chat/completions"
FAN_START_PATH = f"/services/{SERVICE}/fans/7/start"

# Path, headers, body, status and error code.
RefusedRequest = tuple[str, dict[str, str], bytes, int, str]
REFUSED_REQUESTS: dict[str, RefusedRequest] = {
    "no token": (CHAT_PATH, {}, VALID_BODY, 401, "invalid_token"),
    "wrong token": (
        CHAT_PATH,
        {"Authorization": "Bearer wrong"},
        VALID_BODY,
        401,
        "invalid_token",
    ),
    "other scheme": (
        CHAT_PATH,
        {"Authorization": "Basic x"},
        VALID_BODY,
        401,
        "invalid_token",
    ),
    "wrong token for a command": (
        FAN_START_PATH,
        {"Authorization": "Bearer wrong", "Idempotency-Key": "refused"},
        b"",
        401,
        "invalid_token",
    ),
    "empty body": (CHAT_PATH, TEAM_HEADERS, b"", 400, "invalid_json"),
    "no JSON": (CHAT_PATH, TEAM_HEADERS, b"{", 400, "invalid_json"),
    "no UTF-8": (
        CHAT_PATH,
        TEAM_HEADERS,
        b'{"model": "\xff\xfe"}',
        400,
        "invalid_json",
    ),
    "deeply nested": (CHAT_PATH, TEAM_HEADERS, b"[" * 200_000, 400, "invalid_json"),
    "no object": (CHAT_PATH, TEAM_HEADERS, b"[1]", 400, "invalid_request"),
    "no messages": (CHAT_PATH, TEAM_HEADERS, b'{"model": "m"}', 400, "invalid_request"),
    "messages of another type": (
        CHAT_PATH,
        TEAM_HEADERS,
        json.dumps({"model": MODEL, "messages": "x"}).encode(),
        400,
        "invalid_request",
    ),
    "huge number": (
        CHAT_PATH,
        TEAM_HEADERS,
        b'{"model": ' + b"9" * 10_000 + b"}",
        400,
        "invalid_json",
    ),
    "unknown model": (
        CHAT_PATH,
        TEAM_HEADERS,
        json.dumps({"model": "other", "messages": MESSAGES}).encode(),
        404,
        "model_not_found",
    ),
    "malformed deadline": (
        CHAT_PATH,
        {**TEAM_HEADERS, "X-Deadline-Ms": "-1"},
        VALID_BODY,
        400,
        "invalid_deadline",
    ),
    "body over 1 MiB": (
        CHAT_PATH,
        TEAM_HEADERS,
        b" " * (MAX_BODY_BYTES + 1),
        413,
        "body_too_large",
    ),
    "command over 1 MiB": (
        FAN_START_PATH,
        {**TEAM_HEADERS, "Idempotency-Key": "refused"},
        b" " * (MAX_BODY_BYTES + 1),
        413,
        "body_too_large",
    ),
    "headers over 16 KiB": (
        CHAT_PATH,
        {**TEAM_HEADERS, "X-Padding": "x" * MAX_HEADER_BYTES},
        VALID_BODY,
        431,
        "headers_too_large",
    ),
    "unknown service": (
        "/services/other/fans/7/start",
        {**TEAM_HEADERS, "Idempotency-Key": "refused"},
        b"",
        404,
        "unknown_service",
    ),
    "path that a service may read as another": (
        f"/services/{SERVICE}/fans/7%2fstart",
        {**TEAM_HEADERS, "Idempotency-Key": "refused"},
        b"",
        400,
        "invalid_path",
    ),
    "unknown path": ("/v2/other", TEAM_HEADERS, b"", 404, "not_found"),
}


@pytest_asyncio.fixture(autouse=True, loop_scope="package")
async def verify_unaffected(system: RunningSystem) -> AsyncIterator[None]:
    """Check that no backend ran a request and the same entry process still serves."""
    node = system.nodes[0]
    process = system.cluster.process(node.name, "entry")
    before = process.pid, await async_engine_total(system, "started")
    yield
    assert process.is_running
    assert (process.pid, await async_engine_total(system, "started")) == before
    assert await async_run_count(system, "refused") == 0
    assert (await async_chat(system, node, "after a refusal")).is_complete
    assert (await async_send_command(system, node, None)).status == 400


def _assert_refused(status: int, body: Any, expected: tuple[int, str]) -> None:
    error = body["error"]
    assert (status, error["code"]) == expected, (status, body)
    assert error["ran"] == "no"
    assert error["type"]
    assert error["message"]
    assert error["request_id"]


@pytest.mark.parametrize("name", REFUSED_REQUESTS)
async def test_an_unacceptable_request_gets_a_typed_error(
    system: RunningSystem, name: str
) -> None:
    """Guards against errors without a type, a code or the `ran` field."""
    path, headers, body, status, code = REFUSED_REQUESTS[name]
    url = URL(system.nodes[0].address("entry") + path, encoded=True)
    async with asyncio.timeout(RESPONSE_LIMIT_S):
        async with system.session.post(url, data=body, headers=headers) as response:
            content = await response.json()
    _assert_refused(response.status, content, (status, code))


async def test_a_chunked_body_without_end_is_refused(system: RunningSystem) -> None:
    """Guards against a body of unknown length that exhausts the memory of a node."""

    async def async_body() -> AsyncIterator[bytes]:
        for _ in range(4 * MAX_BODY_BYTES // CHUNK_BYTES):
            yield b" " * CHUNK_BYTES

    url = system.chat_url(system.nodes[0])
    async with asyncio.timeout(RESPONSE_LIMIT_S):
        async with system.session.post(
            url, data=async_body(), headers=TEAM_HEADERS
        ) as response:
            content = await response.json()
    _assert_refused(response.status, content, (413, "body_too_large"))


async def test_a_caller_that_keeps_sending_gets_the_refusal(
    system: RunningSystem,
) -> None:
    """Guards against a reset that discards the response before the caller reads it."""
    node = system.nodes[0]
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {node.name}\r\n"
        f"Authorization: {TEAM_HEADERS['Authorization']}\r\n"
        f"Content-Length: {4 * MAX_BODY_BYTES}\r\n\r\n"
    )
    reader, writer = await asyncio.open_connection("127.0.0.1", node.ports["entry"])
    try:
        async with asyncio.timeout(RESPONSE_LIMIT_S):
            writer.write(head.encode())
            for _ in range(4 * MAX_BODY_BYTES // CHUNK_BYTES):
                writer.write(b" " * CHUNK_BYTES)
                await writer.drain()
                await asyncio.sleep(0.001)
            response = await reader.read()
    finally:
        writer.close()
    assert response.startswith(b"HTTP/1.1 413 "), response[:80]


@pytest.mark.parametrize(
    "data",
    [b"\x16\x03\x01\x02\x00\x01\x00", b"GET\r\n\r\n", b"POST / HTTP/1.1\r\n: \r\n\r\n"],
    ids=["tls", "no-version", "empty-header"],
)
async def test_bytes_that_are_not_a_request_close_the_connection(
    system: RunningSystem, data: bytes
) -> None:
    """Guards against a connection that a broken client keeps open forever."""
    node = system.nodes[0]
    reader, writer = await asyncio.open_connection("127.0.0.1", node.ports["entry"])
    writer.write(data)
    writer.write_eof()
    try:
        async with asyncio.timeout(RESPONSE_LIMIT_S):
            response = await reader.read()
    finally:
        writer.close()
    assert not response.startswith(b"HTTP/1.1 2")
    assert not response.startswith(b"HTTP/1.1 5")
