"""Reads the requests of a caller's connection."""

import asyncio
from collections.abc import Callable
from typing import Any

import httptools

from ..fleet.models import Limits
from .const import MAX_DROPPED_BYTES, MAX_READ_BYTES
from .incoming import IncomingRequest
from .intake import InputRefusal, Intake
from .models import CallerRequest, GatewayResponse
from .response_writer import ResponseWriter


class RequestReader(ResponseWriter):
    """The side of a connection that reads.

    What is received counts in the node's budget. A subclass handles complete requests
    and decides when the connection is read.
    """

    def __init__(self, limits: Callable[[], Limits], intake: Intake) -> None:
        """Create the reader of a connection that is not made yet."""
        super().__init__(intake.held.unsent)
        self._limits = limits
        self._intake = intake
        self._parser: Any = httptools.HttpRequestParser(self)
        self._message = IncomingRequest()
        self._reading = False
        # Whether requests are parsed; afterwards all that is received is dropped.
        self._accepting = True
        self._max_body_bytes = 0
        # Bytes received since the last body data or the end of a request.
        self._unparsed_bytes = 0
        # Parts of bodies in the current read, and whether a request ended in it.
        self._parts = 0
        self._completed = False
        # Time of the last read, and time until which the body must be complete.
        self._received_s = 0.0
        self._body_until_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        # Time when the connection became idle, or when its request began.
        self.since_s = self._loop.time()
        self._paced = False
        self._paused = False
        self._dropped_bytes = 0

    @property
    def received_bytes(self) -> int:
        """Return the size of the body that is being received."""
        return len(self._message.body)

    def data_received(self, data: bytes) -> None:
        """Parse request bytes."""
        if not self._accepting:
            self._drop(len(data))
            return
        self._received_s = self._loop.time()
        if not self._reading and not self._has_queued():
            self._reading = True
            self.since_s = self._received_s
            self._start_timer(self._limits().header_timeout_s)
        self._unparsed_bytes += len(data)
        self._parts = 0
        self._completed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(
                GatewayResponse(400, "upgrade is not supported"), InputRefusal.MALFORMED
            )
        except httptools.HttpParserError as exc:
            self._reject(
                GatewayResponse(400, f"malformed request: {exc}"),
                InputRefusal.MALFORMED,
            )
        if not self._accepting:
            return
        self._check_overhead(len(data))
        self._count_message(len(data))
        self._pace()

    def on_message_begin(self) -> None:
        """Reset the state of the parsed request."""
        if not self._accepting:
            return
        self._message = IncomingRequest(begun=True)
        self._reading = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if not self._accepting:
            return
        self._message.add_target(url)
        self._check_header_bytes()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if not self._accepting:
            return
        self._message.add_header(name, value)
        self._check_header_bytes()

    def on_headers_complete(self) -> None:
        """Start the timeout of the body and confirm `Expect: 100-continue`."""
        if not self._accepting:
            return
        limits = self._limits()
        message = self._message
        message.head_complete = True
        self._max_body_bytes = limits.max_body_bytes
        limit_s = message.body_limit_s(
            self._intake.deadline_header,
            limits.idle_timeout_s,
            self._intake.bounds.max_body_s,
        )
        self._body_until_s = self._loop.time() + limit_s
        self._start_timer(limits.idle_timeout_s)
        for name, value in message.headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        if not self._accepting:
            return
        self._unparsed_bytes = 0
        self._parts += 1
        body = self._message.body
        body += data
        if len(body) > self._max_body_bytes:
            self._reject(
                GatewayResponse(413, "request body is too large"), InputRefusal.BODY
            )

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        self._unparsed_bytes = 0
        self._completed = True
        if not self._accepting:
            return
        self._cancel_timer()
        request, size = self._message.complete(
            self._parser.get_method(),
            keep_alive=self._parser.should_keep_alive(),
            now_s=self._loop.time(),
        )
        # An idle connection must not keep the body of its last request.
        self._drop_message()
        self._accept(request, size)

    def abort(self) -> None:
        """Abort the connection; nothing more is received."""
        self._end_input()
        super().abort()

    def _has_queued(self) -> bool:
        """Return whether complete requests wait."""
        raise NotImplementedError

    def _accept(self, request: CallerRequest, size: int) -> None:
        """Handle a complete request that takes `size` bytes of memory."""
        raise NotImplementedError

    def _reject(self, response: GatewayResponse, reason: InputRefusal | None) -> None:
        """Refuse what is being received and close the connection."""
        raise NotImplementedError

    def _update_reading(self) -> None:
        """Pause or resume to read."""
        raise NotImplementedError

    def _on_timeout(self) -> None:
        """End a connection on which nothing happened in time."""
        raise NotImplementedError

    def _is_body_late(self) -> bool:
        """Return whether a body is late; start the timer again if it is not."""
        idle_until_s = self._received_s + self._limits().idle_timeout_s
        left_s = min(self._body_until_s, idle_until_s) - self._loop.time()
        if left_s > 0:
            self._start_timer(left_s)
        return left_s <= 0

    def _drop(self, size: int) -> None:
        """Drop bytes that arrive after a refusal."""
        self._dropped_bytes += size
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            self.abort()

    def _drop_message(self) -> None:
        self._message = IncomingRequest()
        self._reading = False
        self._intake.held.incoming.release(self)

    def _end_input(self) -> None:
        """Forget the request that is being received; nothing is parsed any more."""
        self._drop_message()
        self._accepting = False
        # The parser keeps an incomplete header.
        self._parser = None

    def _check_header_bytes(self) -> None:
        if self._message.header_bytes > self._limits().max_header_bytes:
            self._reject_head()

    def _check_overhead(self, size: int) -> None:
        """Refuse bytes without end that are neither a header nor a body."""
        message = self._message
        limit = self._limits().max_header_bytes
        if not message.begun:
            if self._unparsed_bytes > limit:
                self._reject(
                    GatewayResponse(400, "no request line"), InputRefusal.OVERHEAD
                )
            return
        limit += MAX_READ_BYTES
        # The parser keeps a header until it is complete.
        if self._unparsed_bytes > limit:
            self._reject_head()
            return
        message.received_bytes += size
        bounds = self._intake.bounds
        allowed = limit + bounds.bytes_per_body_byte * len(message.body)
        if message.head_complete and message.received_bytes > allowed:
            self._reject(
                GatewayResponse(400, "chunks are too small"), InputRefusal.OVERHEAD
            )

    def _reject_head(self) -> None:
        self._reject(
            GatewayResponse(431, "request headers are too large"), InputRefusal.HEAD
        )

    def _count_message(self, size: int) -> None:
        """Count the memory of the request that is being received."""
        if not self._accepting:
            return
        message = self._message
        if self._completed and message.begun and not message.head_complete:
            # The part of the read that belongs to the earlier request is not known.
            self._unparsed_bytes = size
        held_bytes = message.held_bytes(self._unparsed_bytes)
        self._intake.held.incoming.update(self, held_bytes)

    def _pace(self) -> None:
        """Pause to read a body in very small parts, or while many requests wait."""
        if not self._accepting:
            return
        delay_s = self._intake.pacer.delay_s(self._parts, self._received_s)
        if delay_s > 0:
            self._paced = True
            self._loop.call_later(delay_s, self._end_pace)
        self._update_reading()

    def _end_pace(self) -> None:
        self._paced = False
        self._update_reading()

    def _set_reading(self, enabled: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if enabled and self._paused:
            self._transport.resume_reading()
        elif not enabled and not self._paused:
            self._transport.pause_reading()
        self._paused = not enabled

    def _start_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
