"""Tests of datagrams and the state of peers."""

import asyncio
import math
from collections import Counter
from dataclasses import replace

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryhall.fleet.evacuation import EvacuationUpdate
from gooseberryhall.fleet.models import BackendServer, ColdGrant, ServedGroup
from gooseberryhall.gateway.models import CrashReport, ReportedCrash
from gooseberryhall.gossip.const import (
    BATCH_DATAGRAMS,
    GOSSIP_PERIOD_S,
    MAX_REMOTE_PERIODS,
    PEER_DOWN_S,
    PEERS_PER_PERIOD_WITH_OWNERS,
    UNHEARD_NODE_PERIOD_S,
)
from gooseberryhall.gossip.messages import (
    Gossip,
    GossipError,
    ServerTraffic,
    ZoneAnnouncement,
    decode,
    encode,
)
from gooseberryhall.gossip.models import Peer, PeerTraffic
from gooseberryhall.gossip.peers import Peers
from gooseberryhall.gossip.service import GossipService
from gooseberryhall.gossip.turns import Period, Turn, choose_turn
from gooseberryhall.transport.address import Address

# Peers besides the owners, however many there are.
MAX_PEERS_LOOKED_AT = 8
LEADER = BackendServer("s1", "engine", Address("10.0.0.1", 80), "z", False, 13)


def _gossip(node: str = "n2", sequence: int = 1, **changes: object) -> Gossip:
    return Gossip(node, "z", 7, sequence, 7000, **changes)  # type: ignore[arg-type]


def _peers(*zones: str) -> Peers:
    """Return the peers of node n1 in the first zone."""
    names = zones or ("z",)
    return Peers("n1", names[0], names)


def _receive(
    peers: Peers, node: str, now_s: float, zone: str = "z", **changes: object
) -> None:
    """Receive a message of a node, later than all earlier ones."""
    gossip = Gossip(node, zone, 7, int(now_s * 1000) + 1, 7000, **changes)  # type: ignore[arg-type]
    assert peers.receive(gossip, "127.0.0.1", now_s)


def _due_names(
    peers: Peers, now_s: float, *messages: Gossip, urgent: bool = False
) -> set[str]:
    """Return the names of the due peers and mark them as sent to."""
    due = peers.due_peers(messages or (_gossip("n1"),), now_s, urgent=urgent)
    for peer in due:
        peer.sent_s = now_s
    return {peer.name for peer in due}


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
            ("n3", "n4"),
            ("n9",),
        ),
        crashes=(CrashReport("ab", ("p1", "p2"), (ReportedCrash("s9", 3, 7),)),),
        harmless={"p3": 12},
        evacuations={
            "z": EvacuationUpdate(9, active=True, age_s=1.25),
            "y": EvacuationUpdate(7, active=False),
        },
    )
    assert decode(encode(gossip)) == gossip


def test_crashes_of_an_earlier_version_are_decoded() -> None:
    """Guards against datagrams that are refused while nodes are updated in turn."""
    values = cbor2.loads(encode(_gossip()))[:11]
    earlier = decode(cbor2.dumps([*values, {"ab": ["s9", "s8"]}]))
    assert earlier.crashes == (
        CrashReport("ab", (), (ReportedCrash("s9", 0), ReportedCrash("s8", 0))),
    )
    assert earlier.harmless == {}


def test_node_of_an_earlier_version_tells_nothing_of_evacuations() -> None:
    """Guards against a node that serves since a peer seems to know the evacuations.

    Nodes of an earlier version do not send the field, and nodes that have just started
    do not know them. An empty field tells that no zone is evacuated.
    """
    earlier = cbor2.loads(encode(_gossip()))[:15]
    assert decode(cbor2.dumps(earlier)).evacuations is None
    assert decode(encode(_gossip())).evacuations is None
    assert decode(encode(_gossip(evacuations={}))).evacuations == {}
    without_age = decode(cbor2.dumps([*earlier, {"z": [9, True]}]))
    assert without_age.evacuations == {"z": EvacuationUpdate(9, active=True)}


