"""Malformed, oversize and unauthorised requests from callers (P4)."""

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio
from yarl import URL

from standins.demo import MODEL, SERVICE

from .common import (
    AUTH,
    RunningSystem,
    async_chat,
    async_command,
    async_engine_total,
    async_runs,
)

pytestmark = pytest.mark.asyncio(loop_scope="package")

MAX_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
CHUNK_BYTES = 64 * 1024
ANSWER_LIMIT_S = 5.0
MESSAGES = [{"role": "user", "content": "x"}]
GOOD = json.dumps({"model": MODEL, "messages": MESSAGES}).encode()
CHAT = "/v1/chat/completions"
FAN = f"/services/{SERVICE}/fans/7/start"

# Path, headers, body, status and error code.
Case = tuple[str, dict[str, str], bytes, int, str]
CASES: dict[str, Case] = {
    "no token": (CHAT, {}, GOOD, 401, "invalid_token"),
    "wrong token": (
        CHAT,
        {"Authorization": "Bearer wrong"},
        GOOD,
        401,
        "invalid_token",
    ),
    "other scheme": (CHAT, {"Authorization": "Basic x"}, GOOD, 401, "invalid_token"),
    "wrong token for a command": (
        FAN,
        {"Authorization": "Bearer wrong", "Idempotency-Key": "refused"},
        b"",
        401,
        "invalid_token",
    ),
    "empty body": (CHAT, AUTH, b"", 400, "invalid_json"),
    "no JSON": (CHAT, AUTH, b"{", 400, "invalid_json"),
    "no UTF-8": (CHAT, AUTH, b'{"model": "\xff\xfe"}', 400, "invalid_json"),
    "deeply nested": (CHAT, AUTH, b"[" * 200_000, 400, "invalid_json"),
    "no object": (CHAT, AUTH, b"[1]", 400, "invalid_request"),
    "no messages": (CHAT, AUTH, b'{"model": "m"}', 400, "invalid_request"),
    "messages of another type": (
        CHAT,
        AUTH,
        json.dumps({"model": MODEL, "messages": "x"}).encode(),
        400,
        "invalid_request",
    ),
    "huge number": (
        CHAT,
        AUTH,
        b'{"model": ' + b"9" * 10_000 + b"}",
        400,
        "invalid_json",
    ),
    "unknown model": (
        CHAT,
        AUTH,
        json.dumps({"model": "other", "messages": MESSAGES}).encode(),
        404,
        "model_not_found",
    ),
    "malformed deadline": (
        CHAT,
        {**AUTH, "X-Deadline-Ms": "-1"},
        GOOD,
        400,
        "invalid_deadline",
    ),
    "body over 1 MiB": (
        CHAT,
        AUTH,
        b" " * (MAX_BODY_BYTES + 1),
        413,
        "body_too_large",
    ),
    "command over 1 MiB": (
        FAN,
        {**AUTH, "Idempotency-Key": "refused"},
        b" " * (MAX_BODY_BYTES + 1),
        413,
        "body_too_large",
    ),
    "headers over 16 KiB": (
        CHAT,
        {**AUTH, "X-Padding": "x" * MAX_HEADER_BYTES},
        GOOD,
        431,
        "headers_too_large",
    ),
    "unknown service": (
        "/services/other/fans/7/start",
        {**AUTH, "Idempotency-Key": "refused"},
        b"",
        404,
        "unknown_service",
    ),
    "path that a service may read as another": (
        f"/services/{SERVICE}/fans/7%2fstart",
        {**AUTH, "Idempotency-Key": "refused"},
        b"",
        400,
        "invalid_path",
    ),
    "unknown path": ("/v2/other", AUTH, b"", 404, "not_found"),
}


@pytest_asyncio.fixture(autouse=True, loop_scope="package")
async def unharmed(bed: RunningSystem) -> AsyncIterator[None]:
    """Check that no backend ran anything and the same entry process still serves."""
    node = bed.nodes[0]
    process = bed.cluster.process(node.name, "entry")
    before = process.pid, await async_engine_total(bed, "started")
    yield
    assert process.is_running
    assert (process.pid, await async_engine_total(bed, "started")) == before
    assert await async_runs(bed, "refused") == 0
    assert (await async_chat(bed, node, "after a refusal")).is_whole
    assert (await async_command(bed, node, None)).status == 400


def _assert_refused(status: int, body: Any, expected: tuple[int, str]) -> None:
    error = body["error"]
    assert (status, error["code"]) == expected, (status, body)
    assert error["ran"] == "no"
    assert error["type"]
    assert error["message"]
    assert error["request_id"]


@pytest.mark.parametrize("name", CASES)
async def test_an_unacceptable_request_gets_a_typed_error(
    bed: RunningSystem, name: str
) -> None:
    """Guards against untyped errors and against callers that cannot tell `ran`."""
    path, headers, body, status, code = CASES[name]
    url = URL(bed.nodes[0].address("entry") + path, encoded=True)
    async with asyncio.timeout(ANSWER_LIMIT_S):
        async with bed.session.post(url, data=body, headers=headers) as response:
            content = await response.json()
    _assert_refused(response.status, content, (status, code))


async def test_a_chunked_body_without_end_is_refused(bed: RunningSystem) -> None:
    """Guards against a body of unknown length that fills the memory of the node."""

    async def async_body() -> AsyncIterator[bytes]:
        for _ in range(4 * MAX_BODY_BYTES // CHUNK_BYTES):
            yield b" " * CHUNK_BYTES

    url = bed.chat_url(bed.nodes[0])
    async with asyncio.timeout(ANSWER_LIMIT_S):
        async with bed.session.post(url, data=async_body(), headers=AUTH) as response:
            content = await response.json()
    _assert_refused(response.status, content, (413, "body_too_large"))


async def test_a_caller_that_goes_on_sending_gets_the_refusal(
    bed: RunningSystem,
) -> None:
    """Guards against a reset, which drops the answer before the caller reads it."""
    node = bed.nodes[0]
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {node.name}\r\n"
        f"Authorization: {AUTH['Authorization']}\r\n"
        f"Content-Length: {4 * MAX_BODY_BYTES}\r\n\r\n"
    )
    reader, writer = await asyncio.open_connection("127.0.0.1", node.ports["entry"])
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            writer.write(head.encode())
            for _ in range(4 * MAX_BODY_BYTES // CHUNK_BYTES):
                writer.write(b" " * CHUNK_BYTES)
                await writer.drain()
                await asyncio.sleep(0.001)
            answer = await reader.read()
    finally:
        writer.close()
    assert answer.startswith(b"HTTP/1.1 413 "), answer[:80]


@pytest.mark.parametrize(
    "data",
    [b"\x16\x03\x01\x02\x00\x01\x00", b"GET\r\n\r\n", b"POST / HTTP/1.1\r\n: \r\n\r\n"],
    ids=["tls", "no-version", "empty-header"],
)
async def test_bytes_that_are_no_request_end_the_connection(
    bed: RunningSystem, data: bytes
) -> None:
    """Guards against a connection that a broken client keeps open for ever."""
    node = bed.nodes[0]
    reader, writer = await asyncio.open_connection("127.0.0.1", node.ports["entry"])
    writer.write(data)
    writer.write_eof()
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            answer = await reader.read()
    finally:
        writer.close()
    assert not answer.startswith(b"HTTP/1.1 2")
    assert not answer.startswith(b"HTTP/1.1 5")
