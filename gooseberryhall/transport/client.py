"""Client side of an HTTP/1.1 connection."""

import asyncio
from typing import Any, cast

import httptools

from .const import DEFAULT_IDLE_S, IDLE_SHARE
from .exceptions import ConnectionBrokenError, MalformedResponseError
from .exchange import Exchange, Headers, ResponseHead

_FIRST_FINAL_STATUS = 200
_BODILESS = frozenset({204, 304})


class ClientConnection(asyncio.Protocol):
    """A connection that carries one exchange at a time."""

    def __init__(self, *, id_header: bytes) -> None:
        """Create a connection; `id_header` names the header that echoes the id."""
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._parser: Any = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._skipping = False
        self._until_close = False
        self._server_closes = False
        self._idle_limit_s = DEFAULT_IDLE_S
        self._idle_since_s = 0.0
        self.closed = False

    def can_reuse(self, now_s: float) -> bool:
        """Return whether a new request may be sent."""
        return (
            not self.closed
            and self._exchange is None
            and now_s - self._idle_since_s < self._idle_limit_s
        )

    def start(self, exchange: Exchange, data: bytes) -> None:
        """Send a request whose response goes to `exchange`."""
        self._exchange = exchange
        exchange.close = self.close
        if self.closed or self._transport is None:
            exchange.fail(ConnectionBrokenError("connection is closed"))
            return
        self._transport.write(data)

    def close(self) -> None:
        """Close at once; a response in progress is dropped."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Parse response bytes."""
        if self._exchange is None:
            # Bytes without a request belong to no response of ours.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._fail(MalformedResponseError(f"malformed response: {exc}"))

    def eof_received(self) -> bool:
        """Complete a response that the end of the connection delimits."""
        if self._until_close and self._exchange is not None and not self._skipping:
            self._end_exchange()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.closed = True
        if self._exchange is not None:
            reason = "reset" if exc else "closed"
            self._exchange.fail(ConnectionBrokenError(f"connection {reason}"))
            self._exchange = None

    def on_message_begin(self) -> None:
        """Prepare for a response; one without a request ends the connection."""
        self._headers = []
        self._skipping = self._exchange is None
        self._until_close = False
        if self._exchange is None:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Pass the head to the exchange if the response belongs to it."""
        exchange = self._exchange
        status = self._parser.get_status_code()
        if exchange is None or status < _FIRST_FINAL_STATUS:
            self._skipping = True
            return
        head = ResponseHead(status, self._headers)
        echoed = head.get(self._id_header)
        if exchange.expected_id and echoed and echoed != exchange.expected_id:
            self._skipping = True
            self._server_closes = True
            return
        self._note_framing(head)
        exchange.receive_head(head)
        if exchange.is_head_method:
            self._server_closes = True
            self._end_exchange()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body to the exchange."""
        if self._exchange is not None and not self._skipping:
            self._exchange.receive_chunk(data)

    def on_message_complete(self) -> None:
        """End the exchange, or go on after a skipped response."""
        if self._skipping:
            self._skipping = False
            return
        if self._exchange is not None:
            self._end_exchange()

    def _note_framing(self, head: ResponseHead) -> None:
        framed = head.get(b"content-length") or head.get(b"transfer-encoding")
        self._until_close = not framed and head.status not in _BODILESS
        if self._until_close or not self._parser.should_keep_alive():
            self._server_closes = True
        self._idle_limit_s = _idle_limit_s(head.get(b"keep-alive"))

    def _end_exchange(self) -> None:
        exchange = self._exchange
        self._exchange = None
        self._idle_since_s = asyncio.get_running_loop().time()
        unsent = self._transport.get_write_buffer_size() if self._transport else 0
        # A response before the whole request was sent leaves bytes that the server
        # would read as the next request.
        if self._server_closes or unsent:
            self.close()
        if exchange is not None:
            exchange.finish()

    def _fail(self, error: MalformedResponseError) -> None:
        if self._exchange is not None:
            self._exchange.fail(error)
            self._exchange = None
        self.close()


def _idle_limit_s(keep_alive: bytes | None) -> float:
    if keep_alive is None:
        return DEFAULT_IDLE_S * IDLE_SHARE
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return int(value) * IDLE_SHARE
    return DEFAULT_IDLE_S * IDLE_SHARE
