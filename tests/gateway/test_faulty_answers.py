"""Tests of servers whose answers are repeated, cut short or not what was asked for."""

import asyncio

import pytest

from tests.gateway.common import (
    ReceivedRequest,
    ScriptedServer,
    async_gateway,
    encode_response,
    route,
)

_REFUSAL = b"HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 4\r\n\r\nfull"


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
