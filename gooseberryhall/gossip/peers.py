"""Peers of a node, by what they said last."""

import itertools
from dataclasses import dataclass, field

from ..transport.pool import Address
from .const import (
    ANNOUNCEMENT_TTL_S,
    DOWN_PEER_PERIOD_S,
    GOSSIP_PERIOD_S,
    MS_PER_S,
    PEER_DOWN_S,
    PEER_FORGOTTEN_S,
    PEERS_PER_PERIOD,
    TURNS_UNTIL_DOWN,
)
from .messages import Gossip, ServerTraffic, ZoneAnnouncement


@dataclass(slots=True)
class Peer:
    """Another node of the system."""

    address: Address
    heard_s: float
    sent_s: float = 0.0
    last: Gossip | None = None


@dataclass(slots=True)
class PeerTraffic:
    """Traffic of peers to a server, with the time of its last progress."""

    in_flight: int = 0
    # On the clock of this process; 0 if there was none.
    progress_s: float = 0.0

    def add(self, item: ServerTraffic, heard_s: float) -> None:
        """Add what was heard of one peer."""
        self.in_flight += item.in_flight
        if item.progress_age_ms is not None:
            at_s = heard_s - item.progress_age_ms / MS_PER_S
            self.progress_s = max(self.progress_s, at_s)


@dataclass(frozen=True, slots=True)
class ReceivedAnnouncement:
    """The last message of a zone's owner."""

    node: str
    announcement: ZoneAnnouncement
    heard_s: float
    # Whether the owner cannot follow the store, so that servers may have left.
    store_lost: bool = False

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the owner was heard a moment ago."""
        return now_s - self.heard_s < ANNOUNCEMENT_TTL_S


@dataclass(slots=True)
class Peers:
    """Known peers by node name, and the claims of zones."""

    own_name: str
    peers: dict[str, Peer] = field(default_factory=dict)
    announcements: dict[str, ReceivedAnnouncement] = field(default_factory=dict)

    def add(self, name: str, address: Address, now_s: float) -> None:
        """Add a peer that is listed in the store."""
        if name == self.own_name:
            return
        known = self.peers.get(name)
        if known is None:
            self.peers[name] = Peer(address, now_s - PEER_DOWN_S)
        elif not self._is_up(known, now_s):
            known.address = address

    def receive(self, gossip: Gossip, host: str, now_s: float) -> bool:
        """Take a datagram; return False if it is older than one already taken."""
        if gossip.node == self.own_name:
            return False
        known = self.peers.get(gossip.node)
        if known is None:
            known = Peer(Address(host, gossip.port), now_s)
            self.peers[gossip.node] = known
        last = known.last
        if (
            last is not None
            and last.incarnation == gossip.incarnation
            and last.sequence >= gossip.sequence
        ):
            return False
        known.last = gossip
        known.heard_s = now_s
        known.address = Address(host, gossip.port)
        if gossip.announcement is not None:
            received = ReceivedAnnouncement(
                gossip.node, gossip.announcement, now_s, gossip.store_lost
            )
            self._apply_announcement(received)
        return True

    def due(self, now_s: float, *, owner: bool) -> list[Peer]:
        """Return the peers that get a datagram now.

        Owners of zones hear every node in each period, and tell every node. Other
        peers take turns.
        """
        owners = {
            received.node
            for received in self.announcements.values()
            if received.is_fresh(now_s)
        }
        found = []
        others = []
        for name, peer in list(self.peers.items()):
            if now_s - peer.heard_s > PEER_FORGOTTEN_S:
                del self.peers[name]
            elif name in owners or (owner and self._is_up(peer, now_s)):
                found.append(peer)
            elif self._is_up(peer, now_s) or now_s - peer.sent_s >= DOWN_PEER_PERIOD_S:
                others.append(peer)
        others.sort(key=lambda peer: peer.sent_s)
        found.extend(itertools.islice(others, PEERS_PER_PERIOD))
        return found

    def live(self, now_s: float) -> list[Gossip]:
        """Return the last datagrams of the peers that are up."""
        return [
            peer.last
            for peer in self.peers.values()
            if peer.last is not None and self._is_up(peer, now_s)
        ]

    def traffic(self, now_s: float) -> dict[str, "PeerTraffic"]:
        """Return the traffic of all live peers, by server."""
        total: dict[str, PeerTraffic] = {}
        for peer in self.peers.values():
            if peer.last is None or not self._is_up(peer, now_s):
                continue
            for server_id, item in peer.last.traffic.items():
                total.setdefault(server_id, PeerTraffic()).add(item, peer.heard_s)
        return total

    def fresh_announcement(
        self, zone: str, now_s: float
    ) -> ReceivedAnnouncement | None:
        """Return what the zone's live owner says."""
        received = self.announcements.get(zone)
        return received if received and received.is_fresh(now_s) else None

    def last_announcement(self, zone: str) -> ZoneAnnouncement | None:
        """Return what the zone's owner said last, however old."""
        received = self.announcements.get(zone)
        return received.announcement if received else None

    def _apply_announcement(self, received: ReceivedAnnouncement) -> None:
        zone = received.announcement.zone
        known = self.announcements.get(zone)
        if (
            known is not None
            and known.announcement.term > received.announcement.term
            and known.is_fresh(received.heard_s)
        ):
            return
        self.announcements[zone] = received

    def _is_up(self, peer: Peer, now_s: float) -> bool:
        """Return whether the peer was heard within its last few turns."""
        periods = TURNS_UNTIL_DOWN * len(self.peers) / PEERS_PER_PERIOD
        down_s = max(PEER_DOWN_S, periods * GOSSIP_PERIOD_S)
        return now_s - peer.heard_s < down_s
