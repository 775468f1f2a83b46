"""Client side of an HTTP/1.1 connection."""

import asyncio
from typing import Any, cast

import httptools

from .const import (
    DEFAULT_IDLE_TIMEOUT_S,
    IDLE_TIMEOUT_SHARE,
    MAX_RESPONSE_OVERHEAD_BYTES,
)
from .exceptions import ConnectionBrokenError, MalformedResponseError
from .exchange import Exchange, Headers, ResponseHead

_STATUSES = range(100, 600)
_FIRST_FINAL_STATUS = 200
_BODILESS_STATUSES = frozenset({204, 304})
_SUCCESS_STATUSES = range(200, 300)


class ClientConnection(asyncio.Protocol):
    """A connection that handles one exchange at a time."""

    def __init__(self, *, id_header: bytes) -> None:
        """Create a connection.

        `id_header` is the name of the header that echoes the request id.
        """
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._parser: Any = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._skip_response = False
        self._read_until_close = False
        self._body_received = False
        self._close_after_response = False
        # Whether a response was completed, so that another copy of it may arrive.
        self._is_reused = False
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._idle_since_s = 0.0
        # Bytes received since the last body data of the expected response.
        self._overhead_bytes = 0
        self.closed = False

    def can_reuse(self, now_s: float) -> bool:
        """Return whether the connection is idle and may be reused."""
        return (
            not self.closed
            and self._exchange is None
            and now_s - self._idle_since_s < self._idle_timeout_s
        )

    def start(self, exchange: Exchange, data: bytes) -> bool:
        """Send a request and pass its response to `exchange`.

        Nothing is sent if the exchange was aborted while the connection was opened.
        Returns whether the request was written.
        """
        if exchange.error is not None:
            return False
        self._exchange = exchange
        self._overhead_bytes = 0
        exchange.close = self.close
        exchange.set_reading = self._set_reading
        if self.closed or self._transport is None:
            exchange.fail(ConnectionBrokenError("connection is closed"))
            return False
        self._transport.write(data)
        return True

    def close(self) -> None:
        """Abort the connection and discard a response in progress."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Parse response bytes."""
        if self._exchange is None:
            # Data that arrives without a request cannot belong to a response.
            self.close()
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._fail(MalformedResponseError(f"malformed response: {exc}"))
            return
        if self._exchange and self._overhead_bytes > MAX_RESPONSE_OVERHEAD_BYTES:
            limit = MAX_RESPONSE_OVERHEAD_BYTES
            self._fail(MalformedResponseError(f"no body data in {limit} bytes"))

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection."""
        if (
            self._read_until_close
            and self._exchange is not None
            and not self._skip_response
            and not self._may_miss_body()
        ):
            self._complete_exchange()
        return False

    def _may_miss_body(self) -> bool:
        """Return whether a success may have been cut between its head and its body."""
        return not self._body_received and (
            self._parser.get_status_code() in _SUCCESS_STATUSES
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.closed = True
        if self._exchange is not None:
            reason = "reset" if exc else "closed"
            self._exchange.fail(ConnectionBrokenError(f"connection {reason}"))
            self._exchange = None

    def on_message_begin(self) -> None:
        """Reset the parser state; close the connection if there is no request."""
        self._headers = []
        self._skip_response = self._exchange is None
        self._read_until_close = False
        if self._exchange is None:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; its name is converted to lower case."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Pass the response head to the exchange.

        Interim responses are skipped, and so are responses that echo the id of another
        request. One without an id on a reused connection may be a copy of an earlier
        response, for example of a refusal, and fails the exchange.
        """
        exchange = self._exchange
        status = self._parser.get_status_code()
        if status not in _STATUSES:
            self._skip_response = True
            self._fail(MalformedResponseError(f"{status:03} is no status"))
            return
        if exchange is None or status < _FIRST_FINAL_STATUS:
            self._skip_response = True
            return
        head = ResponseHead(status, self._headers)
        echoed = head.get(self._id_header)
        if exchange.expected_id and echoed and echoed != exchange.expected_id:
            self._skip_response = True
            self._close_after_response = True
            return
        if exchange.expected_id and not echoed and self._is_reused:
            self._fail(MalformedResponseError("response without the request's id"))
            return
        self._apply_framing(head)
        exchange.receive_head(head)
        if exchange.is_head_method:
            self._close_after_response = True
            self._complete_exchange()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body to the exchange."""
        if self._exchange is not None and not self._skip_response:
            self._overhead_bytes = 0
            self._body_received = True
            self._exchange.receive_chunk(data)

    def on_message_complete(self) -> None:
        """Complete the exchange, unless the response is skipped."""
        if self._skip_response:
            self._skip_response = False
            return
        if self._exchange is not None:
            self._complete_exchange()

    def _apply_framing(self, head: ResponseHead) -> None:
        framed = head.get(b"content-length") or head.get(b"transfer-encoding")
        self._body_received = False
        self._read_until_close = not framed and head.status not in _BODILESS_STATUSES
        if self._read_until_close or not self._parser.should_keep_alive():
            self._close_after_response = True
        self._idle_timeout_s = _parse_idle_timeout_s(head.get(b"keep-alive"))

    def _complete_exchange(self) -> None:
        exchange = self._exchange
        self._exchange = None
        self._is_reused = True
        self._set_reading(True)
        self._idle_since_s = asyncio.get_running_loop().time()
        unsent_bytes = self._transport.get_write_buffer_size() if self._transport else 0
        # If the response completes before the request was sent, the server would parse
        # the rest of the request as the next one.
        if self._close_after_response or unsent_bytes:
            self.close()
        if exchange is not None:
            exchange.finish()

    def _set_reading(self, enabled: bool) -> None:
        """Read from the server, or leave further data in the buffers of the sockets."""
        if self._transport is None or self._transport.is_closing():
            return
        if enabled:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _fail(self, error: MalformedResponseError) -> None:
        if self._exchange is not None:
            self._exchange.fail(error)
            self._exchange = None
        self.close()


def _parse_idle_timeout_s(keep_alive: bytes | None) -> float:
    if keep_alive is None:
        return DEFAULT_IDLE_TIMEOUT_S * IDLE_TIMEOUT_SHARE
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return int(value) * IDLE_TIMEOUT_SHARE
    return DEFAULT_IDLE_TIMEOUT_S * IDLE_TIMEOUT_SHARE
