"""Tests of the owner of a zone, without sockets."""

import asyncio
from dataclasses import replace

import pytest

from gooseberryhall.fleet.const import FIRST_ANNOUNCEMENT_S
from gooseberryhall.fleet.models import Group, Membership, MemberState
from gooseberryhall.fleet.view import FleetView
from gooseberryhall.gateway.models import CrashReport, ReportedCrash
from gooseberryhall.gossip.messages import ServerTraffic
from gooseberryhall.node.table import create_announcement as create_zone_announcement
from tests.fleet.common import server
from tests.node.common import OPEN_GROUP, SETTINGS, StartedNode, create_announcement


async def test_zone_is_acquired_from_an_owner_without_store(
    started: StartedNode,
) -> None:
    """Guards against a zone that stays with an owner without access to the store."""
    started.list_servers([server("h1")])
    started.node.owner.started_s -= 10
    started.receive(announcement=create_announcement(1, "h1"), store_lost=True)
    started.node.owner.contend()
    await asyncio.sleep(0.01)
    assert started.leases.acquired == ["z"]
    assert set(started.node.owner.zones) == {"z"}


async def test_owner_steps_down_without_the_store(started: StartedNode) -> None:
    """Guards against two owners that send conflicting orders."""
    started.list_servers([server("h1")])
    started.node.owner.become_owner("z", 2)
    started.lose_store()
    started.receive(announcement=create_announcement(2, "h1"))
    started.node.owner.contend()
    assert set(started.node.owner.zones) == {"z"}
    started.receive(announcement=create_announcement(3, "h1"))
    started.node.owner.contend()
    assert started.node.owner.zones == {}


async def test_zone_is_not_taken_the_moment_its_owner_falls_silent(
    started: StartedNode,
) -> None:
    """Guards against acquiring zones that are cut off for a moment.

    The time without an owner counts from the owner's last datagram. A node that did not
    read the records counted it from its own start (inc-0fc6).
    """
    started.node.owner.started_s -= 100
    started.receive("n9", announcement=create_announcement(1, "h1"))
    received = started.node.peers.announcements["z"]
    started.node.owner.settings = replace(SETTINGS, zone="y")
    started.node.owner.contend()
    started.node.peers.announcements["z"] = replace(
        received, received_s=received.received_s - 5
    )
    started.node.peers.peers["n9"].received_s -= 5
    started.list_servers([server("h1")])
    started.node.owner.contend()
    await asyncio.sleep(0.01)
    assert started.leases.acquired == []


async def test_failed_configuration_call_keeps_the_zone(
    started: StartedNode,
) -> None:
    """Guards against giving up a zone because one call for the configuration failed.

    The records are followed on a separate connection. The owner considered its view
    outdated from then on, and another node acquired the zone.
    """
    started.list_servers([server("h1")])
    started.node.owner.become_owner("z", 2)
    assert started.directory.on_configuration_store_state is not None
    started.directory.on_configuration_store_state(False)
    (gossip,) = started.node.create_messages()
    assert not gossip.store_lost
    started.lose_store()
    (gossip,) = started.node.create_messages()
    assert gossip.store_lost
    started.list_servers([server("h1")])
    assert started.directory.listener is not None
    started.directory.listener.on_store_state(True)
    (gossip,) = started.node.create_messages()
    assert not gossip.store_lost


async def test_first_announcement_of_a_new_owner_lists_the_open_groups(
    started: StartedNode,
) -> None:
    """Guards against an announcement without groups right after a take-over.

    All nodes would have no group to send requests to until the next announcement.
    """
    started.list_servers(OPEN_GROUP)
    started.node.owner.become_owner("z", 2)
    (gossip,) = started.node.create_messages()
    assert gossip.announcement is not None
    assert [group.leader.server_id for group in gossip.announcement.groups] == ["h1"]


async def test_zone_that_a_peer_acquired_a_moment_ago_is_left_to_it(
    started: StartedNode,
) -> None:
    """Guards against nodes that start together and take a zone from each other."""
    started.list_servers([server("h1")])
    started.node.owner.started_s -= 10
    started.node.owner.contend()
    await asyncio.sleep(0.01)
    assert started.leases.acquired == []
    started.node.owner.contend()
    await asyncio.sleep(0.01)
    assert started.leases.acquired == []
    started.node.owner._owner_seen_s["z"] -= FIRST_ANNOUNCEMENT_S + 0.1
    started.node.owner.contend()
    await asyncio.sleep(0.01)
    assert started.leases.acquired == ["z"]