def test_earlier_versions_decode_messages_with_evacuations() -> None:
    """Guards against a new field that moves the fields which older nodes read."""
    gossip = _gossip(evacuations={"z": EvacuationUpdate(9, active=True)})
    without = cbor2.loads(encode(replace(gossip, evacuations=None)))
    assert cbor2.loads(encode(gossip))[:15] == without[:15]


@given(st.binary(max_size=80))
def test_random_bytes_are_refused(data: bytes) -> None:
    """Guards against a stray datagram that stops the node."""
    with pytest.raises(GossipError):
        decode(data)


@pytest.mark.parametrize("value", [b"\x81" * 3000 + b"\x01", cbor2.dumps(math.inf)])
def test_nested_and_infinite_values_are_refused(value: bytes) -> None:
    """Guards against a datagram whose error the receiver does not expect."""
    numbers = cbor2.dumps(["n2", "z", 1, 1, 7])[1:]
    data = b"\x8e" + numbers.replace(cbor2.dumps(7), b"") + value + b"\xf4" * 9
    with pytest.raises(GossipError):
        decode(data)


@pytest.mark.parametrize("port", [0, 70_000, -1])
def test_port_out_of_range_is_refused(port: int) -> None:
    """Guards against a peer to which no datagram can be sent."""
    with pytest.raises(GossipError):
        decode(encode(replace(_gossip(), port=port)))


def test_messages_of_another_shape_are_refused() -> None:
    """Guards against accepting valid CBOR values that are not a message."""
    with pytest.raises(GossipError):
        decode(cbor2.dumps([1] * 12))


def test_late_datagram_does_not_replace_a_newer_one() -> None:
    """Guards against a late datagram that replaces newer state of a peer."""
    peers = _peers()
    assert peers.receive(
        _gossip(sequence=2, traffic={"s": ServerTraffic(1, 100)}), "127.0.0.1", 5.0
    )
    assert not peers.receive(
        _gossip(sequence=1, traffic={"s": ServerTraffic(9)}), "127.0.0.1", 5.1
    )
    assert peers.traffic(5.2)["s"] == PeerTraffic(1, 4.9)


def test_messages_of_a_restarted_peer_are_accepted() -> None:
    """Guards against ignoring a restarted peer, whose sequence starts again."""
    peers = _peers()
    peers.receive(_gossip(sequence=50), "127.0.0.1", 0.0)
    restarted = Gossip("n2", "z", 8, 1, 7000)
    assert peers.receive(restarted, "127.0.0.1", 0.1)


def test_down_peer_counts_neither_as_load_nor_as_owner() -> None:
    """Guards against a peer that is down or cut off and still counts as owner."""
    peers = _peers()
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
    peers = _peers()
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
    peers = _peers()
    _receive(peers, "owner", 0.0, announcement=ZoneAnnouncement("z", 1))
    for number in range(90):
        _receive(peers, f"p{number}", 0.0)
    due = _due_names(peers, 0.5)
    assert len(due) == 1 + PEERS_PER_PERIOD_WITH_OWNERS
    assert "owner" in due
    owned = _gossip("n1", announcement=ZoneAnnouncement("z", 1))
    assert len(peers.due_peers([owned], 0.5)) == 91


def test_all_peers_get_datagrams_in_turn() -> None:
    """Guards against a peer that gets no datagrams and so seems to be cut off."""
    peers = _peers()
    for number in range(20):
        _receive(peers, f"p{number}", 0.0)
    notified = set()
    for period in range(5):
        notified |= _due_names(peers, 0.1 * period + 0.01)
    assert len(notified) == 20


def _large_deployment() -> Peers:
    """Return peers of 5 zones with 39 nodes each, the first of which is the owner."""
    zones = tuple("zabcd")
    peers = _peers(*zones)
    for zone in zones:
        for number in range(39):
            announcement = None
            if number == 0:
                leader = replace(LEADER, server_id=f"s-{zone}", zone=zone)
                groups = (ServedGroup("m", leader),)
                announcement = ZoneAnnouncement(zone, 1, groups)
            name = f"n-{zone}{number:02}"
            _receive(peers, name, 10.0, zone, announcement=announcement)
    return peers


