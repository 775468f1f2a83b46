"""Tests of datagrams and of what peers are known by."""

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryhall.fleet.models import BackendServer, ServedGroup
from gooseberryhall.gossip.const import PEER_DOWN_S, PEERS_PER_PERIOD
from gooseberryhall.gossip.messages import (
    Gossip,
    GossipError,
    ServerTraffic,
    ZoneAnnouncement,
    decode,
    encode,
)
from gooseberryhall.gossip.peers import Peers, PeerTraffic
from gooseberryhall.transport.pool import Address

LEADER = BackendServer("s1", "engine", Address("10.0.0.1", 80), "z", False, 13)


def _gossip(node: str = "n2", sequence: int = 1, **changes: object) -> Gossip:
    return Gossip(node, "z", 7, sequence, 7000, **changes)  # type: ignore[arg-type]


def test_message_survives_the_wire() -> None:
    """All fields arrive as they were sent."""
    gossip = _gossip(
        traffic_seen=True,
        config_version=4,
        traffic={"s1": ServerTraffic(2), "s2": ServerTraffic(1, 30)},
        suspects=("s3",),
        announcement=ZoneAnnouncement(
            "z",
            3,
            (ServedGroup("m", LEADER, leaving=True),),
            (LEADER,),
            {"s1": ServerTraffic(4, 120)},
        ),
        crashes={"ab": ["s9"]},
    )
    assert decode(encode(gossip)) == gossip


@given(st.binary(max_size=80))
def test_random_bytes_are_refused(data: bytes) -> None:
    """A stray datagram must not end the node."""
    with pytest.raises(GossipError):
        decode(data)


def test_other_shapes_are_refused() -> None:
    """A well-formed CBOR value of another shape is no message."""
    with pytest.raises(GossipError):
        decode(cbor2.dumps([1] * 12))


def test_late_datagram_does_not_undo_a_newer_one() -> None:
    """Datagrams may overtake each other."""
    peers = Peers("n1")
    assert peers.receive(
        _gossip(sequence=2, traffic={"s": ServerTraffic(1, 100)}), "127.0.0.1", 5.0
    )
    assert not peers.receive(
        _gossip(sequence=1, traffic={"s": ServerTraffic(9)}), "127.0.0.1", 5.1
    )
    assert peers.traffic(5.2)["s"] == PeerTraffic(1, 4.9)


def test_restarted_peer_is_heard_at_once() -> None:
    """A new start counts its datagrams from the beginning."""
    peers = Peers("n1")
    peers.receive(_gossip(sequence=50), "127.0.0.1", 0.0)
    restarted = Gossip("n2", "z", 8, 1, 7000)
    assert peers.receive(restarted, "127.0.0.1", 0.1)


def test_silent_peer_counts_neither_as_load_nor_as_owner() -> None:
    """A peer that is down or cut off must not hold a zone."""
    peers = Peers("n1")
    announcement = ZoneAnnouncement("z", 3)
    peers.receive(
        _gossip(traffic={"s": ServerTraffic(1, 100)}, announcement=announcement),
        "127.0.0.1",
        0.0,
    )
    assert peers.fresh_announcement("z", 0.5) is not None
    late_s = PEER_DOWN_S + 0.1
    assert peers.traffic(late_s) == {}
    assert peers.fresh_announcement("z", late_s) is None
    assert peers.last_announcement("z") is not None


def test_owner_of_the_latest_term_wins() -> None:
    """An earlier owner may not know yet that it was replaced."""
    peers = Peers("n1")
    for node, term in (("n2", 4), ("n3", 3)):
        peers.receive(
            _gossip(node, announcement=ZoneAnnouncement("z", term)), "127.0.0.1", 0.0
        )
    received = peers.fresh_announcement("z", 0.1)
    assert received is not None
    assert received.announcement.term == 4


def test_datagrams_of_a_node_do_not_grow_with_the_nodes() -> None:
    """With 90 nodes, telling all of them in each period takes most of a core."""
    peers = Peers("n1")
    peers.receive(
        _gossip("owner", announcement=ZoneAnnouncement("z", 1)), "127.0.0.1", 0.0
    )
    for number in range(90):
        peers.receive(_gossip(f"p{number}"), "127.0.0.1", 0.0)
    due = peers.due(0.5, owner=False)
    assert len(due) == 1 + PEERS_PER_PERIOD
    assert any(peer.last and peer.last.node == "owner" for peer in due)
    assert len(peers.due(0.5, owner=True)) == 91


def test_all_peers_get_their_turn() -> None:
    """A node that never hears another could not tell that it is down."""
    peers = Peers("n1")
    for number in range(20):
        peers.receive(_gossip(f"p{number}"), "127.0.0.1", 0.0)
    told = set()
    for period in range(5):
        for peer in peers.due(0.1 * period, owner=False):
            peer.sent_s = 0.1 * period + 0.01
            told.add(peer.last.node if peer.last else "")
    assert len(told) == 20
