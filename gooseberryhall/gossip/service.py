"""Exchange of datagrams with peers."""

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from ..core.clock import now_s as boot_time_s
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import BATCH_DATAGRAMS, BATCH_PAUSE_S, MAX_DATAGRAM_BYTES
from .messages import Gossip, GossipError, KnownServers, decode, encode
from .models import Peer
from .peers import Peers

_LOGGER = logging.getLogger(__name__)


class GossipService(asyncio.DatagramProtocol):
    """Sends the messages that `create_messages` returns and passes on received ones."""

    def __init__(
        self,
        peers: Peers,
        create_messages: Callable[[], list[Gossip]],
        on_gossip: Callable[[Gossip], None],
    ) -> None:
        """Create a service without a socket."""
        self._peers = peers
        self._create_messages = create_messages
        self._on_gossip = on_gossip
        self._transport: asyncio.DatagramTransport | None = None
        self._loop = asyncio.get_running_loop()
        # Peers and datagrams that are not sent yet, by name of the peer.
        self._waiting: dict[str, tuple[Peer, list[bytes]]] = {}
        self._next_batch: asyncio.TimerHandle | None = None
        self._known_servers = KnownServers()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the socket."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Decode and apply a datagram of a peer."""
        try:
            gossip = decode(data, boot_time_s(), self._known_servers)
        except GossipError as exc:
            log_event(
                _LOGGER,
                LogEvent.DATAGRAM_REFUSED,
                str(exc),
                level=logging.WARNING,
                peer=str(addr[0]),
            )
            return
        if self._peers.receive(gossip, str(addr[0]), self._loop.time()):
            self._on_gossip(gossip)

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable peers; they are detected by the age of their datagrams."""

    def send(self, *, urgent: bool = False) -> None:
        """Send the current messages to each peer that is due."""
        if self._transport is None:
            return
        now_s = self._loop.time()
        messages = self._create_messages()
        due = self._peers.due_peers(messages, now_s, urgent=urgent)
        datagrams = [encode(message) for message in messages]
        for data in datagrams:
            if len(data) > MAX_DATAGRAM_BYTES:
                _log_size(len(data))
        for peer in due:
            peer.sent_s = now_s
            # Replaces datagrams that still wait for an earlier batch.
            self._waiting[peer.name] = (peer, datagrams)
        if self._next_batch is None:
            self._send_batch()

    def _send_batch(self) -> None:
        """Send a part of the waiting datagrams; leave the others to the next batch."""
        self._next_batch = None
        if self._transport is None or self._transport.is_closing():
            return
        sent = 0
        while self._waiting and sent < BATCH_DATAGRAMS:
            name = next(iter(self._waiting))
            peer, datagrams = self._waiting.pop(name)
            for data in datagrams:
                self._transport.sendto(data, (peer.address.host, peer.address.port))
            sent += len(datagrams)
        if self._waiting:
            self._next_batch = self._loop.call_later(BATCH_PAUSE_S, self._send_batch)


def _log_size(size: int) -> None:
    log_event(
        _LOGGER,
        LogEvent.DATAGRAM_TOO_LARGE,
        "datagram exceeds the MTU and may be fragmented",
        level=logging.WARNING,
        bytes=size,
    )
