"""Peers of a node and the announcements of zones."""

from collections import deque
from collections.abc import Collection
from contextlib import suppress
from dataclasses import dataclass, field

from ..transport.address import Address
from .const import (
    GOSSIP_PERIOD_S,
    INTERVALS_UNTIL_DOWN,
    MAX_REMOTE_PERIODS,
    PEER_DOWN_S,
    PEER_REMOVAL_S,
    PEERS_PASSED_OVER,
    PEERS_PER_PERIOD,
    PEERS_PER_PERIOD_WITH_OWNERS,
    REMOTE_PEERS_PER_PERIOD,
    SUCCESSORS,
)
from .messages import Gossip, ZoneAnnouncement
from .models import Peer, PeerTraffic, ReceivedAnnouncement
from .turns import Period, Turn, choose_turn, server_ids


@dataclass(slots=True)
class Peers:
    """Peers by node name and the last announcement of each zone."""

    node_name: str
    zone: str
    # Zones that have an owner while all is well.
    zones: tuple[str, ...]
    peers: dict[str, Peer] = field(default_factory=dict)
    announcements: dict[str, ReceivedAnnouncement] = field(default_factory=dict)
    # Time of the last datagram of any peer; None if there was none.
    last_received_s: float | None = None
    # Names of all peers in the order in which they get datagrams.
    _rotation: deque[str] = field(default_factory=deque)
    # Number of peers in other zones; None if it must be counted again.
    _remote_count: int | None = None
    # Servers of each zone, and the announcement that lists them.
    _zone_servers: dict[str, tuple[ZoneAnnouncement, set[str]]] = field(
        default_factory=dict
    )

    def add(self, name: str, zone: str, address: Address, now_s: float) -> None:
        """Add a peer that is listed in the store."""
        if name == self.node_name:
            return
        peer = self.peers.get(name)
        if peer is None:
            self._add(Peer(name, zone, address, now_s - PEER_DOWN_S))
        elif now_s - peer.received_s >= self._down_s(self.remote_interval_s()):
            peer.address = address

    def receive(self, gossip: Gossip, host: str, now_s: float) -> bool:
        """Apply a message; return False if it is outdated or from this node."""
        if gossip.node == self.node_name:
            return False
        address = Address(host, gossip.port)
        peer = self.peers.get(gossip.node)
        if peer is None:
            peer = Peer(gossip.node, gossip.zone, address, now_s)
            self._add(peer)
        message = peer.message
        if (
            message is not None
            and message.incarnation == gossip.incarnation
            and message.sequence >= gossip.sequence
        ):
            return False
        peer.message = gossip
        if peer.zone != gossip.zone:
            peer.zone = gossip.zone
            self._remote_count = None
        peer.received_s = now_s
        peer.address = address
        self.last_received_s = now_s
        if gossip.announcement is not None:
            received = ReceivedAnnouncement(
                gossip.node, gossip.announcement, now_s, gossip.store_lost
            )
            self._apply_announcement(received)
        return True

    def _add(self, peer: Peer) -> None:
        self.peers[peer.name] = peer
        self._rotation.append(peer.name)
        self._remote_count = None

    def _remove(self, name: str) -> None:
        del self.peers[name]
        with suppress(ValueError):
            self._rotation.remove(name)
        self._remote_count = None

    def due_peers(
        self, messages: Collection[Gossip], now_s: float, *, urgent: bool = False
    ) -> list[Peer]:
        """Return the peers that get the messages of this node now, most urgent first.

        A node and an owner exchange datagrams in each period if the node is in the
        owner's zone or has requests in flight there, else at a longer interval. An
        urgent message goes to all of them at once. Other peers take turns; the nodes of
        a zone without owner all hear of each other soon, as one of them may have become
        the owner before it knew the others.
        """
        period = self._create_round(messages, now_s, urgent=urgent)
        if not period.owned and period.ownerless_zone is None:
            return self._due_owners(period) + self._next_others(period)
        peers: dict[Turn, list[Peer]] = {turn: [] for turn in Turn}
        for name, peer in list(self.peers.items()):
            if now_s - peer.received_s > PEER_REMOVAL_S:
                self._remove(name)
                continue
            peers[choose_turn(peer, period)].append(peer)
        others = peers[Turn.OTHER]
        if not period.owned:
            others = sorted(others, key=lambda peer: peer.sent_s)
            others = others[: self._others_per_period(now_s)]
        # The nodes do not know a new owner before its first announcement, so an owner
        # sends to all others.
        return peers[Turn.FIRST] + peers[Turn.SECOND] + others

    def _due_owners(self, period: Period) -> list[Peer]:
        """Return the owners that get the messages of a node without a zone."""
        peers: dict[Turn, list[Peer]] = {turn: [] for turn in Turn}
        for name in sorted(period.owners & self.peers.keys()):
            peer = self.peers[name]
            peers[choose_turn(peer, period)].append(peer)
        return peers[Turn.FIRST] + peers[Turn.SECOND]

    def _next_others(self, period: Period) -> list[Peer]:
        """Return the next peers that are no owners; looks at few of them only."""
        found: list[Peer] = []
        count = self._others_per_period(period.now_s)
        for _ in range(min(len(self._rotation), count + PEERS_PASSED_OVER)):
            name = self._rotation.popleft()
            peer = self.peers.get(name)
            if peer is None:
                continue
            if period.now_s - peer.received_s > PEER_REMOVAL_S:
                self._remove(name)
                continue
            self._rotation.append(name)
            if choose_turn(peer, period) is Turn.OTHER:
                found.append(peer)
            if len(found) == count:
                break
        return found

    def _others_per_period(self, now_s: float) -> int:
        has_owners = all(self.fresh_announcement(zone, now_s) for zone in self.zones)
        return PEERS_PER_PERIOD_WITH_OWNERS if has_owners else PEERS_PER_PERIOD

    def _create_round(
        self, messages: Collection[Gossip], now_s: float, *, urgent: bool
    ) -> Period:
        interval_s = self.remote_interval_s()
        traffic = {server for message in messages for server in message.traffic}
        return Period(
            now_s=now_s,
            urgent=urgent,
            interval_s=interval_s,
            live_since_s=now_s - self._down_s(interval_s),
            owned={
                message.announcement.zone: server_ids(message.announcement)
                for message in messages
                if message.announcement is not None
            },
            owners=self._reachable_owners(now_s),
            near_owners=self._near_owners(traffic, now_s),
            ownerless_zone=self.zone
            if self.fresh_announcement(self.zone, now_s) is None
            else None,
        )

    def remote_interval_s(self) -> float:
        """Return the time between two datagrams of a node and another zone's owner."""
        if self._remote_count is None:
            self._remote_count = sum(
                1 for peer in self.peers.values() if peer.zone != self.zone
            )
        periods = self._remote_count / REMOTE_PEERS_PER_PERIOD
        periods = min(max(1.0, periods), MAX_REMOTE_PERIODS)
        return periods * GOSSIP_PERIOD_S

    def is_isolated(self, now_s: float) -> bool:
        """Return whether there are peers but none sent a datagram recently."""
        if not self.peers:
            return False
        return self.last_received_s is None or (
            now_s - self.last_received_s >= PEER_DOWN_S
        )

    def successors(self, zone: str, now_s: float) -> tuple[str, ...]:
        """Return the nodes that should contend first if this owner of a zone stops."""
        names = sorted(
            peer.name
            for peer, message in self._live_peers(now_s)
            if peer.zone == zone and not message.store_lost
        )
        return tuple(names[:SUCCESSORS])

    def zone_nodes(self, now_s: float) -> tuple[set[str], set[str]]:
        """Return all known nodes of this node's zone, and those that are live.

        Nodes that are listed without a zone may be of this zone.
        """
        known = {
            peer.name for peer in self.peers.values() if peer.zone in {self.zone, ""}
        }
        known.add(self.node_name)
        live = {peer.name for peer, _ in self._live_peers(now_s)}
        return known, live.intersection(known) | {self.node_name}

    def contention_rank(self, zone: str, now_s: float) -> int:
        """Return how many nodes of this node's zone contend before this node.

        The successors that the last owner named go first, then all known nodes by
        name. An owner that fell silent is left out, because owners send to all nodes of
        their zone in each period.
        """
        last = self.announcements.get(zone)
        successors = last.announcement.successors if last else ()
        silent = last.node if last and not last.is_fresh(now_s) else None
        names = {peer.name for peer in self.peers.values() if peer.zone == zone}
        names.add(self.node_name)
        others = sorted(names.difference(successors))
        order = [name for name in (*successors, *others) if name != silent]
        return order.index(self.node_name) if self.node_name in order else 0

    def has_live_node(self, zone: str, now_s: float) -> bool:
        """Return whether a node of a zone was heard; only owners hear all nodes."""
        return any(peer.zone == zone for peer, _ in self._live_peers(now_s))

    def live_owners(self, now_s: float) -> set[str]:
        """Return the names of the nodes that own a zone."""
        return {
            received.node
            for received in self.announcements.values()
            if received.is_fresh(now_s)
        }

    def traffic(self, now_s: float) -> dict[str, "PeerTraffic"]:
        """Return the total traffic of the live peers, by server."""
        total: dict[str, PeerTraffic] = {}
        for peer, message in self._live_peers(now_s):
            for server_id, item in message.traffic.items():
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

    def _reachable_owners(self, now_s: float) -> set[str]:
        """Return the live owners and those that a live owner knows."""
        owners = self.live_owners(now_s)
        for received in self.announcements.values():
            if received.is_fresh(now_s):
                owners.update(received.announcement.other_owners)
        return owners

    def _near_owners(self, traffic: Collection[str], now_s: float) -> set[str]:
        """Return the owners of this node's zone and of zones with its requests."""
        return {
            received.node
            for zone, received in self.announcements.items()
            if received.is_fresh(now_s)
            if zone == self.zone
            or (traffic and not self._servers_of(received).isdisjoint(traffic))
        }

    def _servers_of(self, received: ReceivedAnnouncement) -> set[str]:
        """Return the ids of the servers that an announcement lists."""
        announcement = received.announcement
        known = self._zone_servers.get(announcement.zone)
        if known is not None and (
            known[0].groups is announcement.groups
            and known[0].servers is announcement.servers
        ):
            return known[1]
        ids = server_ids(announcement)
        self._zone_servers[announcement.zone] = (announcement, ids)
        return ids

    def _live_peers(self, now_s: float) -> list[tuple[Peer, Gossip]]:
        """Return the peers that sent a datagram within the last few intervals.

        The intervals are those to an owner, so a node that owns no zone may find most
        of its peers silent.
        """
        live_since_s = now_s - self._down_s(self.remote_interval_s())
        return [
            (peer, peer.message)
            for peer in self.peers.values()
            if peer.message is not None and peer.received_s > live_since_s
        ]

    def _down_s(self, remote_interval_s: float) -> float:
        return max(PEER_DOWN_S, INTERVALS_UNTIL_DOWN * remote_interval_s)
