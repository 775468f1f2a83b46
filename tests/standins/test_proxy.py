"""Tests that the fault proxy delays, blocks and disconnects as a network does."""

import asyncio
import socket
from collections.abc import AsyncIterator

import pytest

from standins.http import HOST
from standins.proxy import Direction, FaultProxy

STALL_S = 0.2
TIMEOUT_S = 2.0


@pytest.fixture
async def proxy() -> AsyncIterator[FaultProxy]:
    """Run a proxy in front of an echo server."""

    async def async_echo(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(async_echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with FaultProxy(port) as running:
        yield running
    server.close()


class _Caller:
    """A connection through the proxy."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader, self.writer = reader, writer

    async def async_echo(self, text: bytes, timeout_s: float = TIMEOUT_S) -> bytes:
        self.writer.write(text)
        return await self.async_read(len(text), timeout_s)

    async def async_read(self, size: int, timeout_s: float = TIMEOUT_S) -> bytes:
        async with asyncio.timeout(timeout_s):
            return await self.reader.readexactly(size)


async def _async_connect(proxy: FaultProxy) -> _Caller:
    return _Caller(*await asyncio.open_connection("127.0.0.1", proxy.port))


@pytest.mark.parametrize("direction", [*Direction, None])
async def test_blocked_bytes_arrive_late(
    proxy: FaultProxy, direction: Direction | None
) -> None:
    """Guards against a simulated partition that drops bytes of a connection."""
    caller = await _async_connect(proxy)
    assert await caller.async_echo(b"one") == b"one"
    if direction is None:
        proxy.block()
    else:
        proxy.block_one_way(direction)
    with pytest.raises(TimeoutError):
        await caller.async_echo(b"two", STALL_S)
    proxy.unblock()
    assert await caller.async_read(3) == b"two"
    caller.writer.close()


async def test_open_connections_stall_and_new_ones_work(proxy: FaultProxy) -> None:
    """Guards against a fault that closes the stalled connection or stalls new ones."""
    stalled = await _async_connect(proxy)
    assert await stalled.async_echo(b"one") == b"one"
    assert proxy.stall_open_connections() == 1
    with pytest.raises(TimeoutError):
        await stalled.async_echo(b"two", STALL_S)
    working = await _async_connect(proxy)
    assert await working.async_echo(b"three") == b"three"
    assert not stalled.reader.at_eof()
    stalled.writer.close()
    working.writer.close()


async def test_disconnection_closes_and_refuses_until_restored(
    proxy: FaultProxy,
) -> None:
    """Guards against a disconnection that lets new connections through."""
    caller = await _async_connect(proxy)
    assert await caller.async_echo(b"one") == b"one"
    await proxy.async_disconnect()
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await caller.async_echo(b"two")
    with pytest.raises(ConnectionError):
        await _async_connect(proxy)
    await proxy.async_restore()
    restored = await _async_connect(proxy)
    loop = asyncio.get_running_loop()
    proxy.delay_s = 0.1
    start_s = loop.time()
    assert await restored.async_echo(b"four") == b"four"
    assert loop.time() - start_s >= 0.2
    restored.writer.close()


async def test_port_is_kept_while_disconnected() -> None:
    """Guards against a port that another process takes before the proxy is restored."""
    async with FaultProxy(1) as proxy:
        await proxy.async_disconnect()
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind((HOST, proxy.port))
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(HOST, proxy.port)
        await proxy.async_restore()
        _, writer = await asyncio.open_connection(HOST, proxy.port)
        writer.close()
