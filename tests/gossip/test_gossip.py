"""Tests of datagrams and the state of peers."""

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


def test_message_is_unchanged_after_encoding_and_decoding() -> None:
    """Guards against fields that are lost or changed in a datagram."""
    gossip = _gossip(
        traffic_seen=True,
        config_version=4,
        traffic={"s1": ServerTraffic(2), "s2": ServerTraffic(1, 30)},
        stalled_leaders=("s3",),
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
    """Guards against a stray datagram that stops the node."""
    with pytest.raises(GossipError):
        decode(data)


def test_messages_of_another_shape_are_refused() -> None:
    """Guards against accepting valid CBOR values that are not a message."""
    with pytest.raises(GossipError):
        decode(cbor2.dumps([1] * 12))


def test_late_datagram_does_not_replace_a_newer_one() -> None:
    """Guards against a late datagram that replaces newer state of a peer."""
    peers = Peers("n1")
    assert peers.receive(
        _gossip(sequence=2, traffic={"s": ServerTraffic(1, 100)}), "127.0.0.1", 5.0
    )
    assert not peers.receive(
        _gossip(sequence=1, traffic={"s": ServerTraffic(9)}), "127.0.0.1", 5.1
    )
    assert peers.traffic(5.2)["s"] == PeerTraffic(1, 4.9)


def test_messages_of_a_restarted_peer_are_accepted() -> None:
    """Guards against ignoring a restarted peer, whose sequence starts again."""
    peers = Peers("n1")
    peers.receive(_gossip(sequence=50), "127.0.0.1", 0.0)
    restarted = Gossip("n2", "z", 8, 1, 7000)
    assert peers.receive(restarted, "127.0.0.1", 0.1)


def test_down_peer_counts_neither_as_load_nor_as_owner() -> None:
    """Guards against a peer that is down or cut off and still counts as owner."""
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


def test_announcement_with_the_latest_term_is_used() -> None:
    """Guards against groups of an earlier owner that does not know its successor."""
    peers = Peers("n1")
    for node, term in (("n2", 4), ("n3", 3)):
        peers.receive(
            _gossip(node, announcement=ZoneAnnouncement("z", term)), "127.0.0.1", 0.0
        )
    received = peers.fresh_announcement("z", 0.1)
    assert received is not None
    assert received.announcement.term == 4


def test_number_of_datagrams_does_not_grow_with_the_nodes() -> None:
    """Guards against sending to all nodes in each period.

    With 90 nodes this takes most of a core.
    """
    peers = Peers("n1")
    peers.receive(
        _gossip("owner", announcement=ZoneAnnouncement("z", 1)), "127.0.0.1", 0.0
    )
    for number in range(90):
        peers.receive(_gossip(f"p{number}"), "127.0.0.1", 0.0)
    due = peers.due_peers(0.5, owner=False)
    assert len(due) == 1 + PEERS_PER_PERIOD
    assert any(peer.message and peer.message.node == "owner" for peer in due)
    assert len(peers.due_peers(0.5, owner=True)) == 91


def test_all_peers_get_datagrams_in_turn() -> None:
    """Guards against a peer that gets no datagrams and so seems to be cut off."""
    peers = Peers("n1")
    for number in range(20):
        peers.receive(_gossip(f"p{number}"), "127.0.0.1", 0.0)
    notified = set()
    for period in range(5):
        for peer in peers.due_peers(0.1 * period, owner=False):
            peer.sent_s = 0.1 * period + 0.01
            notified.add(peer.message.node if peer.message else "")
    assert len(notified) == 20
