"""Ends listening without losing connections that the kernel has accepted."""

import asyncio
import contextlib
import ctypes
import os
import select
import socket
import struct
from collections.abc import Iterable
from typing import Protocol

# Linux: attaches a classic packet filter to a socket.
_SO_ATTACH_FILTER = 26
# The only instruction of the filter: keep 0 bytes of each packet.
_DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
# uvloop accepts one connection in a turn. Connections may stay if the program has no
# file descriptors left.
_ACCEPT_TURNS = 2048
# The event loop of asyncio makes the transport of an accepted connection in a task.
_ATTACH_TURNS = 2


class ListeningSocket(Protocol):
    """A socket of a server; event loops have types of their own for it."""

    def fileno(self) -> int:
        """Return the file descriptor."""


async def async_drain_accept_queue(sockets: Iterable[ListeningSocket]) -> None:
    """Let no further connection reach the sockets, and accept those that did.

    Closing a listening socket resets connections that the kernel has accepted and
    the program has not. Their callers cannot know whether a request was run.
    Connections that come later are refused once the sockets are closed.
    """
    with contextlib.ExitStack() as stack:
        poll = select.poll()
        for listening in sockets:
            sock = socket.socket(fileno=os.dup(listening.fileno()))
            stack.enter_context(sock)
            _drop_packets(sock)
            poll.register(sock, select.POLLIN)
        for _ in range(_ACCEPT_TURNS):
            if not poll.poll(0):
                break
            await asyncio.sleep(0)
    for _ in range(_ATTACH_TURNS):
        await asyncio.sleep(0)


def _drop_packets(sock: socket.socket) -> None:
    program = ctypes.create_string_buffer(_DROP_ALL)
    option = struct.pack("HL", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, option)
