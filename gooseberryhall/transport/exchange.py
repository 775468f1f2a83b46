"""One request on a client connection and its response as it arrives."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from .exceptions import TransportError

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


def _ignore_progress() -> None:
    """Take no notice of received data."""


@dataclass(slots=True)
class Exchange:
    """A request in flight.

    `expected_id` is the value that the response's id header must echo; responses
    with another value are skipped as belonging to an earlier request.
    """

    expected_id: bytes | None = None
    is_head_method: bool = False
    on_progress: Callable[[], None] = _ignore_progress
    close: Callable[[], None] = _ignore_progress
    head: ResponseHead | None = None
    complete: bool = False
    error: TransportError | None = None
    _chunks: deque[bytes] = field(default_factory=deque)
    _waiter: asyncio.Future[None] | None = None

    def receive_head(self, head: ResponseHead) -> None:
        """Take the status line and headers."""
        self.head = head
        self.on_progress()
        self._wake()

    def receive_chunk(self, data: bytes) -> None:
        """Take a part of the body."""
        self._chunks.append(data)
        self.on_progress()
        self._wake()

    def finish(self) -> None:
        """Take the end of the response."""
        self.complete = True
        self._wake()

    def fail(self, error: TransportError) -> None:
        """End the exchange with an error, unless it has already ended."""
        if self.complete or self.error is not None:
            return
        self.error = error
        self._wake()

    def abort(self, error: TransportError) -> None:
        """Fail the exchange and close its connection."""
        self.fail(error)
        self.close()

    async def async_head(self) -> ResponseHead:
        """Wait for the status and headers. Raises `TransportError`."""
        while self.head is None:
            if self.error is not None:
                raise self.error
            await self._async_wait()
        return self.head

    async def async_chunk(self) -> bytes:
        """Wait for a part of the body; empty at its end. Raises `TransportError`."""
        while not self._chunks:
            if self.complete:
                return b""
            if self.error is not None:
                raise self.error
            await self._async_wait()
        if len(self._chunks) == 1:
            return self._chunks.popleft()
        data = b"".join(self._chunks)
        self._chunks.clear()
        return data

    async def async_body(self, max_bytes: int) -> bytes:
        """Wait for the whole body. Raises `TransportError`."""
        parts = []
        size = 0
        while chunk := await self.async_chunk():
            parts.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                self.abort(TransportError(f"response body exceeds {max_bytes} bytes"))
                raise TransportError(f"response body exceeds {max_bytes} bytes")
        return b"".join(parts)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _async_wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
