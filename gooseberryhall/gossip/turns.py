"""Decides which peers get the datagrams of a period. Pure functions."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto

from .const import DOWN_PEER_PERIOD_S, GOSSIP_PERIOD_S, UNHEARD_NODE_PERIOD_S
from .messages import ZoneAnnouncement
from .models import Peer


class Turn(Enum):
    """Order in which peers get the datagrams of one period."""

    FIRST = auto()
    SECOND = auto()
    # A few of them in each period.
    OTHER = auto()
    # Not in this period.
    NONE = auto()


@dataclass(frozen=True, slots=True)
class Period:
    """What decides which peers get a datagram now."""

    now_s: float
    urgent: bool
    # Time between datagrams of nodes and owners of different zones.
    interval_s: float
    # Peers that were heard later than this are live.
    live_since_s: float
    # Ids of the servers of the zones that this node owns.
    owned: Mapping[str, set[str]]
    owners: set[str]
    near_owners: set[str]
    # Zone of this node if it has no live owner.
    ownerless_zone: str | None


def server_ids(announcement: ZoneAnnouncement) -> set[str]:
    """Return the ids of all servers that take requests in a zone."""
    ids = {group.leader.server_id for group in announcement.groups}
    ids.update(server.server_id for server in announcement.servers)
    return ids


def choose_turn(peer: Peer, period: Period) -> Turn:
    """Return when a peer gets the datagrams of this period."""
    waited_s = period.now_s - peer.sent_s
    is_live = peer.received_s > period.live_since_s
    if peer.name in period.owners or (period.owned and is_live):
        if peer.name in period.near_owners or _is_near(peer, period.owned):
            return Turn.FIRST
        # Half a period allows for timers that fire early.
        is_due = waited_s + GOSSIP_PERIOD_S / 2 >= period.interval_s
        return Turn.SECOND if period.urgent or is_due else Turn.NONE
    if peer.zone in period.owned:
        is_due = waited_s >= UNHEARD_NODE_PERIOD_S
        return Turn.FIRST if is_due else Turn.NONE
    if waited_s >= DOWN_PEER_PERIOD_S:
        return Turn.FIRST if peer.zone == period.ownerless_zone else Turn.OTHER
    return Turn.OTHER if is_live else Turn.NONE


def _is_near(peer: Peer, owned: Mapping[str, set[str]]) -> bool:
    """Return whether a peer is in an owned zone or has requests in flight there."""
    if peer.zone in owned:
        return True
    if peer.message is None or not peer.message.traffic:
        return False
    return any(not ids.isdisjoint(peer.message.traffic) for ids in owned.values())