def test_owner_of_a_large_deployment_sends_less_to_other_zones() -> None:
    """Guards against announcements to all nodes of all zones in each period.

    With 195 nodes the announcements were most of the bytes between zones (0.43 GB in
    50 s on quiet-1 of tks-aeration-large).
    """
    peers = _large_deployment()
    owned = _gossip("n1", announcement=ZoneAnnouncement("z", 2))
    sent: Counter[str] = Counter()
    for period in range(12):
        now_s = 10.1 + period * GOSSIP_PERIOD_S
        sent.update(_due_names(peers, now_s, owned))
    assert sent["n-z05"] == 12
    remote = [count for name, count in sent.items() if not name.startswith("n-z")]
    assert len(remote) == 4 * 39
    assert max(remote) == 12 / MAX_REMOTE_PERIODS


def test_urgent_message_goes_to_all_nodes_at_once() -> None:
    """Guards against requests to a dissolved group until the next announcement."""
    peers = _large_deployment()
    owned = _gossip("n1", announcement=ZoneAnnouncement("z", 2))
    assert len(_due_names(peers, 10.1, owned)) == 5 * 39
    assert len(_due_names(peers, 10.15, owned, urgent=True)) == 5 * 39


def test_node_with_requests_in_a_zone_hears_its_owner_in_each_period() -> None:
    """Guards against streams that seem stalled because their progress is told late."""
    peers = _large_deployment()
    busy = _gossip("n1", traffic={"s-b": ServerTraffic(1)})
    owners: Counter[str] = Counter()
    for period in range(6):
        now_s = 10.1 + period * GOSSIP_PERIOD_S
        owners.update(_due_names(peers, now_s, busy) & {"n-z00", "n-b00", "n-c00"})
    assert owners == {"n-z00": 6, "n-b00": 6, "n-c00": 6 / MAX_REMOTE_PERIODS}

    leader = replace(LEADER, server_id="s-z")
    announcement = ZoneAnnouncement("z", 2, (ServedGroup("m", leader),))
    _receive(peers, "n-c07", 10.9, "c", traffic={"s-z": ServerTraffic(1)})
    owned = _gossip("n1", announcement=announcement)
    _due_names(peers, 11.0, owned)
    assert "n-c07" in _due_names(peers, 11.0 + GOSSIP_PERIOD_S, owned)
    assert "n-c08" not in _due_names(peers, 11.0 + 2 * GOSSIP_PERIOD_S, owned)


def test_traffic_of_a_down_node_is_forgotten_soon() -> None:
    """Guards against groups that seem full of requests of nodes that are gone.

    With 195 nodes the traffic of a node that was down counted for 19 s.
    """
    peers = _large_deployment()
    _receive(peers, "n-c07", 10.5, "c", traffic={"s-z": ServerTraffic(9)})
    assert peers.traffic(11.0)["s-z"].in_flight == 9
    assert "s-z" not in peers.traffic(12.5)


def test_new_owner_announces_its_zone_to_all_listed_nodes() -> None:
    """Guards against nodes without groups after all nodes were restarted.

    Only six listed nodes got a datagram in a period, so with 195 nodes the last one
    learned of its owner after 5 s.
    """
    peers = _peers("z", "y")
    for number in range(194):
        zone = "zy"[number % 2]
        peers.add(f"p{number}", zone, Address("127.0.0.1", 7), 10.0)
    owned = _gossip("n1", announcement=ZoneAnnouncement("z", 2))
    assert len(_due_names(peers, 10.1, owned)) == 194


def test_node_that_starts_makes_itself_known_to_its_zone_at_once() -> None:
    """Guards against an owner that does not know a node that started after it.

    With 195 nodes a zone had twelve owners in the first 1.3 s, as nodes that had not
    heard of the owner contended (trouble-1 of tks-aeration-large).
    """
    peers = _peers("z", "y")
    for number in range(194):
        zone = "zy"[number % 2]
        peers.add(f"p{number}", zone, Address("127.0.0.1", 7), 10.0)
    local = {f"p{number}" for number in range(0, 194, 2)}
    assert local <= _due_names(peers, 10.1)
    assert not local & _due_names(peers, 10.2)


