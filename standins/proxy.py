"""TCP proxy on loopback that injects network faults; it runs in the test's process."""

import asyncio
import contextlib
import socket
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from types import TracebackType

from .http import BACKLOG, HOST

CHUNK_BYTES = 64 * 1024
MAX_PENDING_CHUNKS = 256


class Direction(StrEnum):
    """Direction of the forwarded bytes."""

    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"


@dataclass(slots=True, eq=False)
class _Connection:
    """An accepted connection; a stalled one stays open and forwards nothing."""

    task: asyncio.Task[None]
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    is_stalled: bool = False


class FaultProxy:
    """Forwards connections to a target and injects faults.

    Blocked bytes are delivered later and in order, as TCP does after a partition.
    """

    def __init__(self, target_port: int, target_host: str = HOST) -> None:
        """Set the target; `async_start` opens the port."""
        self.delay_s = 0.0
        self.port = 0
        self._target = (target_host, target_port)
        self._blocked: set[Direction] = set()
        self._changed = asyncio.Event()
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        # Keeps the port while the proxy is disconnected.
        self._reserved: socket.socket | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def __aenter__(self) -> "FaultProxy":
        """Open the port."""
        await self.async_start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the port and all connections."""
        await self.async_stop()

    async def async_start(self, port: int = 0) -> None:
        """Listen on `port`, or on the former port if there was one."""
        self._server = await asyncio.start_server(
            self._async_accept,
            HOST,
            port or self.port,
            backlog=BACKLOG,
            reuse_port=True,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._release_port()

    async def async_stop(self) -> None:
        """Refuse new connections, close all open ones and give up the port."""
        self._release_port()
        await self._async_close()

    def _release_port(self) -> None:
        if self._reserved is not None:
            self._reserved.close()
            self._reserved = None

    async def _async_close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        connections = list(self._connections)
        for connection in connections:
            for writer in connection.writers:
                writer.transport.abort()
            connection.task.cancel()
        tasks = [connection.task for connection in connections]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def async_disconnect(self) -> None:
        """Refuse new connections and close all open ones, until `async_restore`.

        A bound socket that does not listen keeps the port from other processes.
        """
        if self._server is not None:
            self._reserved = socket.socket()
            self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self._reserved.bind((HOST, self.port))
        await self._async_close()

    async def async_restore(self) -> None:
        """End all faults except stalled connections, and deliver blocked bytes."""
        self.delay_s = 0.0
        self.unblock()
        if self._server is None:
            await self.async_start()

    def block(self, *directions: Direction) -> None:
        """Block the given directions, both by default."""
        self._blocked.update(directions or Direction)

    def block_one_way(self, direction: Direction) -> None:
        """Block one direction only and let the other pass."""
        self._blocked = {direction}

    def unblock(self) -> None:
        """Deliver blocked bytes and continue forwarding."""
        self._blocked.clear()
        self._notify_waiters()

    def stall_open_connections(self) -> int:
        """Stall all open connections for good, return their number; new ones work."""
        for connection in self._connections:
            connection.is_stalled = True
        return len(self._connections)

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is None:
            return
        connection = _Connection(task, [writer])
        self._connections.add(connection)
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._async_forward(connection, reader, writer)
        finally:
            self._connections.discard(connection)
            for item in connection.writers:
                item.transport.abort()

    async def _async_forward(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await self._async_wait_unblocked(connection, Direction.TO_TARGET)
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        connection.writers.append(target_writer)
        for item in connection.writers:
            sock: socket.socket = item.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pumps = (
            self._async_pump(connection, reader, target_writer, Direction.TO_TARGET),
            self._async_pump(connection, target_reader, writer, Direction.TO_CLIENT),
        )
        tasks = [asyncio.create_task(pump) for pump in pumps]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _async_wait_unblocked(
        self, connection: _Connection, direction: Direction
    ) -> None:
        while connection.is_stalled or direction in self._blocked:
            await self._changed.wait()

    async def _async_pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        """Forward one direction, including the end of the data."""
        pending: deque[tuple[float, bytes | None]] = deque()
        free_slots = asyncio.Semaphore(MAX_PENDING_CHUNKS)
        arrived = asyncio.Event()
        loop = asyncio.get_running_loop()

        async def async_read() -> None:
            while True:
                await free_slots.acquire()
                data: bytes | None = None
                with contextlib.suppress(OSError):
                    data = await reader.read(CHUNK_BYTES)
                pending.append((loop.time() + self.delay_s, data))
                arrived.set()
                if not data:
                    return

        async def async_write() -> None:
            while True:
                while not pending:
                    arrived.clear()
                    await arrived.wait()
                due_s, data = pending.popleft()
                free_slots.release()
                if due_s > loop.time():
                    await asyncio.sleep(due_s - loop.time())
                await self._async_wait_unblocked(connection, direction)
                if data is None:
                    raise ConnectionResetError
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()

        reading = asyncio.create_task(async_read())
        try:
            await async_write()
        finally:
            reading.cancel()
