"""Tests of draining the accept queue of listening sockets."""

import asyncio
import ctypes
import os
import select
import socket
import struct
from collections.abc import Callable

import pytest
import uvloop

from gooseberryhall.core import listening
from gooseberryhall.core.listening import async_drain_accept_queue

CALLERS = 20
TIMEOUT_S = 5.0
# Linux socket options.
SO_ATTACH_FILTER = 26
SO_LOCK_FILTER = 44


async def _async_echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.write(await reader.readexactly(1))
    await writer.drain()
    writer.close()


async def _async_read_responses(callers: list[socket.socket]) -> list[bytes]:
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(TIMEOUT_S):
        return [await loop.sock_recv(caller, 2) for caller in callers]


async def _async_close_with_queued_connections(*, lock_filter: bool) -> list[bytes]:
    server = await asyncio.start_server(_async_echo, "127.0.0.1", 0)
    if lock_filter:
        _lock_filters(server)
    address = server.sockets[0].getsockname()
    # The event loop does not run meanwhile, so connections stay in the accept queue.
    callers = [socket.create_connection(address) for _ in range(CALLERS)]
    try:
        for caller in callers:
            caller.sendall(b"a")
            caller.setblocking(False)
        await async_drain_accept_queue(server.sockets)
        server.close()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address, TIMEOUT_S)
        return await _async_read_responses(callers)
    finally:
        for caller in callers:
            caller.close()


def _lock_filters(server: asyncio.Server) -> None:
    """Attach a BPF program that accepts each packet, and let nothing replace it."""
    program = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0xFFFFFFFF))
    option = struct.pack("HL", 1, ctypes.addressof(program))
    for item in server.sockets:
        with socket.socket(fileno=os.dup(item.fileno())) as sock:
            sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)
            sock.setsockopt(socket.SOL_SOCKET, SO_LOCK_FILTER, 1)


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_queued_connections_are_served(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """Without a drain, closing resets them; callers cannot tell if requests ran."""
    with asyncio.Runner(loop_factory=new_loop) as runner:
        assert (
            runner.run(_async_close_with_queued_connections(lock_filter=False))
            == [b"a"] * CALLERS
        )


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_queued_connections_are_served_if_the_kernel_refuses_a_filter(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """Guards against a planned stop that fails with PermissionError.

    The kernel refuses to replace a filter that is locked. A machine may refuse filters
    for other reasons, and all requests in progress were cut then.
    """
    with asyncio.Runner(loop_factory=new_loop) as runner:
        assert (
            runner.run(_async_close_with_queued_connections(lock_filter=True))
            == [b"a"] * CALLERS
        )


async def _async_connect_after_drain() -> None:
    server = await asyncio.start_server(_async_echo, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    await async_drain_accept_queue(server.sockets)
    with pytest.raises(TimeoutError):
        socket.create_connection(address, 0.3)
    server.close()


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_no_connection_is_queued_between_drain_and_close(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """The close would reset a connection that the kernel queues after the drain."""
    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(_async_connect_after_drain())


class _Accepted(asyncio.Protocol):
    """Counts the connections that were made."""

    count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        _Accepted.count += 1
        transport.close()


async def _async_connect_during_drain(monkeypatch: pytest.MonkeyPatch) -> int:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_Accepted, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    async_wait_until_empty = listening._async_wait_until_empty
    callers = []

    async def async_wait_and_connect(poll: select.poll) -> None:
        await async_wait_until_empty(poll)
        callers.append(socket.create_connection(address))
        # The event loop accepts the connection in this iteration.
        await asyncio.sleep(0)

    monkeypatch.setattr(listening, "_async_wait_until_empty", async_wait_and_connect)
    _lock_filters(server)
    _Accepted.count = 0
    await listening.async_stop_listening(server)
    for caller in callers:
        caller.close()
    return _Accepted.count - len(callers)


def test_connection_accepted_last_is_known_after_the_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stop that ends while an accepted connection is not set up.

    uvloop accepts connections between the steps of a task.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(_async_connect_during_drain(monkeypatch)) == 0
