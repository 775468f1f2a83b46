"""Tests of callers that send bytes that are no request."""

import asyncio

import pytest

from gooseberryhall.fleet.models import Limits
from gooseberryhall.gateway.const import MAX_READ_BYTES
from tests.gateway.common import async_gateway, route

PIECE = b"x" * 16384
# Buffers of the sockets of both sides.
SOCKET_BYTES = 8 * 1024 * 1024


@pytest.mark.parametrize(
    "start",
    [
        pytest.param(b"GET /", id="target"),
        pytest.param(b"GET / HTTP/1.1\r\nhost: ", id="header"),
        pytest.param(
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1;",
            id="chunk extension",
        ),
    ],
)
async def test_endless_request_is_refused(start: bytes) -> None:
    """Guards against memory that grows with a header until the timeout of the head."""
    sent = 0
    limit = Limits().max_header_bytes + MAX_READ_BYTES + SOCKET_BYTES
    async with async_gateway((route(),)) as gateway:
        _, writer = await asyncio.open_connection(
            gateway.address.host, gateway.address.port
        )
        try:
            writer.write(start)
            while True:
                writer.write(PIECE)
                await asyncio.wait_for(writer.drain(), 1)
                sent += len(PIECE)
                assert sent <= limit
        except ConnectionError:
            pass
        finally:
            writer.close()
    assert sent <= limit
