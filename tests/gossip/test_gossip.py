"""Tests of datagrams and of what peers are known by."""

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryhall.fleet.models import Group
from gooseberryhall.gossip.const import PEER_DOWN_S
from gooseberryhall.gossip.messages import (
    Gossip,
    GossipError,
    OwnedZone,
    decode,
    encode,
)
from gooseberryhall.gossip.peers import Peers


def _gossip(node: str = "n2", sequence: int = 1, **changes: object) -> Gossip:
    return Gossip(node, "z", 7, sequence, 7000, **changes)  # type: ignore[arg-type]


def test_message_survives_the_wire() -> None:
    """All fields arrive as they were sent."""
    gossip = _gossip(
        traffic_seen=True,
        config_version=4,
        load={"s1": 2},
        suspects=("s3",),
        owned=(OwnedZone("z", 3, (Group("g", 5, "m", ("s1", "s2")),)),),
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
        decode(cbor2.dumps([1] * 11))


def test_late_datagram_does_not_undo_a_newer_one() -> None:
    """Datagrams may overtake each other."""
    peers = Peers("n1")
    assert peers.receive(_gossip(sequence=2, load={"s": 1}), "127.0.0.1", 0.0)
    assert not peers.receive(_gossip(sequence=1, load={"s": 9}), "127.0.0.1", 0.1)
    assert peers.load(0.2) == {"s": 1}


def test_restarted_peer_is_heard_at_once() -> None:
    """A new start counts its datagrams from the beginning."""
    peers = Peers("n1")
    peers.receive(_gossip(sequence=50), "127.0.0.1", 0.0)
    restarted = Gossip("n2", "z", 8, 1, 7000)
    assert peers.receive(restarted, "127.0.0.1", 0.1)


def test_silent_peer_counts_neither_as_load_nor_as_owner() -> None:
    """A peer that is down or cut off must not hold a zone."""
    peers = Peers("n1")
    owned = (OwnedZone("z", 3),)
    peers.receive(_gossip(load={"s": 1}, owned=owned), "127.0.0.1", 0.0)
    assert peers.owner_groups("z", 0.5) is not None
    late_s = PEER_DOWN_S + 0.1
    assert peers.load(late_s) == {}
    assert peers.owner_groups("z", late_s) is None


def test_owner_of_the_latest_term_wins() -> None:
    """An earlier owner may not know yet that it was replaced."""
    peers = Peers("n1")
    for node, term in (("n2", 3), ("n3", 4)):
        owned = (OwnedZone("z", term),)
        peers.receive(_gossip(node, owned=owned), "127.0.0.1", 0.0)
    claim = peers.owner_groups("z", 0.1)
    assert claim is not None
    assert claim.term == 4
