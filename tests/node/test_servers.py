"""Tests of the follower of the server records, without sockets."""

import asyncio
from dataclasses import replace

import pytest

from gooseberryhall.fleet.view import LAPSED_RECORD_GRACE_S
from gooseberryhall.node.const import RECORD_READERS
from tests.fleet.common import server
from tests.node.common import SETTINGS, StartedNode, create_announcement


async def test_node_without_store_does_not_read_records(
    started: StartedNode,
) -> None:
    """Guards against needless reads of the records by nodes that the store refuses.

    Records are not needed while an owner with access to the store announces its groups.
    Each node that the store refused read two tables every 0.4 s.
    """
    assert started.directory.listener is not None
    started.receive(announcement=create_announcement(2, "h1"))
    started.lose_store()
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(started.directory.listener.async_wait_needed(), 0.2)
    (gossip,) = started.node.create_messages()
    assert not gossip.store_lost


async def test_many_records_removed_after_an_outage_are_kept_for_the_grace_period(
    started: StartedNode,
) -> None:
    """Guards against removing servers whose records lapsed in a short store outage."""
    assert started.directory.listener is not None
    records = [server(f"s{number}") for number in range(6)]
    started.directory.listener.on_snapshot(records, True)
    returned_s = asyncio.get_running_loop().time()
    await asyncio.sleep(0.2)
    started.directory.listener.on_removed([f"s{number}" for number in range(4)])
    assert len(started.node.servers.view.servers) == 6
    started.directory.listener.on_removed(["s5"])
    assert len(started.node.servers.view.servers) == 5
    # The grace counts from the return of the store.
    started.node.servers.view.remove_lapsed(returned_s + LAPSED_RECORD_GRACE_S + 0.1)
    assert set(started.node.servers.view.servers) == {"s4"}


async def test_many_servers_may_leave_while_the_store_answers(
    started: StartedNode,
) -> None:
    """Guards against requests to servers that left, as so many did (review/15)."""
    assert started.directory.listener is not None
    started.list_servers([server(f"s{number}") for number in range(6)])
    started.directory.listener.on_removed([f"s{number}" for number in range(4)])
    assert set(started.node.servers.view.servers) == {"s4", "s5"}
    started.directory.listener.on_snapshot(
        [server(f"s{number}") for number in range(4, 10)], True
    )
    started.node.servers._lapses_until_s -= LAPSED_RECORD_GRACE_S
    started.directory.listener.on_removed([f"s{number}" for number in range(4, 10)])
    assert started.node.servers.view.servers == {}


async def test_nodes_that_contend_late_wait_for_a_new_owner(
    started: StartedNode,
) -> None:
    """Guards against reads of all records by all nodes when one owner stops.

    With 195 nodes and 1,100 servers that is 585 calls and 140 MB at once, and four
    calls a second of each node afterwards.
    """
    node, listener = started.node, started.directory.listener
    assert listener is not None
    node.servers.settings = replace(SETTINGS, leaving_limit_s=4.0)
    for number in range(RECORD_READERS):
        started.receive(f"m{number}")
    started.receive("n9", announcement=create_announcement(1, "h1"))
    silent_s = 2.0
    received = node.peers.announcements["z"]
    node.peers.announcements["z"] = replace(
        received, received_s=received.received_s - silent_s
    )
    node.owner._owner_seen_s["z"] = asyncio.get_running_loop().time()
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(listener.async_wait_needed(), 0.1)
    node.owner._owner_seen_s["z"] -= 2.0
    node.servers.update_demand()
    await asyncio.wait_for(listener.async_wait_needed(), 0.1)


async def test_first_successors_of_a_silent_owner_read_the_records(
    started: StartedNode,
) -> None:
    """Guards against a zone without owner because nobody reads its records."""
    node, listener = started.node, started.directory.listener
    assert listener is not None
    node.servers.settings = replace(SETTINGS, leaving_limit_s=4.0)
    for number in range(9):
        started.receive(f"m{number}")
    announcement = replace(create_announcement(1, "h1"), successors=("m3", "n1"))
    started.receive("n9", announcement=announcement)
    waiting = asyncio.create_task(listener.async_wait_needed())  # type: ignore[arg-type]
    await asyncio.sleep(0.01)
    assert not waiting.done()
    received = node.peers.announcements["z"]
    node.peers.announcements["z"] = replace(received, received_s=0.0)
    node.owner._owner_seen_s["z"] = asyncio.get_running_loop().time()
    node.servers.update_demand()
    assert await asyncio.wait_for(waiting, 0.1)


async def test_removal_of_one_of_three_servers_is_no_outage(
    started: StartedNode,
) -> None:
    """Guards against requests to a server that left a small deployment (review/8)."""
    started.list_servers([server(f"s{number}") for number in range(3)])
    assert started.directory.listener is not None
    started.directory.listener.on_removed(["s0"])
    assert set(started.node.servers.view.servers) == {"s1", "s2"}


async def test_later_lapses_do_not_keep_servers_that_lapsed_before(
    started: StartedNode,
) -> None:
    """Guards against a server without a record that is listed for good (review/8)."""
    assert started.directory.listener is not None
    records = [server(f"s{number}") for number in range(9)]
    started.directory.listener.on_snapshot(records, True)
    started.directory.listener.on_removed([f"s{number}" for number in range(4)])
    started.directory.listener.on_removed([f"s{number}" for number in range(4, 8)])
    due_s = asyncio.get_running_loop().time() + LAPSED_RECORD_GRACE_S
    started.node.servers.view.remove_lapsed(due_s + 0.1)
    assert set(started.node.servers.view.servers) == {"s8"}


async def test_server_that_left_while_records_were_not_read_is_dropped(
    started: StartedNode,
) -> None:
    """Guards against requests to a server that no owner lists any more (review/9).

    Its last record is old, so an outage of the store cannot have made it lapse.
    """
    node, listener = started.node, started.directory.listener
    assert listener is not None
    started.list_servers([server("h1"), server("gone")])
    started.receive("n9", announcement=create_announcement(1, "h1"))
    node.tick()
    waiting = asyncio.create_task(listener.async_wait_needed())  # type: ignore[arg-type]
    await asyncio.sleep(0.01)
    assert not waiting.done()
    received = node.peers.announcements["z"]
    node.peers.announcements["z"] = replace(received, received_s=0.0)
    node.owner._owner_seen_s["z"] = 0.0
    node.servers.update_demand()
    assert await asyncio.wait_for(waiting, 0.1)
    listener.on_snapshot([], True)
    assert set(node.servers.view.servers) == {"h1"}
