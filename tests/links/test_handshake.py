"""Tests of the mutual authentication of links."""

import asyncio
import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import cbor2
import pytest
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from gooseberryhall.links.client import async_open
from gooseberryhall.links.const import MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES
from gooseberryhall.links.exceptions import AuthenticationError, LinkUnavailableError
from gooseberryhall.links.metrics import FRAMES_REFUSED

from .common import async_serving, identity, recorder

TIMEOUT_S = 3.0


def refused(code: str) -> float:
    """Return the number of handshakes and frames refused with an error code."""
    return float(FRAMES_REFUSED.values.get({"error": code}, 0))


async def test_wrong_secret_is_refused_and_server_stays_up() -> None:
    """Guards against a process with another secret that opens a link or stops ours."""
    recorded, handlers = recorder()
    before = refused("link_authentication")
    async with async_serving(handlers) as address:
        wrong = identity("b", secret="another-secret-0000")
        with pytest.raises(LinkUnavailableError):
            await async_open(address, wrong, handlers)
        link = await async_open(address, identity("c"), handlers)
        assert link.node == "a"
    assert refused("link_authentication") == before + 1
    assert ("open", "b") not in recorded.events


async def test_server_without_secret_is_refused() -> None:
    """Guards against trusting any process that listens on a peer's address."""
    _, handlers = recorder()
    async with async_serving(handlers, secret="another-secret-0000") as address:
        with pytest.raises(LinkUnavailableError):
            await async_open(address, identity("b"), handlers)


@asynccontextmanager
async def async_reflecting_server() -> AsyncIterator[str]:
    """Run a server without the secret that returns the client's own frames."""

    async def async_handle(ws: ServerConnection) -> None:
        hello = cbor2.loads(await ws.recv())
        hello["identity"]["incarnation"] = secrets.token_hex(8)
        await ws.send(cbor2.dumps({**hello, "type": "challenge"}))
        await ws.send(await ws.recv())

    async with serve(async_handle, "127.0.0.1", 0) as server:
        yield f"ws://127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def test_reflected_proof_is_refused() -> None:
    """Guards against accepting our own proof from a server without the secret."""
    _, handlers = recorder()
    async with async_reflecting_server() as address:
        with pytest.raises(AuthenticationError):
            await async_open(address, identity("b"), handlers)


@pytest.mark.parametrize(
    ("frame", "code"),
    [
        (b"\xff\xff", "malformed_frame"),
        (cbor2.dumps([1, 2]), "malformed_frame"),
        (cbor2.dumps({"type": "ping", "n": 1}), "malformed_frame"),
        (b"\x00" * (MAX_HANDSHAKE_FRAME_BYTES + 1), "oversized_frame"),
        (b"\x00" * (MAX_FRAME_BYTES + 1), "oversized_frame"),
        ("text", "malformed_frame"),
    ],
)
async def test_bad_first_frame_is_refused(frame: bytes | str, code: str) -> None:
    """Guards against a port scanner or faulty process that is not refused and counted.

    The server must still accept other links.
    """
    _, handlers = recorder()
    before = refused(code)
    async with async_serving(handlers) as address:
        async with connect(address, proxy=None) as ws:
            await ws.send(frame)
            with pytest.raises(ConnectionClosed):
                await asyncio.wait_for(ws.recv(), TIMEOUT_S)
        assert (await async_open(address, identity("c"), handlers)).node == "a"
    assert refused(code) == before + 1
