"""Opening of links to addresses that do not answer as a control process."""

import asyncio
from typing import Any

import pytest
from websockets.asyncio.client import ClientConnection

from gooseberryhall.links.client import Backoff, async_open
from gooseberryhall.links.exceptions import LinkUnavailableError

from .common import identity, recorder

LIMIT_S = 5.0
LASTING_S = 60.0
SHORT_S = 0.5


def test_failures_before_a_link_opened_do_not_delay_its_successor() -> None:
    """Guards against evidence that grows old while a process waits to dial again.

    A process that started before its peers had failed several times. When its link was
    lost within two seconds, the next dial came up to 1.8 s later.
    """
    backoff = Backoff()
    for _ in range(4):
        backoff.note_failed()
    backoff.note_closed(SHORT_S)
    assert backoff.failures == 1


def test_links_that_close_again_and_again_are_dialled_ever_more_slowly() -> None:
    """Guards against dialling at full speed a process that accepts and then closes."""
    backoff = Backoff()
    for count in range(1, 4):
        backoff.note_closed(SHORT_S)
        assert backoff.failures == count
    backoff.note_closed(LASTING_S)
    assert backoff.failures == 0


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