def test_node_finds_owners_of_other_zones_through_its_own() -> None:
    """Guards against a new node that other zones' owners do not know for seconds."""
    peers = _peers("z", "y")
    for number in range(194):
        peers.add(f"p{number:03}", "y", Address("127.0.0.1", 7), 10.0)
    announcement = ZoneAnnouncement("z", 4, other_owners=("p193",))
    _receive(peers, "n0", 10.0, announcement=announcement)
    assert "p193" in _due_names(peers, 10.1)


def test_silent_owner_does_not_contend_before_its_successors() -> None:
    """Guards against a zone without owner while its last owner seems to be live.

    With 195 nodes a node that stopped counted as live for 19 s, and the node with the
    lowest name, mostly the owner, was waited for.
    """
    peers = _peers()
    for name in ("n0", "n2", "n3"):
        _receive(peers, name, 0.0)
    announcement = ZoneAnnouncement("z", 4, successors=("n2", "n1"))
    _receive(peers, "n0", 1.0, announcement=announcement)
    assert peers.contention_rank("z", 2.5) == 1
    _receive(peers, "n0", 3.0, announcement=ZoneAnnouncement("z", 4))
    assert peers.contention_rank("z", 4.5) == 0


def test_owner_names_live_nodes_of_its_zone_as_successors() -> None:
    """Guards against successors that are down, elsewhere or without the store."""
    peers = _peers("z", "y")
    _receive(peers, "n2", 0.0)
    _receive(peers, "n3", 5.0, store_lost=True)
    _receive(peers, "n4", 5.0, "y")
    for name in ("n8", "n6", "n7", "n5"):
        _receive(peers, name, 5.0)
    assert peers.successors("z", 5.1) == ("n5", "n6", "n7")


def test_node_without_datagrams_is_isolated() -> None:
    """Guards against a node that is cut off and contends for zones at once."""
    peers = _peers()
    assert not peers.is_isolated(0.0)
    peers.add("n2", "z", Address("127.0.0.1", 7), 0.0)
    assert peers.is_isolated(0.1)
    _receive(peers, "n2", 1.0)
    assert not peers.is_isolated(1.5)
    assert peers.is_isolated(1.1 + PEER_DOWN_S)


class FakeTransport(asyncio.DatagramTransport):
    """Transport that records the receivers of datagrams."""

    def __init__(self) -> None:
        """Create a transport that sent nothing."""
        super().__init__()
        self.receivers: list[str] = []

    def is_closing(self) -> bool:
        """Return that the transport is open."""
        return False

    def sendto(self, data: object, addr: tuple[str, int] | None = None) -> None:
        """Record the receiver."""
        self.receivers.append(addr[0] if addr else "")


async def test_datagrams_to_many_nodes_are_sent_in_batches() -> None:
    """Guards against a burst that exceeds the link of a small VM.

    The last nodes of each burst got no announcement and took the zone: it had 16 owners
    in 45 s (trouble-1 of tks-aeration-large), each on a VM with 20 Mbit/s.
    """
    peers = Peers("n1", "z", ("z",))
    now_s = asyncio.get_running_loop().time()
    for number in range(60):
        peers.add(f"p{number}", "z", Address(f"10.0.0.{number}", 7), now_s)
    owned = _gossip("n1", announcement=ZoneAnnouncement("z", 2))
    service = GossipService(peers, lambda: [owned], lambda _: None)
    transport = FakeTransport()
    service.connection_made(transport)
    service.send(urgent=True)
    assert len(transport.receivers) == BATCH_DATAGRAMS
    service.send(urgent=True)
    assert len(transport.receivers) == BATCH_DATAGRAMS
    for _ in range(100):
        if len(transport.receivers) == 60:
            break
        await asyncio.sleep(0.01)
    assert len(set(transport.receivers)) == len(transport.receivers) == 60


def test_owner_repeats_its_announcement_to_unheard_nodes_of_its_zone() -> None:
    """Guards against nodes that contend because one datagram to them was lost."""
    peers = _peers("z", "y")
    for zone in ("z", "y"):
        peers.add(f"p-{zone}", zone, Address("127.0.0.1", 7), 10.0)
    owned = _gossip("n1", announcement=ZoneAnnouncement("z", 2))
    assert _due_names(peers, 10.1, owned) == {"p-z", "p-y"}
    assert _due_names(peers, 10.1 + UNHEARD_NODE_PERIOD_S, owned) == {"p-z"}


