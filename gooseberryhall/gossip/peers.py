"""Peers of a node and their last messages."""

import itertools
from dataclasses import dataclass, field

from ..transport.pool import Address
from .const import (
    ANNOUNCEMENT_TTL_S,
    DOWN_PEER_PERIOD_S,
    GOSSIP_PERIOD_S,
    MS_PER_S,
    PEER_DOWN_S,
    PEER_REMOVAL_S,
    PEERS_PER_PERIOD,
    ROUNDS_UNTIL_DOWN,
)
from .messages import Gossip, ServerTraffic, ZoneAnnouncement


@dataclass(slots=True)
class Peer:
    """Another node of the system."""

    address: Address
    received_s: float
    sent_s: float = 0.0
    message: Gossip | None = None


@dataclass(slots=True)
class PeerTraffic:
    """Traffic of peers to a server."""

    in_flight: int = 0
    # Time of the last progress on the clock of this process; 0 if there was none.
    progress_s: float = 0.0

    def add(self, item: ServerTraffic, received_s: float) -> None:
        """Add the traffic that one peer reported at `received_s`."""
        self.in_flight += item.in_flight
        if item.progress_age_ms is not None:
            at_s = received_s - item.progress_age_ms / MS_PER_S
            self.progress_s = max(self.progress_s, at_s)


@dataclass(frozen=True, slots=True)
class ReceivedAnnouncement:
    """The last announcement of a zone."""

    node: str
    announcement: ZoneAnnouncement
    received_s: float
    # Whether the owner cannot follow the store, so that it may miss leaving servers.
    store_lost: bool = False

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the announcement is younger than `ANNOUNCEMENT_TTL_S`."""
        return now_s - self.received_s < ANNOUNCEMENT_TTL_S


@dataclass(slots=True)
class Peers:
    """Peers by node name and the last announcement of each zone."""

    node_name: str
    peers: dict[str, Peer] = field(default_factory=dict)
    announcements: dict[str, ReceivedAnnouncement] = field(default_factory=dict)

    def add(self, name: str, address: Address, now_s: float) -> None:
        """Add a peer that is listed in the store."""
        if name == self.node_name:
            return
        peer = self.peers.get(name)
        if peer is None:
            self.peers[name] = Peer(address, now_s - PEER_DOWN_S)
        elif not self._is_up(peer, now_s):
            peer.address = address

    def receive(self, gossip: Gossip, host: str, now_s: float) -> bool:
        """Apply a message; return False if it is outdated or from this node."""
        if gossip.node == self.node_name:
            return False
        peer = self.peers.get(gossip.node)
        if peer is None:
            peer = Peer(Address(host, gossip.port), now_s)
            self.peers[gossip.node] = peer
        message = peer.message
        if (
            message is not None
            and message.incarnation == gossip.incarnation
            and message.sequence >= gossip.sequence
        ):
            return False
        peer.message = gossip
        peer.received_s = now_s
        peer.address = Address(host, gossip.port)
        if gossip.announcement is not None:
            received = ReceivedAnnouncement(
                gossip.node, gossip.announcement, now_s, gossip.store_lost
            )
            self._apply_announcement(received)
        return True

    def due_peers(self, now_s: float, *, owner: bool) -> list[Peer]:
        """Return the peers that get a datagram in this period.

        Owners of zones receive from every node in each period, and send to every node.
        Other peers take turns.
        """
        owners = {
            received.node
            for received in self.announcements.values()
            if received.is_fresh(now_s)
        }
        found = []
        others = []
        for name, peer in list(self.peers.items()):
            if now_s - peer.received_s > PEER_REMOVAL_S:
                del self.peers[name]
            elif name in owners or (owner and self._is_up(peer, now_s)):
                found.append(peer)
            elif self._is_up(peer, now_s) or now_s - peer.sent_s >= DOWN_PEER_PERIOD_S:
                others.append(peer)
        others.sort(key=lambda peer: peer.sent_s)
        found.extend(itertools.islice(others, PEERS_PER_PERIOD))
        return found

    def live_messages(self, now_s: float) -> list[Gossip]:
        """Return the last messages of the peers that are up."""
        return [
            peer.message
            for peer in self.peers.values()
            if peer.message is not None and self._is_up(peer, now_s)
        ]

    def traffic(self, now_s: float) -> dict[str, "PeerTraffic"]:
        """Return the total traffic of the peers that are up, by server."""
        total: dict[str, PeerTraffic] = {}
        for peer in self.peers.values():
            if peer.message is None or not self._is_up(peer, now_s):
                continue
            for server_id, item in peer.message.traffic.items():
                total.setdefault(server_id, PeerTraffic()).add(item, peer.received_s)
        return total

    def fresh_announcement(
        self, zone: str, now_s: float
    ) -> ReceivedAnnouncement | None:
        """Return the announcement of the zone's live owner, or None."""
        received = self.announcements.get(zone)
        return received if received and received.is_fresh(now_s) else None

    def last_announcement(self, zone: str) -> ZoneAnnouncement | None:
        """Return the last announcement of a zone, regardless of its age."""
        received = self.announcements.get(zone)
        return received.announcement if received else None

    def _apply_announcement(self, received: ReceivedAnnouncement) -> None:
        zone = received.announcement.zone
        previous = self.announcements.get(zone)
        if (
            previous is not None
            and previous.announcement.term > received.announcement.term
            and previous.is_fresh(received.received_s)
        ):
            return
        self.announcements[zone] = received

    def _is_up(self, peer: Peer, now_s: float) -> bool:
        """Return whether the peer sent a datagram within the last few rounds."""
        periods = ROUNDS_UNTIL_DOWN * len(self.peers) / PEERS_PER_PERIOD
        down_s = max(PEER_DOWN_S, periods * GOSSIP_PERIOD_S)
        return now_s - peer.received_s < down_s
