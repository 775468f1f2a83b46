"""Stops listening without resetting connections in the accept queue."""

import asyncio
import contextlib
import ctypes
import logging
import os
import select
import socket
import struct
from collections.abc import Iterable
from typing import Protocol

from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

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


async def async_stop_listening(server: asyncio.Server) -> None:
    """Stop listening; all accepted connections are set up afterwards."""
    await async_drain_accept_queue(server.sockets)
    server.close()
    # A connection may have been accepted after the last check of the queue.
    await _async_wait_for_setup()


async def async_drain_accept_queue(sockets: Iterable[ListeningSocket]) -> None:
    """Drop new connections to the sockets and accept those already queued.

    Closing a listening socket resets the connections in its accept queue, and their
    callers cannot tell whether a request was executed. New connections get no reply
    until the sockets are closed, and are refused afterwards.

    A system may refuse to drop new connections. Those that arrive between the last
    check of the queue and the close are then reset. No error is raised, as callers that
    are connected would pay for it.
    """
    with contextlib.ExitStack() as stack:
        poll = select.poll()
        for listening in sockets:
            try:
                sock = socket.socket(fileno=os.dup(listening.fileno()))
            except OSError as exc:
                _log_refusal("the accept queue cannot be read", exc)
                continue
            stack.enter_context(sock)
            _drop_new_connections(sock)
            poll.register(sock, select.POLLIN)
        await _async_wait_until_empty(poll)
        await _async_wait_for_setup()
        # Connections arrive meanwhile if they are not dropped.
        await _async_wait_until_empty(poll)


async def _async_wait_for_setup() -> None:
    for _ in range(_TRANSPORT_SETUP_ITERATIONS):
        await asyncio.sleep(0)


async def _async_wait_until_empty(poll: "select.poll") -> None:
    for _ in range(_MAX_ACCEPT_ITERATIONS):
        if not poll.poll(0):
            return
        await asyncio.sleep(0)


def _drop_new_connections(sock: socket.socket) -> None:
    try:
        _attach_drop_filter(sock)
    except OSError as exc:
        _log_refusal("new connections cannot be dropped", exc)


def _attach_drop_filter(sock: socket.socket) -> None:
    program = ctypes.create_string_buffer(_DROP_ALL_PROGRAM)
    option = struct.pack("HL", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, option)


def _log_refusal(message: str, exc: OSError) -> None:
    log_event(
        _LOGGER,
        LogEvent.LISTENING_CALL_REFUSED,
        message,
        level=logging.WARNING,
        error=repr(exc),
    )
