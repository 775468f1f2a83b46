"""An open link to another process."""

import asyncio
import itertools
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from ..core.clock import now_s
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .codec import decode_message, encode_message, is_oversized_frame_close
from .const import (
    CLOSE_GOING_AWAY,
    LOCAL_PING_PERIOD_S,
    MAX_SEND_QUEUE_BYTES,
    PEER_PING_PERIOD_S,
    PING_RETENTION_S,
    RECEIVE_TIMEOUT_S,
    WATCHDOG_GRACE_S,
    WATCHDOG_MAX_DELAY_S,
)
from .exceptions import (
    LinkError,
    LinkTimeoutError,
    MalformedFrameError,
    OversizedFrameError,
    SendQueueFullError,
)
from .identity import PeerIdentity, Role
from .messages import Heartbeat, Message, Ping
from .metrics import FRAMES_REFUSED, LINKS_CLOSED, LOCAL_TRAFFIC, PEER_TRAFFIC

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class LinkHandlers:
    """Callbacks that a link calls in the event loop."""

    on_open: "Callable[[Link], None]"
    on_message: "Callable[[Link, Message], None]"
    on_close: "Callable[[Link], None]"


class Link:
    """An authenticated connection that carries messages in both directions."""

    def __init__(
        self,
        ws: Connection,
        peer: PeerIdentity,
        own_role: Role,
        handlers: LinkHandlers,
        *,
        address: str = "",
    ) -> None:
        """Use a connection after its handshake.

        `address` is the address that was connected to, empty for accepted links.
        """
        self.peer = peer
        self.address = address
        self.last_ping_received = 0
        self.error: LinkError | None = None
        self.closed = asyncio.Event()
        self._ws = ws
        self._handlers = handlers
        both_control = own_role is Role.CONTROL and peer.role is Role.CONTROL
        self._traffic = PEER_TRAFFIC if both_control else LOCAL_TRAFFIC
        self._ping_period_s = (
            PEER_PING_PERIOD_S if both_control else LOCAL_PING_PERIOD_S
        )
        self._pings_sent: deque[tuple[int, float]] = deque()
        self._pings = itertools.count(1)
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._queue_changed = asyncio.Event()
        self._last_received_s = now_s()

    @property
    def node(self) -> str:
        """Return the node of the other end."""
        return self.peer.node

    @property
    def zone(self) -> str:
        """Return the zone of the other end."""
        return self.peer.zone

    @property
    def role(self) -> Role:
        """Return the role of the other end."""
        return self.peer.role

    @property
    def incarnation(self) -> str:
        """Return the incarnation of the other end."""
        return self.peer.incarnation

    @property
    def is_outgoing(self) -> bool:
        """Return whether this end opened the link."""
        return bool(self.address)

    def async_send(self, message: Message) -> bool:
        """Queue a message; return False when it cannot be sent on this link."""
        try:
            frame = encode_message(message)
        except OversizedFrameError as exc:
            log_oversized_message(exc)
            return False
        return self.async_send_frame(frame)

    def async_send_frame(self, frame: bytes) -> bool:
        """Queue an encoded message; a link whose queue is full is aborted.

        Returns False if the frame cannot be sent on this link.
        """
        if self.closed.is_set() or self.error is not None:
            return False
        if self._queued_bytes + len(frame) > MAX_SEND_QUEUE_BYTES:
            self.async_abort(SendQueueFullError(f"{self._queued_bytes} B queued"))
            return False
        self._queue.append(frame)
        self._queued_bytes += len(frame)
        self._queue_changed.set()
        return True

    def evidence_time_s(self, echo: int, age_ms: int) -> float | None:
        """Return the time for which a digest is evidence, or None if it is unknown.

        The digest was sent after the echoed ping arrived. Its content is therefore at
        least as recent as the time at which that ping was sent, minus the age, however
        long the digest was delayed.
        """
        for number, sent_at_s in self._pings_sent:
            if number == echo:
                return sent_at_s - age_ms / 1000
        return None

    def async_close(self) -> None:
        """Close the link with a closing handshake."""
        asyncio.create_task(self._ws.close(), name="link close")

    def async_next_ping(self) -> int:
        """Return the number of a new ping and record that it is sent now."""
        number = next(self._pings)
        sent_at_s = now_s()
        self._pings_sent.append((number, sent_at_s))
        while self._pings_sent[0][1] < sent_at_s - PING_RETENTION_S:
            self._pings_sent.popleft()
        return number

    def async_abort(self, error: LinkError) -> None:
        """Close the connection immediately, without a closing handshake."""
        if self.error is None:
            self.error = error
        self._ws.transport.abort()

    async def async_run(self) -> None:
        """Send and receive messages until the link closes."""
        tasks = (
            asyncio.create_task(self._async_write(), name="link writer"),
            asyncio.create_task(self._async_ping(), name="link pinger"),
        )
        self._last_received_s = now_s()
        self._watchdog = self._start_watchdog(RECEIVE_TIMEOUT_S)
        _log(LogEvent.LINK_OPENED, self)
        self._call_handler(lambda: self._handlers.on_open(self))
        try:
            await self._async_read()
        finally:
            for task in tasks:
                task.cancel()
            self._watchdog.cancel()
            self._queue.clear()
            self.closed.set()
            self._log_close()
            self._call_handler(lambda: self._handlers.on_close(self))
            await self._ws.close(CLOSE_GOING_AWAY)

    async def _async_read(self) -> None:
        try:
            while self.error is None:
                frame = await self._ws.recv()
                self._last_received_s = now_s()
                self._traffic.received_bytes += len(frame)
                self._handle(decode_message(frame))
        except MalformedFrameError as exc:
            self.async_abort(exc)
        except ConnectionClosed as exc:
            if is_oversized_frame_close(exc) and self.error is None:
                self.error = OversizedFrameError("frame over the limit")

    def _handle(self, message: Message) -> None:
        if isinstance(message, Ping):
            self.last_ping_received = max(self.last_ping_received, message.n)
        elif isinstance(message, Heartbeat):
            self.last_ping_received = max(self.last_ping_received, message.seq)
        self._call_handler(lambda: self._handlers.on_message(self, message))

    async def _async_write(self) -> None:
        try:
            while True:
                await self._queue_changed.wait()
                self._queue_changed.clear()
                while self._queue:
                    frame = self._queue.popleft()
                    await self._ws.send(frame)
                    self._queued_bytes -= len(frame)
                    self._traffic.sent_bytes += len(frame)
        except ConnectionClosed:
            return

    async def _async_ping(self) -> None:
        """Send pings while no heartbeat, which also counts as a ping, was sent."""
        while True:
            last_s = self._pings_sent[-1][1] if self._pings_sent else float("-inf")
            delay_s = last_s + self._ping_period_s - now_s()
            if delay_s <= 0:
                self.async_send(Ping(n=self.async_next_ping()))
                delay_s = self._ping_period_s
            await asyncio.sleep(delay_s)

    def _start_watchdog(self, delay_s: float) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(delay_s, self._check_receive_timeout, now_s() + delay_s)

    def _check_receive_timeout(self, due_s: float) -> None:
        elapsed_s = now_s() - self._last_received_s
        if elapsed_s < RECEIVE_TIMEOUT_S:
            self._watchdog = self._start_watchdog(RECEIVE_TIMEOUT_S - elapsed_s)
        elif now_s() - due_s > WATCHDOG_MAX_DELAY_S:
            # This process was blocked, so frames that already arrived are read first.
            self._watchdog = self._start_watchdog(WATCHDOG_GRACE_S)
        else:
            self.async_abort(LinkTimeoutError(f"no message for {elapsed_s:.1f} s"))

    def _call_handler(self, handler: Callable[[], None]) -> None:
        # An error in a handler must not close the link, which would affect peers.
        try:
            handler()
        except Exception:
            _LOGGER.exception(
                "link handler failed",
                extra={"event": LogEvent.LINK_HANDLER_FAILED.value, "node": self.node},
            )

    def _log_close(self) -> None:
        code = "ended" if self.error is None else self.error.code
        LINKS_CLOSED.inc({"error": code})
        if isinstance(self.error, MalformedFrameError | OversizedFrameError):
            FRAMES_REFUSED.inc({"error": code})
            _log(LogEvent.FRAME_REFUSED, self, logging.WARNING, error=str(self.error))
        _log(LogEvent.LINK_CLOSED, self, error=code)


def log_oversized_message(error: OversizedFrameError) -> None:
    """Log a message that exceeds the frame limit."""
    log_event(
        _LOGGER,
        LogEvent.MESSAGE_NOT_SENT,
        "message not sent",
        level=logging.ERROR,
        error=str(error),
    )


def _log(event: LogEvent, link: Link, level: int = logging.INFO, **fields: Any) -> None:
    message = event.name.lower().replace("_", " ")
    log_event(
        _LOGGER,
        event,
        message,
        level=level,
        peer=link.node,
        role=link.role.value,
        **fields,
    )
