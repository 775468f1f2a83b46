"""Opening of links to addresses that do not answer as a control process."""

import asyncio
from typing import Any

import pytest
from websockets.asyncio.client import ClientConnection

from gooseberryhall.links.client import async_open
from gooseberryhall.links.exceptions import LinkUnavailableError

from .common import identity, recorder

LIMIT_S = 5.0


async def test_reset_before_the_handshake_is_a_link_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry process that gives up its link to control for good.

    A proxy or a process that just ended resets connections that were already accepted.
    The library raises another error when that happens before it sends its request.
    """
    handshake = ClientConnection.handshake

    async def async_late(ws: ClientConnection, *arguments: Any) -> None:
        async with asyncio.timeout(LIMIT_S):
            await ws.connection_lost_waiter
        await handshake(ws, *arguments)

    monkeypatch.setattr(ClientConnection, "handshake", async_late)

    def reset(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    _, handlers = recorder()
    async with await asyncio.start_server(reset, "127.0.0.1", 0) as server:
        address = f"ws://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        with pytest.raises(LinkUnavailableError):
            await async_open(address, identity("b"), handlers)
