"""Server side of a caller's HTTP/1.1 connection."""

import asyncio
import contextlib
import logging
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import cast

from ..fleet.models import Limits
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import (
    FIRST_REQUEST_S,
    LINGER_S,
    MAX_PIPELINED_BYTES,
)
from .intake import InputRefusal, Intake, choose_closed, receive_buffer_bytes
from .models import CallerRequest, GatewayResponse
from .refusals import memory_response
from .request_reader import RequestReader

_LOGGER = logging.getLogger(__name__)

_MAX_PIPELINED_REQUESTS = 4


class CallerConnection(RequestReader):
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
        super().__init__(limits, intake)
        self._handler = handler
        self._connections = connections
        self._max_connections = max_connections
        # Complete requests with the memory that each of them takes.
        self._requests: deque[tuple[CallerRequest, int]] = deque()
        self._queued_bytes = 0
        self._task: asyncio.Task[None] | None = None
        # Whether to close as soon as no request is queued, being read or handled.
        self._ending = False
        self._used = False
        self._opened_s = self.since_s
        # Response to a request that was dropped while an earlier one is handled, and
        # the id of that request.
        self._refusal: tuple[GatewayResponse, bytes | None] | None = None

    @property
    def busy(self) -> bool:
        """Return whether a request is queued, being read or handled."""
        return self._task is not None or self._reading or bool(self._requests)

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is received, handled or sent, and nothing expected.

        The first request of a connection that has just been opened may be on its way.
        """
        age_s = self._loop.time() - self._opened_s
        is_new = not (self._used or self.closing) and age_s < FIRST_REQUEST_S
        return self.is_unserved and not self._reading and not is_new

    @property
    def is_unserved(self) -> bool:
        """Return whether no complete request waits for its response."""
        return not (
            self._task is not None
            or self._requests
            or self._aborted
            or self.unsent_bytes
        )

    @property
    def is_incomplete(self) -> bool:
        """Return whether a request is being received that can be refused."""
        return self._reading and not self.closing and self._refusal is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timeout."""
        self.start_writing(cast("asyncio.Transport", transport))
        self._connections.add(self)
        self._intake.held.add_connection()
        self._limit_receive_buffer(transport)
        self._start_timer(self._limits().idle_timeout_s)
        if len(self._connections) > self._max_connections:
            others = (conn for conn in self._connections if conn is not self)
            (choose_closed(others) or self).close_for_bound()

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

    def is_last_response(self) -> bool:
        """Return whether the connection closes after the next response."""
        return self._ending and not self._reading and not self._requests

    def abort_unread(self) -> None:
        """Abort the connection, because its caller does not take its response."""
        self._intake.count_refusal(InputRefusal.NOT_READ)
        self.abort()

    def close_for_bound(self) -> None:
        """Close the connection, because there are too many."""
        self._intake.count_refusal(InputRefusal.CONNECTIONS)
        self._connections.discard(self)
        self.abort()

    def abort_for_memory(self) -> None:
        """Refuse the request that is being received, and then close the connection.

        Requests that the caller sent before are still answered.
        """
        self._refuse_for_memory(self._message.get(self._intake.id_header))

    def _refuse_for_memory(self, request_id: bytes | None) -> None:
        self._intake.count_refusal(InputRefusal.MEMORY)
        response = memory_response(self._intake.rng)
        if self._task is None and not self._requests:
            self._refuse(response, request_id)
            return
        self._refusal = (response, request_id)
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

    def _has_queued(self) -> bool:
        return bool(self._requests)

    def _accept(self, request: CallerRequest, size: int) -> None:
        held = self._intake.held
        held.requests.hold(self, size)
        if held.is_exhausted:
            held.requests.release(self, size)
            self._refuse_for_memory(request.get(self._intake.id_header))
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
        self._head_only = request.method == b"HEAD"
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
            self._refuse(*self._refusal)
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
        self._refuse(response, self._message.get(self._intake.id_header))

    def _refuse(self, response: GatewayResponse, request_id: bytes | None) -> None:
        self._end_input()
        self._clear_queue()
        if self._task is not None:
            self._task.cancel()
            self.abort()
            return
        self._keep_alive = False
        self.respond(response, request_id, self._intake.id_header)
        self._linger()

    def _linger(self) -> None:
        """Close the connection as soon as the caller could read the refusal."""
        self.closing = True
        self.since_s = self._opened_s
        self._start_timer(LINGER_S)
        if self._transport is not None and not self._transport.is_closing():
            self._set_reading(True)
            self._transport.write_eof()

    def _close(self) -> None:
        """Close the connection as soon as the caller has taken its responses."""
        self.closing = True
        self._end_input()
        self._cancel_timer()
        if self._transport is not None:
            self._transport.close()

    def _clear_queue(self) -> None:
        for _, size in self._requests:
            self._intake.held.requests.release(self, size)
        self._requests.clear()
        self._queued_bytes = 0

    def _update_reading(self) -> None:
        if self.closing:
            return
        is_full = self._queued_bytes > MAX_PIPELINED_BYTES
        self._set_reading(not (self._paced or is_full or self._refusal is not None))

    def _limit_receive_buffer(self, transport: asyncio.BaseTransport) -> None:
        intake = self._intake
        size = receive_buffer_bytes(intake.memory_bytes, intake.held.connections)
        if size is None:
            return
        with contextlib.suppress(OSError):
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def _on_timeout(self) -> None:
        if self.closing:
            self.abort()
            return
        if self._task is not None:
            return
        if not self._reading:
            self._close()
            return
        if self._message.head_complete and not self._is_body_late():
            return
        self._reject(
            GatewayResponse(408, "request was not sent in time"), InputRefusal.TIME
        )
