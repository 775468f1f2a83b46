"""Server side of a caller's HTTP/1.1 connection."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, cast

import httptools

from ..fleet.models import Limits
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from ..transport.const import HOP_BY_HOP_HEADERS, WRITE_HIGH_WATER_BYTES
from ..transport.exchange import Headers, ResponseHead
from .const import FIRST_REQUEST_S, MAX_READ_BYTES
from .models import CallerRequest, GatewayResponse

_LOGGER = logging.getLogger(__name__)

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
_HEADER_OVERHEAD_BYTES = 4
_MAX_PIPELINED_REQUESTS = 4


class CallerConnection(asyncio.Protocol):
    """Handles the requests of one connection in sequence.

    The task that handles a request is cancelled when the caller disconnects.
    """

    def __init__(
        self,
        handler: Callable[["CallerConnection", CallerRequest], Awaitable[None]],
        limits: Callable[[], Limits],
        connections: set["CallerConnection"],
    ) -> None:
        """Create a connection that registers itself in `connections`."""
        self._handler = handler
        self._limits = limits
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._requests: deque[CallerRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None
        self._chunked = False
        self._keep_alive = True
        # Whether to close as soon as no request is queued, being read or handled.
        self._ending = False
        self._used = False
        self._opened_s = self._loop.time()
        # Whether a response was begun, and whether it is complete, too.
        self._responded = False
        self._responding = False
        self._reading = False
        # Bytes received since the last body data or the end of a request.
        self._unparsed_bytes = 0
        self.closing = False
        self._reset_message()

    @property
    def responded(self) -> bool:
        """Return whether a response to the request in progress was begun."""
        return self._responded

    @property
    def busy(self) -> bool:
        """Return whether a request is queued, being read or handled."""
        return self._task is not None or self._reading or bool(self._requests)

    @property
    def received_bytes(self) -> int:
        """Return the size of the body that is being received."""
        return len(self._body)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timeout."""
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._connections.add(self)
        self._start_timer(self._limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, because its caller has disconnected."""
        self._connections.discard(self)
        self._cancel_timer()
        self.closing = True
        self._requests.clear()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close the connection when the caller half-closes it."""
        return False

    def pause_writing(self) -> None:
        """Make `async_drain` wait, because the write buffer is full."""
        self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        """Resume `async_drain`."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def data_received(self, data: bytes) -> None:
        """Parse request bytes."""
        if self.closing:
            return
        if not self._reading and not self._requests:
            self._reading = True
            self._start_timer(self._limits().header_timeout_s)
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(GatewayResponse(400, "upgrade is not supported"))
        except httptools.HttpParserError as exc:
            if not self.closing:
                self._reject(GatewayResponse(400, f"malformed request: {exc}"))
        # The parser keeps a header until it is complete.
        limit = self._limits().max_header_bytes + MAX_READ_BYTES
        if self._unparsed_bytes > limit and not self.closing:
            self._reject(GatewayResponse(431, "request headers are too large"))

    def on_message_begin(self) -> None:
        """Reset the state of the parsed request."""
        self._reset_message()
        self._reading = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url
        self._check_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; its name is converted to lower case."""
        self._headers.append((name.lower(), value))
        self._check_header_bytes(len(name) + len(value) + _HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Start the timeout of the body and confirm `Expect: 100-continue`."""
        self._start_timer(self._limits().idle_timeout_s)
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._unparsed_bytes = 0
        self._body += data
        if len(self._body) > self._limits().max_body_bytes:
            self._reject(GatewayResponse(413, "request body is too large"))

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        self._unparsed_bytes = 0
        self._reading = False
        if self.closing:
            return
        self._cancel_timer()
        request = CallerRequest(
            method=self._parser.get_method(),
            target=bytes(self._target),
            headers=self._headers,
            body=bytes(self._body),
            keep_alive=self._parser.should_keep_alive(),
            received_s=self._loop.time(),
        )
        # An idle connection must not keep the body of its last request.
        self._reset_message()
        self._requests.append(request)
        if len(self._requests) > _MAX_PIPELINED_REQUESTS:
            self._reject(GatewayResponse(400, "too many pipelined requests"))
            return
        self._start_next()

    def begin_response(
        self, head: ResponseHead, *, length: int | None, close: bool = False
    ) -> None:
        """Write the status line and headers of a response.

        Without a length the body uses chunked transfer encoding.
        """
        self._responded = True
        self._responding = True
        self._chunked = length is None
        if close or (self._ending and not self._reading and not self._requests):
            self._keep_alive = False
        lines = [_status_line(head.status)]
        lines.extend(
            name + b": " + value
            for name, value in head.headers
            if name not in HOP_BY_HOP_HEADERS and name != b"content-length"
        )
        if length is None:
            lines.append(b"Transfer-Encoding: chunked")
        else:
            lines.append(b"Content-Length: %d" % length)
        if not self._keep_alive:
            lines.append(b"Connection: close")
        self._write(b"\r\n".join(lines) + b"\r\n\r\n")

    def write_body(self, data: bytes) -> None:
        """Write a part of the body."""
        if not data:
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

    async def async_drain(self) -> None:
        """Wait until the write buffer is below its limit."""
        if self._writable is not None:
            await self._writable

    def abort(self) -> None:
        """Abort the connection so that the response cannot appear complete."""
        self.closing = True
        if self._transport is not None:
            self._transport.abort()

    def close_when_idle(self) -> None:
        """Close after the requests that are read or queued, or now if there is none.

        The first request of a connection that has just been opened may be on its way.
        """
        self._ending = True
        age_s = self._loop.time() - self._opened_s
        if not self.busy and (self._used or age_s >= FIRST_REQUEST_S):
            self._close()

    def refuse_incomplete(self, response: GatewayResponse) -> None:
        """Refuse a request that is not completely received."""
        if self._reading and self._task is None and not self.closing:
            self._reject(response)

    def _start_next(self) -> None:
        if self._task is not None or not self._requests or self.closing:
            return
        request = self._requests.popleft()
        self._used = True
        if not request.keep_alive:
            self._keep_alive = False
        self._task = self._loop.create_task(self._async_handle(request))

    async def _async_handle(self, request: CallerRequest) -> None:
        self._responded = False
        try:
            await self._handler(self, request)
        except Exception:  # noqa: BLE001
            log_event(
                _LOGGER,
                LogEvent.HANDLER_FAILED,
                "handler of a request failed",
                level=logging.ERROR,
                exc_info=True,
            )
        finally:
            self._task = None
            # A caller must not wait for the rest of an answer, or for all of it.
            if self._responding or not self._responded:
                self.abort()
        if self.closing:
            return
        if not self._keep_alive or (self._ending and not self.busy):
            self._close()
            return
        self._start_timer(self._limits().idle_timeout_s)
        self._start_next()

    def _reject(self, response: GatewayResponse) -> None:
        """Respond to a request that cannot be read and close the connection.

        If another request is in progress, it is cancelled and the connection aborted.
        """
        self._reading = False
        if self._task is not None:
            self._task.cancel()
            self.abort()
            return
        self._keep_alive = False
        self._requests.clear()
        self.respond(response, None, b"")
        self._close()

    def _close(self) -> None:
        self.closing = True
        if self._transport is not None:
            self._transport.close()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _reset_message(self) -> None:
        self._target = bytearray()
        self._headers: Headers = []
        self._body = bytearray()
        self._header_bytes = 0
        self._reading = False

    def _check_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits().max_header_bytes and not self.closing:
            self._reject(GatewayResponse(431, "request headers are too large"))

    def _start_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._task is not None:
            return
        if self._reading:
            self._reject(GatewayResponse(408, "request was not sent in time"))
            return
        self._close()


def _status_line(status: int) -> bytes:
    return b"HTTP/1.1 %d %s" % (status, _REASON_PHRASES.get(status, b"Unknown"))
