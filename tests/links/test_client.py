"""Tests of opening links to addresses that fail."""

import asyncio
from typing import Any

import pytest
from websockets.asyncio.client import ClientConnection

from gooseberryhall.links.client import Backoff, async_open
from gooseberryhall.links.exceptions import LinkUnavailableError

from .common import identity, recorder

TIMEOUT_S = 5.0
LASTING_S = 60.0
SHORT_S = 0.5


def test_failures_before_a_link_opened_do_not_delay_the_next() -> None:
    """Guards against evidence that expires while a process waits to reconnect.

    A process that started before its peers had failed several times. When its link was
    lost within two seconds, it reconnected up to 1.8 s later.
    """
    backoff = Backoff()
    for _ in range(4):
        backoff.record_failure()
    backoff.record_close(SHORT_S)
    assert backoff.failures == 1


def test_links_that_close_repeatedly_are_reopened_with_backoff() -> None:
    """Guards against reconnecting at full speed to a process that closes each link."""
    backoff = Backoff()
    for count in range(1, 4):
        backoff.record_close(SHORT_S)
        assert backoff.failures == count
    backoff.record_close(LASTING_S)
    assert backoff.failures == 0


async def test_reset_before_the_handshake_is_a_link_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry process that never reopens its link to control.

    A proxy or a process that just exited resets connections that were already accepted.
    The library raises another error if that happens before it sends its request.
    """
    handshake = ClientConnection.handshake

    async def async_late(ws: ClientConnection, *arguments: Any) -> None:
        async with asyncio.timeout(TIMEOUT_S):
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
