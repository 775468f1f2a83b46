"""Server side of a caller's HTTP/1.1 connection."""

import asyncio
import contextlib
import logging
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, cast

import httptools

from ..fleet.models import Limits
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import (
    FIRST_REQUEST_S,
    LINGER_S,
    MAX_DROPPED_BYTES,
    MAX_PIPELINED_BYTES,
    MAX_READ_BYTES,
)
from .incoming import IncomingRequest
from .intake import InputRefusal, Intake, choose_closed, receive_buffer_bytes
from .models import CallerRequest, GatewayResponse
from .refusals import memory_response
from .response_writer import ResponseWriter

_LOGGER = logging.getLogger(__name__)

_MAX_PIPELINED_REQUESTS = 4


class CallerConnection(ResponseWriter):
    """Handles the requests of one connection in sequence.

    The task that handles a request is cancelled when the caller disconnects.
    """

    def __init__(
        self,
        handler: Callable[["CallerConnection", CallerRequest], Awaitable[None]],
        limits: Callable[[], Limits],
        connections: set["CallerConnection"],
        intake: Intake,
        max_connections: int,
    ) -> None:
        """Create a connection that registers itself in `connections`."""
        super().__init__(intake.held.unsent)
        self._handler = handler
        self._limits = limits
        self._connections = connections
        self._intake = intake
        self._max_connections = max_connections
        self._parser: Any = httptools.HttpRequestParser(self)
        # Complete requests with the memory that each of them takes.
        self._requests: deque[tuple[CallerRequest, int]] = deque()
        self._queued_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        # Whether to close as soon as no request is queued, being read or handled.
        self._ending = False
        self._used = False
        self._opened_s = self.since_s = self._loop.time()
        self._reading = False
        self._message = IncomingRequest()
        self._max_body_bytes = 0
        # Bytes received since the last body data or the end of a request.
        self._unparsed_bytes = 0
        # Parts of bodies in the current read, and whether a request ended in it.
        self._parts = 0
        self._completed = False
        # Time of the last read, and time until which the body must be complete.
        self._received_s = 0.0
        self._body_until_s = 0.0
        # Response to a request that was dropped while an earlier one is handled.
        self._refusal: GatewayResponse | None = None
        self._paced = False
        self._paused = False
        self._aborted = False
        self._dropped_bytes = 0

    @property
    def busy(self) -> bool:
        """Return whether a request is queued, being read or handled."""
        return self._task is not None or self._reading or bool(self._requests)

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is received, handled or sent."""
        return not self.busy and not self._aborted and not self.unsent_bytes

    @property
    def is_incomplete(self) -> bool:
        """Return whether a request is being received that can be refused."""
        return self._reading and not self.closing and self._refusal is None

    @property
    def received_bytes(self) -> int:
        """Return the size of the body that is being received."""
        return len(self._message.body)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timeout."""
        self.start_writing(cast("asyncio.Transport", transport))
        self._connections.add(self)
        self._intake.held.add_connection()
        self._limit_receive_buffer(transport)
        self._start_timer(self._limits().idle_timeout_s)
        if len(self._connections) > self._max_connections:
            closed = choose_closed(self._connections) or self
            closed.close_for_bound()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, because its caller has disconnected."""
        self._connections.discard(self)
        self._intake.held.remove_connection()
        self._cancel_timer()
        self._aborted = self.closing = True
        self._end_input()
        self._clear_queue()
        self.end_writing()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close the connection when the caller half-closes it."""
        return False

    def resume_writing(self) -> None:
        """Resume `async_drain`, and handle the next request."""
        super().resume_writing()
        self._start_next()

    def data_received(self, data: bytes) -> None:
        """Parse request bytes."""
        if self.closing:
            self._drop(len(data))
            return
        if self._refusal is not None:
            return
        self._received_s = self._loop.time()
        if not self._reading and not self._requests:
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
        if self.closing or self._refusal is not None:
            return
        self._check_overhead(len(data))
        self._count_message(len(data))
        self._pace()

    def on_message_begin(self) -> None:
        """Reset the state of the parsed request."""
        if self.closing or self._refusal is not None:
            return
        self._message = IncomingRequest(begun=True)
        self._reading = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._message.add_target(url)
        self._check_header_bytes()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._message.add_header(name, value)
        self._check_header_bytes()

    def on_headers_complete(self) -> None:
        """Start the timeout of the body and confirm `Expect: 100-continue`."""
        if self.closing or self._refusal is not None:
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
        if self.closing or self._refusal is not None:
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
        if self.closing or self._refusal is not None:
            return
        self._cancel_timer()
        request, size = self._message.complete(
            self._parser.get_method(),
            keep_alive=self._parser.should_keep_alive(),
            now_s=self._loop.time(),
        )
        # An idle connection must not keep the body of its last request.
        self._drop_message()
        held = self._intake.held
        held.requests.hold(self, size)
        if held.is_exhausted:
            held.requests.release(self, size)
            self.abort_for_memory()
            return
        self._requests.append((request, size))
        self._queued_bytes += size
        if len(self._requests) > _MAX_PIPELINED_REQUESTS:
            self._reject(
                GatewayResponse(400, "too many pipelined requests"),
                InputRefusal.MALFORMED,
            )
            return
        self._start_next()

    def is_last_response(self) -> bool:
        """Return whether the connection closes after the next response."""
        return self._ending and not self._reading and not self._requests

    def abort(self) -> None:
        """Abort the connection so that the response cannot appear complete."""
        self._aborted = self.closing = True
        if self._transport is not None:
            self._transport.abort()

    def abort_unread(self) -> None:
        """Abort the connection, because its caller does not take its response."""
        self._intake.count_refusal(InputRefusal.NOT_READ)
        self.abort()

    def close_for_bound(self) -> None:
        """Close the connection, because there are too many."""
        self._intake.count_refusal(InputRefusal.CONNECTIONS)
        self._connections.discard(self)
        self._end_input()
        self.abort()

    def abort_for_memory(self) -> None:
        """Refuse the request that is being received, and then close the connection.

        Requests that the caller sent before are still answered.
        """
        response = memory_response(self._intake.rng)
        if self._task is None and not self._requests:
            self._reject(response, InputRefusal.MEMORY)
            return
        self._intake.count_refusal(InputRefusal.MEMORY)
        self._refusal = response
        self._end_input()
        self._update_reading()

    def close_when_idle(self) -> None:
        """Close after the requests that are read or queued, or now if there is none.

        The first request of a connection that has just been opened may be on its way.
        """
        self._ending = True
        if self.closing:
            return
        age_s = self._loop.time() - self._opened_s
        if not self.busy and (self._used or age_s >= FIRST_REQUEST_S):
            self._close()

    def refuse_incomplete(self, response: GatewayResponse) -> None:
        """Refuse a request that is not completely received."""
        if self._reading and self._task is None and not self.closing:
            self._reject(response, None)

    def _start_next(self) -> None:
        """Handle the next request, once the caller has taken the last response."""
        if self._task is not None or not self._requests or self.closing:
            return
        if self._writable is not None:
            return
        request, size = self._requests.popleft()
        self._queued_bytes -= size
        self._update_reading()
        self._used = True
        if not request.keep_alive:
            self._keep_alive = False
        self._task = self._loop.create_task(self._async_handle(request, size))

    async def _async_handle(self, request: CallerRequest, size: int) -> None:
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
            self._intake.held.requests.release(self, size)
            # A caller must not wait for the rest of an answer, or for all of it.
            if self._responding or not self._responded:
                self.abort()
        self._go_on()

    def _go_on(self) -> None:
        """Handle the next request, or wait for it."""
        if self.closing:
            return
        if not self._keep_alive or (self._ending and not self.busy):
            self._close()
            return
        if self._refusal is not None and not self._requests:
            self._reject(self._refusal, None)
            return
        if not self._reading:
            self.since_s = self._loop.time()
        self._start_timer(self._limits().idle_timeout_s)
        self._start_next()

    def _reject(self, response: GatewayResponse, reason: InputRefusal | None) -> None:
        """Respond to a request that cannot be read and close the connection.

        If another request is in progress, it is cancelled and the connection aborted.
        """
        if self.closing:
            return
        if reason is not None:
            self._intake.count_refusal(reason)
        self._end_input()
        self._clear_queue()
        if self._task is not None:
            self._task.cancel()
            self.abort()
            return
        self._keep_alive = False
        self.respond(response, None, b"")
        self._linger()

    def _linger(self) -> None:
        """Close the connection as soon as the caller could read the refusal."""
        self.closing = True
        self.since_s = self._opened_s
        self._start_timer(LINGER_S)
        if self._transport is not None and not self._transport.is_closing():
            self._set_reading(True)
            self._transport.write_eof()

    def _drop(self, size: int) -> None:
        """Drop bytes that arrive after a refusal."""
        self._dropped_bytes += size
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            self.abort()

    def _close(self) -> None:
        """Close the connection as soon as the caller has taken its responses."""
        self.closing = True
        self._cancel_timer()
        if self._transport is not None:
            self._transport.close()

    def _drop_message(self) -> None:
        self._message = IncomingRequest()
        self._reading = False
        self._intake.held.incoming.release(self)

    def _end_input(self) -> None:
        """Forget the request that is being received; nothing is parsed any more."""
        self._drop_message()
        # The parser keeps an incomplete header.
        self._parser = None

    def _clear_queue(self) -> None:
        for _, size in self._requests:
            self._intake.held.requests.release(self, size)
        self._requests.clear()
        self._queued_bytes = 0

    def _check_header_bytes(self) -> None:
        if self.closing or self._refusal is not None:
            return
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
        if self.closing:
            return
        message = self._message
        if self._completed and message.begun and not message.head_complete:
            # The part of the read that belongs to the earlier request is not known.
            self._unparsed_bytes = size
        held_bytes = message.held_bytes(self._unparsed_bytes)
        self._intake.held.incoming.update(self, held_bytes)

    def _pace(self) -> None:
        """Pause to read a body in very small parts, or while many requests wait."""
        if self.closing:
            return
        delay_s = self._intake.pacer.delay_s(self._parts, self._received_s)
        if delay_s > 0:
            self._paced = True
            self._loop.call_later(delay_s, self._end_pace)
        self._update_reading()

    def _end_pace(self) -> None:
        self._paced = False
        self._update_reading()

    def _update_reading(self) -> None:
        if self.closing:
            return
        is_full = self._queued_bytes > MAX_PIPELINED_BYTES
        self._set_reading(not (self._paced or is_full or self._refusal is not None))

    def _set_reading(self, enabled: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if enabled and self._paused:
            self._transport.resume_reading()
        elif not enabled and not self._paused:
            self._transport.pause_reading()
        self._paused = not enabled

    def _limit_receive_buffer(self, transport: asyncio.BaseTransport) -> None:
        intake = self._intake
        size = receive_buffer_bytes(intake.memory_bytes, intake.held.connections)
        if size is None:
            return
        with contextlib.suppress(OSError):
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def _start_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self.closing:
            self.abort()
            return
        if self._task is not None:
            return
        if not self._reading:
            self._close()
            return
        if self._message.head_complete:
            idle_until_s = self._received_s + self._limits().idle_timeout_s
            left_s = min(self._body_until_s, idle_until_s) - self._loop.time()
            if left_s > 0:
                self._start_timer(left_s)
                return
        self._reject(
            GatewayResponse(408, "request was not sent in time"), InputRefusal.TIME
        )
