"""Stops listening without resetting connections in the accept queue."""

import asyncio
import contextlib
import ctypes
import os
import select
import socket
import struct
from collections.abc import Iterable
from typing import Protocol

# Linux socket option that attaches a classic BPF program to a socket.
_SO_ATTACH_FILTER = 26
# BPF program of one instruction (return 0), which drops every packet.
_DROP_ALL_PROGRAM = struct.pack("HBBI", 0x06, 0, 0, 0)
# uvloop accepts one connection in each iteration of the loop. Connections remain in the
# queue after this number only if the process has run out of file descriptors.
_MAX_ACCEPT_ITERATIONS = 2048
# asyncio creates the transport of an accepted connection in a task, which runs in a
# later iteration of the loop.
_TRANSPORT_SETUP_ITERATIONS = 2


class ListeningSocket(Protocol):
    """Listening socket of a server; each event loop has its own type for it."""

    def fileno(self) -> int:
        """Return the file descriptor."""


async def async_drain_accept_queue(sockets: Iterable[ListeningSocket]) -> None:
    """Drop new connections to the sockets and accept those already queued.

    Closing a listening socket resets the connections in its accept queue, and their
    callers cannot tell whether a request was executed. New connections get no reply
    until the sockets are closed, and are refused afterwards.
    """
    with contextlib.ExitStack() as stack:
        poll = select.poll()
        for listening in sockets:
            sock = socket.socket(fileno=os.dup(listening.fileno()))
            stack.enter_context(sock)
            _attach_drop_filter(sock)
            poll.register(sock, select.POLLIN)
        for _ in range(_MAX_ACCEPT_ITERATIONS):
            if not poll.poll(0):
                break
            await asyncio.sleep(0)
    for _ in range(_TRANSPORT_SETUP_ITERATIONS):
        await asyncio.sleep(0)


def _attach_drop_filter(sock: socket.socket) -> None:
    program = ctypes.create_string_buffer(_DROP_ALL_PROGRAM)
    option = struct.pack("HL", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, option)
