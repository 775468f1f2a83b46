"""Tests of servers whose answers are repeated, cut short or not what was asked for."""

import asyncio
import random
import socket
import struct
from collections.abc import Sequence
from typing import Any

import pytest

from tests.gateway.common import (
    ReceivedRequest,
    Script,
    ScriptedServer,
    async_gateway,
    chunk,
    encode_response,
    event,
    route,
    stream_head,
    stream_route,
    unframed_head,
)

_LAST_CHUNK = b"0\r\n\r\n"
_ERROR_TEXT = b"out of memory"
_UNSIGNED = ""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_REFUSAL = b"HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 4\r\n\r\nfull"


async def _async_whole(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send the events from the one after the last that the caller has, up to 3."""
    writer.write(stream_head(request, "whole"))
    for number in range(int(request.headers.get("last-event-id", 0)) + 1, 4):
        writer.write(chunk(event(number)))
    writer.write(chunk(b""))


async def _async_break(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Break off after the first event."""
    writer.write(stream_head(request, "broken") + chunk(event(1)))
    await writer.drain()
    writer.transport.abort()


class _InOrder(random.Random):
    """Samples the first groups, so that a request reaches groups in a known order."""

    def sample(self, population: Sequence[Any], k: int, **_: Any) -> list[Any]:  # type: ignore[override]
        """Return the first `k` items."""
        return list(population)[:k]


async def _async_ask_stream(*scripts: Script, attempts: int = 2) -> bytes:
    """Send a request that the groups of these scripts get in this order."""
    leaders = tuple(
        ScriptedServer(f"h{number}", script) for number, script in enumerate(scripts)
    )
    routes = (stream_route(attempts=attempts),)
    async with async_gateway(routes, leaders=leaders) as gateway:
        gateway.state.backends.peer_load = {
            leader.server_id: number for number, leader in enumerate(leaders)
        }
        gateway.state.rng = _InOrder()
        return await gateway.async_request("x-model: large\r\n")


@pytest.mark.parametrize("with_id", [False, True])
async def test_repeated_refusal_on_a_kept_connection_is_not_believed(
    with_id: bool,
) -> None:
    """Guards against "not run" for a request that the server is running.

    A faulty server writes an earlier refusal once more when the next request arrives.
    """
    answered = 0

    async def async_repeat_refusal(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal answered
        answered += 1
        if answered > 1:
            copy = encode_response(
                request, b"full", status=503, extra="x-not-run: 1\r\n", request_id="3"
            )
            writer.write(copy if with_id else _REFUSAL)
        writer.write(encode_response(request, b"mine"))

    server = ScriptedServer("s1", async_repeat_refusal)
    async with async_gateway((route(attempts=1),), (server,)) as gateway:
        await gateway.async_request()
        response = await gateway.async_request()
    assert server.connections == 1
    if with_id:
        assert response.endswith(b"mine")
    else:
        assert response.startswith(b"HTTP/1.1 502")


async def test_commands_do_not_use_kept_connections() -> None:
    """Guards against a command that runs twice after a repeated refusal."""

    async def async_ok(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(encode_response(request))

    server = ScriptedServer("s1", async_ok)
    unsafe = route(idempotent=False, attempts=1)
    async with async_gateway((unsafe,), (server,)) as gateway:
        for _ in range(2):
            await gateway.async_request(method="POST", body="x")
    assert server.connections == 2


@pytest.mark.parametrize(
    ("status", "extra"),
    [
        pytest.param(500, "x-signature: s\r\n", id="failure"),
        pytest.param(503, _UNSIGNED, id="no promise that it was not run"),
        pytest.param(503, "x-not-run: 1\r\n", id="refusal"),
        pytest.param(200, _UNSIGNED, id="success without signature"),
        pytest.param(200, "x-signature: s\r\n", id="text in place of events"),
    ],
)
@pytest.mark.parametrize("third", [False, True])
async def test_error_of_the_next_server_does_not_enter_a_begun_stream(
    status: int, extra: str, third: bool
) -> None:
    """Guards against an error's text within a stream, or a stream that looks whole.

    A stream has begun and breaks off, and the group that should go on with it fails.
    """

    async def async_fail(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        body = b"HTTP/1.1 500 X\n\n" + _ERROR_TEXT + b"\n\n"
        writer.write(encode_response(request, body, status=status, extra=extra))

    scripts: tuple[Script, ...] = (_async_break, async_fail)
    if third:
        scripts = (*scripts, _async_whole)
    response = await _async_ask_stream(*scripts, attempts=4)
    assert response.startswith(b"HTTP/1.1 200")
    assert _ERROR_TEXT not in response
    assert response.count(b"HTTP/1.1") == 1
    assert response.endswith(_LAST_CHUNK) == third
    if third:
        assert b"piece 3" in response


async def test_resumed_stream_does_not_repeat_events() -> None:
    """Guards against events that come twice from a group that starts anew."""

    async def async_start_anew(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(request, "anew"))
        for number in (1, 2, 3):
            writer.write(chunk(event(number)))
        writer.write(chunk(b""))

    response = await _async_ask_stream(
        _async_break, async_start_anew, _async_whole, attempts=4
    )
    assert response.count(b"piece 1\n") == 1
    assert response.count(b"piece 3\n") == 1
    assert response.endswith(_LAST_CHUNK)


def _cut_heads() -> list[bytes]:
    """Return the beginnings of a head that ends at, or within, one of its lines."""
    lines = [b"HTTP/1.1 200 OK", b"x-id: 17", b"x-signature: s", b"content-length: 9"]
    whole = b"\r\n".join(lines) + b"\r\n"
    return [whole[:size] for size in (5, 15, 17, 30, 44, 55, len(whole))]


@pytest.mark.parametrize("head", _cut_heads())
@pytest.mark.parametrize("kept", [False, True])
async def test_answer_that_ends_within_its_head_is_no_success(
    head: bytes, kept: bool
) -> None:
    """Guards against a 200 with an empty or short body that looks whole."""
    answered = 0

    async def async_cut(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal answered
        answered += 1
        if kept and answered == 1:
            writer.write(encode_response(request))
            return
        writer.write(head)
        await writer.drain()
        writer.close()

    server = ScriptedServer("s1", async_cut)
    async with async_gateway((route(attempts=1),), (server,)) as gateway:
        if kept:
            await gateway.async_request()
        response = await gateway.async_request()
    assert response.startswith(b"HTTP/1.1 502")
    response = await _async_ask_stream(async_cut)
    assert not response.startswith(b"HTTP/1.1 200")


async def test_answer_without_length_and_body_is_no_success() -> None:
    """Guards against a 200 with an empty body from a server that broke off.

    A head with neither a length nor chunks does not tell that a body is missing.
    """

    async def async_only_head(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(unframed_head(request))
        await writer.drain()
        writer.close()

    server = ScriptedServer("s1", async_only_head)
    async with async_gateway((route(attempts=1),), (server,)) as gateway:
        response = await gateway.async_request()
    assert response.startswith(b"HTTP/1.1 502")
    response = await _async_ask_stream(async_only_head)
    assert not response.startswith(b"HTTP/1.1 200")
    response = await _async_ask_stream(async_only_head, _async_whole)
    assert response.startswith(b"HTTP/1.1 200")
    assert b"piece 3" in response


@pytest.mark.parametrize(
    ("end", "reset", "whole"),
    [
        pytest.param(event(2), False, True, id="whole"),
        pytest.param(event(2)[:9], False, False, id="within an event"),
        pytest.param(b"", True, False, id="reset"),
    ],
)
async def test_stream_that_ends_with_its_connection(
    end: bytes, reset: bool, whole: bool
) -> None:
    """Guards against taking a broken stream for a whole one, and the reverse.

    A stream with neither a length nor chunks ends with its connection. It was broken
    off if it ends within an event or by a reset.
    """

    async def async_unframed(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(unframed_head(request) + event(1) + end)
        await writer.drain()
        if reset:
            # The gateway reads the event before the reset discards it.
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        writer.close()

    alone = await _async_ask_stream(async_unframed)
    assert alone.endswith(_LAST_CHUNK) == whole
    resumed = await _async_ask_stream(async_unframed, _async_whole)
    assert resumed.count(b"piece 2\n") == 1
    assert resumed.endswith(_LAST_CHUNK)


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
@pytest.mark.parametrize("streaming", [False, True])
async def test_status_that_is_none_does_not_reach_the_caller(
    status: str, streaming: bool
) -> None:
    """Guards against an answer with a status such as 000 (MIXED).

    Another server is asked at once; the answer is no interim response, either.
    """

    async def async_odd(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = f"HTTP/1.1 {status} X\r\nx-id: {request.headers['x-id']}\r\n"
        writer.write(f"{head}x-signature: s\r\ncontent-length: 3\r\n\r\nodd".encode())

    if streaming:
        response = await _async_ask_stream(async_odd, _async_whole)
        assert response.endswith(_LAST_CHUNK)
    else:
        answers = [async_odd, _async_answer_whole]
        servers = tuple(
            ScriptedServer(f"s{number}", script)
            for number, script in enumerate(answers)
        )
        async with async_gateway((route(),), servers) as gateway:
            gateway.prefer("s0")
            response = await asyncio.wait_for(gateway.async_request(), 0.3)
        assert response.endswith(b"whole")
        assert len(servers[0].requests) == 1
    assert response.startswith(b"HTTP/1.1 200")


async def _async_answer_whole(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(encode_response(request, b"whole"))


async def test_command_gets_no_status_that_is_none() -> None:
    """Guards against a command that is answered with 000, or sent again (MIXED)."""

    async def async_odd(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = f"HTTP/1.1 000 X\r\nx-id: {request.headers['x-id']}\r\n"
        writer.write(f"{head}content-length: 0\r\n\r\n".encode())

    servers = (ScriptedServer("s0", async_odd), ScriptedServer("s1", async_odd))
    unsafe = route(idempotent=False)
    async with async_gateway((unsafe,), servers) as gateway:
        request = gateway.async_request(method="POST", body="x")
        response = await asyncio.wait_for(request, 0.3)
    assert response.startswith(b"HTTP/1.1 502")
    assert sum(len(server.requests) for server in servers) == 1
