"""Peers of a node, by what they said last."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..fleet.models import Group
from ..transport.pool import Address
from .const import DOWN_PEER_PERIOD_S, PEER_DOWN_S, PEER_FORGOTTEN_S
from .messages import Gossip, OwnedZone


@dataclass(slots=True)
class Peer:
    """Another node of the system."""

    address: Address
    heard_s: float
    sent_s: float = 0.0
    last: Gossip | None = None


@dataclass(slots=True)
class Peers:
    """Known peers by node name."""

    own_name: str
    peers: dict[str, Peer] = field(default_factory=dict)

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
        return True

    def due(self, now_s: float) -> list[Peer]:
        """Return the peers that get a datagram now."""
        found = []
        for name, peer in list(self.peers.items()):
            if now_s - peer.heard_s > PEER_FORGOTTEN_S:
                del self.peers[name]
            elif self._is_up(peer, now_s) or now_s - peer.sent_s >= DOWN_PEER_PERIOD_S:
                found.append(peer)
        return found

    def live(self, now_s: float) -> list[Gossip]:
        """Return the last datagrams of the peers that are up."""
        return [
            peer.last
            for peer in self.peers.values()
            if peer.last is not None and self._is_up(peer, now_s)
        ]

    def load(self, now_s: float) -> dict[str, int]:
        """Return the requests in flight from all live peers, by server."""
        total: dict[str, int] = {}
        for gossip in self.live(now_s):
            for server_id, count in gossip.load.items():
                total[server_id] = total.get(server_id, 0) + count
        return total

    def owner_groups(self, zone: str, now_s: float) -> OwnedZone | None:
        """Return the claim of the live owner with the highest term."""
        claims = [
            owned
            for gossip in self.live(now_s)
            for owned in gossip.owned
            if owned.zone == zone
        ]
        return max(claims, key=lambda owned: owned.term, default=None)

    @staticmethod
    def _is_up(peer: Peer, now_s: float) -> bool:
        return now_s - peer.heard_s < PEER_DOWN_S


def heads(groups: Iterable[Group]) -> set[str]:
    """Return the server ids of the heads."""
    return {group.head for group in groups}