COLD = replace(
    LEADER,
    cold_remaining_s=1.25,
    arrived_s=50.0,
    cold_grant=ColdGrant(300, 2, "z", 50.0),
)
WARM = replace(LEADER, cold_remaining_s=0.0, arrived_s=50.0)


def _announce_servers(
    *servers: BackendServer, cold_known: bool = True
) -> ZoneAnnouncement:
    """Return an announcement with plain servers and a group of the first one."""
    groups = (ServedGroup("m", servers[0]),)
    return ZoneAnnouncement("z", 3, groups, servers, cold_known=cold_known)


def test_cold_times_and_grants_are_stamped_with_their_arrival() -> None:
    """Guards against cold servers that a node takes for warm, or for granted."""
    withheld = replace(COLD, server_id="s2", cold_grant=None)
    announcement = _announce_servers(COLD, withheld, replace(WARM, server_id="s3"))
    gossip = _gossip(announcement=announcement)
    assert decode(encode(gossip), 50.0) == gossip


def test_earlier_versions_exchange_announcements_of_cold_servers() -> None:
    """Guards against datagrams that are refused while nodes are updated in turn."""
    values = cbor2.loads(encode(_gossip(announcement=_announce_servers(COLD))))
    earlier = cbor2.loads(
        encode(_gossip(announcement=_announce_servers(COLD, cold_known=False)))
    )
    # Earlier nodes read this many values of an announcement and of a server.
    assert values[10][:2] == earlier[10][:2]
    assert values[10][3][0][:7] == earlier[10][3][0]
    assert len(earlier[10]) == 7
    assert len(earlier[10][3][0]) == 7
    # An earlier owner tells nothing, which does not mean that a server is warm.
    decoded = decode(cbor2.dumps(earlier)).announcement
    assert decoded is not None
    assert decoded.servers[0].cold_remaining_s is None


def test_silent_nodes_of_a_zone_are_known_but_not_live() -> None:
    """Guards against a node that receives grants and is not counted."""
    peers = _peers("z", "y")
    for name, zone in [("n2", "z"), ("n3", "z"), ("n4", "y"), ("n5", "")]:
        peers.add(name, zone, Address("127.0.0.1", 7000), 5.0)
    _receive(peers, "n2", 5.0)
    _receive(peers, "n4", 5.0, "y")
    known, live = peers.zone_nodes(5.1)
    assert known == {"n1", "n2", "n3", "n5"}
    assert live == {"n1", "n2"}


async def test_unchanged_groups_of_an_announcement_are_not_decoded_again() -> None:
    """Guards against work for all groups of a zone in each of its datagrams.

    With 195 nodes each of them gets 15 announcements a second.
    """
    peers = _peers()
    service = GossipService(peers, list, lambda _: None)
    found = []
    for sequence in (1, 2):
        traffic = {"s1": ServerTraffic(sequence)}
        group = ServedGroup("m", LEADER)
        announcement = ZoneAnnouncement("z", 3, (group,), (LEADER,), traffic)
        data = encode(_gossip(sequence=sequence, announcement=announcement))
        service.datagram_received(data, ("10.0.0.2", 7000))
        found.append(peers.announcements["z"].announcement)
    assert found[1].traffic == {"s1": ServerTraffic(2)}
    assert found[1].groups is found[0].groups
    assert found[1].servers is found[0].servers


def test_node_without_a_zone_does_not_look_at_all_peers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against work for all nodes in each period of each node."""
    peers = _large_deployment()
    seen: list[str] = []

    def count_turn(peer: Peer, period: Period) -> Turn:
        seen.append(peer.name)
        return choose_turn(peer, period)

    monkeypatch.setattr("gooseberryhall.gossip.peers.choose_turn", count_turn)
    due = _due_names(peers, 10.1)
    assert {"n-z00", "n-a00", "n-b00", "n-c00", "n-d00"} <= due
    assert len(due) == 5 + PEERS_PER_PERIOD_WITH_OWNERS
    assert len(seen) <= 5 + MAX_PEERS_LOOKED_AT