async def test_owner_that_was_paused_says_that_its_records_are_outdated(
    started: StartedNode,
) -> None:
    """Guards against the announcement of a leaving server by an owner after a pause.

    The owner sends its announcement before it has read what changed meanwhile.
    """
    started.list_servers([server("h1")])
    assert started.directory.listener is not None
    started.directory.listener.on_store_state(True)
    started.node.owner.become_owner("z", 2)
    (gossip,) = started.node.create_messages()
    assert not gossip.store_lost
    started.node.servers._answered_s -= 2.0
    (gossip,) = started.node.create_messages()
    assert gossip.store_lost


async def test_owner_tells_crashes_beside_its_announcement(
    started: StartedNode,
) -> None:
    """Guards against announcements that exceed a datagram.

    With 15 groups and the crashes of a few seconds they had up to 1,600 bytes
    (trouble-1 of tks-aeration-large).
    """
    started.list_servers(OPEN_GROUP)
    started.node.owner.become_owner("z", 2)
    now_s = asyncio.get_running_loop().time()
    started.node.gateway.crashes.record_crash("ab", "h1", now_s)
    crashes, announcement = started.node.create_messages()
    assert announcement.announcement is not None
    assert announcement.crashes == ()
    assert crashes.announcement is None
    assert crashes.crashes == (CrashReport("ab", (), (ReportedCrash("h1", 0),)),)
    # Peers ignore a datagram that arrives after one with a higher sequence.
    assert announcement.sequence > crashes.sequence


@pytest.mark.parametrize("leaving", [False, True])
def test_group_whose_member_lost_its_record_takes_its_part_of_the_load(
    leaving: bool,
) -> None:
    """Guards against idle groups beside full ones when many records lapse.

    In a burst, 8 of 24 groups had 1 to 11 requests in flight and the others up to 36.
    Also guards against load on a group whose member leaves and removed its record.
    """
    view = FleetView()
    members = ("h1", "h2")
    for rank, name in enumerate(members):
        membership = Membership("g", 1, rank, MemberState.OPEN)
        record = server(name, membership=membership, last_model="m")
        if name == "h2":
            record = replace(record, leaving=leaving)
        view.apply_record(record, 0.0)
    view.remove_server("h2", 1.0)
    announcement = create_zone_announcement(
        view,
        "z",
        1,
        [Group("g", 1, "m", members)],
        grouped_service="engine",
        traffic=lambda _: ServerTraffic(0),
    )
    (group,) = announcement.groups
    assert group.leaving is leaving


async def test_owner_gives_up_a_zone_whose_stored_lease_is_of_another_owner(
    started: StartedNode,
) -> None:
    """Guards against two owners under one term, of which neither gives way (review/11).

    Nodes of an earlier build give a term out again if the store lost a lease.
    """
    started.list_servers([server("h1")])
    started.node.owner.become_owner("z", 2)
    started.leases.owner, started.leases.term = "n0", 2
    started.receive(announcement=create_announcement(2, "h1"))
    started.node.owner.contend()
    await asyncio.sleep(0.01)
    assert started.node.owner.zones == {}


@pytest.mark.parametrize(("owner", "term"), [("n1", 2), ("n0", 1)])
async def test_owner_takes_a_later_term_than_its_rival(
    started: StartedNode, owner: str, term: int
) -> None:
    """Guards against a rival of an earlier build, which gives way to later terms only.

    The store has the lease of this node, or neither of the two.
    """
    started.list_servers([server("h1")])
    started.node.owner.become_owner("z", 2)
    started.leases.owner, started.leases.term = owner, term
    started.receive(announcement=create_announcement(2, "h1"))
    started.node.owner.contend()
    await asyncio.sleep(0.01)
    assert started.node.owner.zones["z"].term == 3
    assert (started.leases.owner, started.leases.term) == ("n1", 3)


async def test_zone_is_acquired_under_a_term_above_those_that_peers_announced(
    started: StartedNode,
) -> None:
    """Guards against a term that an owner has, of which the store lost the lease."""
    started.list_servers([server("h1")])
    started.node.owner.started_s -= 10
    started.receive(announcement=create_announcement(7, "h1"), store_lost=True)
    started.node.owner.contend()
    await asyncio.sleep(0.01)
    assert started.node.owner.zones["z"].term == 8


async def test_owner_gives_no_epoch_out_that_servers_report(
    started: StartedNode,
) -> None:
    """Guards against groups that get the names of open ones (review/11)."""
    membership = Membership("z-2000007", 2_000_007, 0, MemberState.OPEN)
    started.list_servers([server("h1", membership=membership)])
    started.node.owner.become_owner("z", 2)
    assert started.node.owner.zones["z"].next_epoch() == 2_000_008
