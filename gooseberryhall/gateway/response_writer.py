"""Writes responses to a caller's connection."""

import asyncio

from ..transport.const import HOP_BY_HOP_HEADERS, WRITE_HIGH_WATER_BYTES
from ..transport.exchange import Headers, ResponseHead
from ..transport.memory import HeldBytes
from .incoming import TakenBytes
from .models import GatewayResponse

_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class ResponseWriter(asyncio.Protocol):
    """The side of a connection that writes.

    Bytes that the caller has not taken count in `unsent` while the write buffer is
    above its limit, and in each check by `untaken_s`.
    """

    def __init__(self, unsent: HeldBytes) -> None:
        """Create the writer of a connection that is not made yet."""
        self._loop = asyncio.get_running_loop()
        self._unsent = unsent
        self._taken = TakenBytes(self._loop.time())
        self._transport: asyncio.Transport | None = None
        self._writable: asyncio.Future[None] | None = None
        self._chunked = False
        self._keep_alive = True
        # Whether the request in progress is a HEAD, whose response ends with its head.
        self._head_only = False
        # Whether a response was begun, and whether it is complete, too.
        self._responded = False
        self._responding = False
        self._aborted = False
        self.closing = False

    @property
    def is_incomplete(self) -> bool:
        """Return False, as an unsent response belongs to a request that has run."""
        return False

    @property
    def responded(self) -> bool:
        """Return whether a response to the request in progress was begun."""
        return self._responded

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that wait for the caller."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def untaken_s(self, now_s: float) -> float:
        """Return for how long the caller has taken nothing of what waits for it."""
        unsent_bytes = self.unsent_bytes
        self._unsent.update(self, unsent_bytes)
        return self._taken.untaken_s(unsent_bytes, now_s)

    def start_writing(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)

    def end_writing(self) -> None:
        """Forget what was not sent, because the connection is lost."""
        self._unsent.release(self)
        self._wake()

    def pause_writing(self) -> None:
        """Make `async_drain` wait, because the write buffer is full."""
        self._writable = self._loop.create_future()
        self._unsent.update(self, self.unsent_bytes)

    def resume_writing(self) -> None:
        """Resume `async_drain`."""
        self._wake()
        self._writable = None
        self._unsent.update(self, self.unsent_bytes)

    async def async_drain(self) -> None:
        """Wait until the write buffer is below its limit."""
        if self._writable is not None:
            await self._writable

    def begin_response(
        self, head: ResponseHead, *, length: int | None, close: bool = False
    ) -> None:
        """Write the status line and headers of a response.

        Without a length the body uses chunked transfer encoding.
        """
        self._responded = True
        self._responding = True
        self._chunked = length is None and not self._head_only
        if close or self.is_last_response():
            self._keep_alive = False
        lines = [_status_line(head.status)]
        lines.extend(
            name + b": " + value
            for name, value in head.headers
            if name not in HOP_BY_HOP_HEADERS
            and (self._head_only or name != b"content-length")
        )
        # The length in a response to HEAD is that of the response to GET.
        if self._chunked:
            lines.append(b"Transfer-Encoding: chunked")
        elif not self._head_only:
            lines.append(b"Content-Length: %d" % (length or 0))
        if not self._keep_alive:
            lines.append(b"Connection: close")
        self._write(b"\r\n".join(lines) + b"\r\n\r\n")

    def is_last_response(self) -> bool:
        """Return whether the connection closes after the next response."""
        return False

    def write_body(self, data: bytes) -> None:
        """Write a part of the body."""
        if not data or self._head_only:
            return
        if self._chunked:
            data = b"%x\r\n" % len(data) + data + b"\r\n"
        self._write(data)

    def end_response(self) -> None:
        """Mark the response as complete."""
        if self._chunked:
            self._write(b"0\r\n\r\n")
        self._responding = False

    def respond(
        self, response: GatewayResponse, request_id: bytes | None, id_header: bytes
    ) -> None:
        """Write a response generated by this node.

        `id_header` names the header that echoes `request_id`.
        """
        headers: Headers = [(b"content-type", b"text/plain")]
        if request_id is not None:
            headers.append((id_header, request_id))
        if response.retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % response.retry_after_s))
        body = response.reason.encode() + b"\n"
        self.begin_response(ResponseHead(response.status, headers), length=len(body))
        self.write_body(body)
        self.end_response()

    def abort(self) -> None:
        """Abort the connection so that the response cannot appear complete."""
        self._aborted = self.closing = True
        if self._transport is not None:
            self._transport.abort()

    def abort_for_memory(self) -> None:
        """Do nothing; unsent responses are given up only if nobody takes them."""

    def _write(self, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._taken.written_bytes += len(data)
        self._transport.write(data)
        if self._writable is not None:
            self._unsent.update(self, self.unsent_bytes)

    def _wake(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)


def _status_line(status: int) -> bytes:
    return b"HTTP/1.1 %d %s" % (status, _REASON_PHRASES.get(status, b"Unknown"))
