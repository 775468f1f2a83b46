"""A request on a client connection and its incoming response."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from .const import MAX_BUFFERED_BYTES
from .exceptions import TransportError
from .memory import HeldBytes

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


def _do_nothing(*_: object) -> None:
    """Do nothing; the default callback of an exchange."""


@dataclass(slots=True, eq=False)
class Exchange:
    """A request in flight.

    `expected_id` is the request id that the response must echo. Responses with another
    id belong to an earlier request and are skipped. `on_head` is called when the head
    was received, `close` closes the connection and `set_reading` pauses and resumes it.
    Body data counts in `memory` until it is read; a whole body until `release`.
    """

    expected_id: bytes | None = None
    is_head_method: bool = False
    memory: HeldBytes | None = None
    on_head: Callable[[ResponseHead], None] = _do_nothing
    close: Callable[[], None] = _do_nothing
    set_reading: Callable[[bool], None] = _do_nothing
    head: ResponseHead | None = None
    complete: bool = False
    # Number of times at which a part of the response arrived.
    received_count: int = 0
    error: TransportError | None = None
    # Whether the server was found silent, and this was not noticed yet.
    _silent: bool = False
    # Whether the head was read by `async_read_head`.
    head_read: bool = False
    _chunks: deque[bytes] = field(default_factory=deque)
    _buffered_bytes: int = 0
    _paused: bool = False
    _waiter: asyncio.Future[None] | None = None

    @property
    def has_data(self) -> bool:
        """Return whether there is something to read, or the response has ended."""
        if self.error is not None:
            return True
        if not self.head_read:
            return self.head is not None
        return bool(self._chunks) or self.complete

    @property
    def is_silent(self) -> bool:
        """Return whether silence was reported and nobody has waited for data since."""
        return self._silent

    def report_silence(self) -> None:
        """Make `async_wait_for_data` return False if the server has sent nothing."""
        self._silent = True
        self._wake()

    async def async_wait_for_data(self) -> bool:
        """Wait for data or the end of the response.

        Returns False if `report_silence` was called before either.
        """
        self._silent = False
        while not self.has_data:
            if self._silent:
                return False
            await self._async_wait()
        return True

    def receive_head(self, head: ResponseHead) -> None:
        """Store the received status and headers."""
        self.head = head
        self.received_count += 1
        self.on_head(head)
        self._wake()

    def receive_chunk(self, data: bytes) -> None:
        """Buffer a received part of the body."""
        if self.error is not None:
            return
        self._chunks.append(data)
        self.received_count += 1
        self._hold(len(data))
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self.set_reading(False)
        self._wake()

    def finish(self) -> None:
        """Mark the response as complete."""
        self.complete = True
        self._wake()

    def fail(self, error: TransportError) -> None:
        """Fail the exchange with an error, unless it is already complete or failed."""
        if self.complete or self.error is not None:
            return
        self.error = error
        self._wake()

    def abort(self, error: TransportError) -> None:
        """Fail the exchange and close its connection."""
        self.fail(error)
        self.close()

    @property
    def is_incomplete(self) -> bool:
        """Return whether more of the response may arrive."""
        return not self.complete and self.error is None

    def abort_for_memory(self) -> None:
        """Fail the exchange, close its connection and drop what was received."""
        self.abort(TransportError("response needs too much memory"))
        self._chunks.clear()

    def release(self) -> None:
        """Stop counting the response in the memory of responses."""
        if self.memory is not None:
            self.memory.release(self)

    async def async_read_head(self) -> ResponseHead:
        """Wait for the status and headers. Raises `TransportError`."""
        while self.head is None:
            if self.error is not None:
                raise self.error
            await self._async_wait()
        self.head_read = True
        return self.head

    async def async_read_chunk(self) -> bytes:
        """Wait for body data and return it; empty at the end of the body.

        Raises `TransportError`.
        """
        while not self._chunks:
            if self.complete:
                return b""
            if self.error is not None:
                raise self.error
            await self._async_wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        if self.memory is not None:
            self.memory.release(self, len(data))
        self._buffered_bytes = 0
        if self._paused and not self.complete:
            self._paused = False
            self.set_reading(True)
        return data

    async def async_read_body(self, max_bytes: int) -> bytes:
        """Wait for the whole body.

        Raises `TransportError`, also if the body exceeds `max_bytes`.
        """
        parts: list[bytes] = []
        size = 0
        try:
            while chunk := await self.async_read_chunk():
                parts.append(chunk)
                self._hold(len(chunk))
                size += len(chunk)
                if size > max_bytes:
                    self.abort(TransportError(f"response exceeds {max_bytes} bytes"))
                    raise TransportError(f"response body exceeds {max_bytes} bytes")
            return b"".join(parts)
        finally:
            # The traceback of an error keeps this frame until garbage is collected.
            parts.clear()
            chunk = b""

    def _hold(self, size: int) -> None:
        if self.memory is not None:
            self.memory.hold(self, size)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _async_wait(self) -> None:
        waiter = self._waiter = asyncio.get_running_loop().create_future()
        try:
            await waiter
        finally:
            if self._waiter is waiter:
                self._waiter = None
