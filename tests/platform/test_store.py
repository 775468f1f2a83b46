"""Tests of the store client against a stand-in of the store."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import pytest

from gooseberryhall.fleet.evacuation import EvacuationRows, EvacuationUpdate
from gooseberryhall.fleet.exceptions import LeaseConflictError
from gooseberryhall.fleet.models import BackendServer, Configuration
from gooseberryhall.fleet.orders import Lease
from gooseberryhall.node.directory import (
    ConfigurationListener,
    NodeRecord,
    ServerListener,
)
from gooseberryhall.platform.directory import StoreDirectory
from gooseberryhall.platform.exceptions import (
    HistoryLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from gooseberryhall.platform.leases import RowLeaseStore, async_read_nodes
from gooseberryhall.platform.store import MAX_ROWS, Store
from gooseberryhall.transport.address import Address
from gooseberryhall.transport.pool import ConnectionPool
from standins.row_store import RowStore
from tests.platform.test_decoding import (
    CONFIGURATION,
    SERVER_RECORD,
    add_nested_field,
)


@asynccontextmanager
async def async_store() -> AsyncIterator[tuple[RowStore, Store]]:
    """Run a stand-in of the store and a client of it."""
    stand_in = RowStore()
    listener = await asyncio.start_server(stand_in.async_serve, "127.0.0.1", 0)
    address = Address(*listener.sockets[0].getsockname()[:2])
    pool = ConnectionPool(b"x-id")
    try:
        yield stand_in, Store(pool, address)
    finally:
        pool.close()
        listener.close()


async def test_long_tables_are_read_completely() -> None:
    """Guards against lost rows of a table that needs more than one response."""
    async with async_store() as (stand_in, store):
        for number in range(MAX_ROWS + 7):
            stand_in.put("t", f"k{number:04}", b"v")
        rows = await store.async_read("t")
    assert len(rows.rows) == MAX_ROWS + 7
    assert len({row.key for row in rows.rows}) == MAX_ROWS + 7


async def test_write_needs_the_expected_version() -> None:
    """Guards against two nodes that both believe that they wrote a row."""
    async with async_store() as (_, store):
        version = (await store.async_write("t", "k", b"one", 0)).version
        with pytest.raises(StoreConflictError):
            await store.async_write("t", "k", b"two", 0)
        await store.async_write("t", "k", b"three", version)


async def test_lost_history_and_refusals_raise_distinct_errors() -> None:
    """Guards against a wrong reaction to a lost history or a refusal.

    The caller reads the table again after the former and waits after the latter.
    """
    async with async_store() as (stand_in, store):
        stand_in.put("t", "k", b"v")
        stand_in.compacted_version = 5
        with pytest.raises(HistoryLostError):
            await store.async_watch("t", 1, 0.1)
        stand_in.status = 503
        with pytest.raises(StoreUnavailableError):
            await store.async_read("t")


async def test_lease_is_acquired_once_for_each_term() -> None:
    """Guards against two owners after two contenders read the same lease."""
    async with async_store() as (_, store):
        leases = RowLeaseStore(store)
        absent = await leases.async_read_lease("z")
        assert (absent.owner, absent.term, absent.version) == ("", 0, 0)
        first = await leases.async_acquire_lease("n1", absent, 0)
        with pytest.raises(LeaseConflictError):
            await leases.async_acquire_lease("n2", absent, 0)
        second = await leases.async_acquire_lease("n2", first, 0)
        stored = await leases.async_read_lease("z")
    assert (first.term, second.term) == (1, 2)
    assert stored == second


async def test_lost_response_does_not_acquire_a_lease() -> None:
    """Guards against owning a zone by a write of unknown outcome.

    A write without a response may have been applied; the next read shows it.
    """
    async with async_store() as (stand_in, store):
        leases = RowLeaseStore(store)
        stand_in.lose_answers = 1
        with pytest.raises(StoreUnavailableError):
            await leases.async_acquire_lease("n1", Lease("z", "", 0, 0, 1), 0)
        stored = await leases.async_read_lease("z")
    assert (stored.owner, stored.term) == ("n1", 1)


async def test_malformed_node_rows_are_skipped() -> None:
    """Guards against a row of a later version that hides the other nodes."""
    async with async_store() as (stand_in, store):
        directory = StoreDirectory(store)
        await directory.async_register(NodeRecord("n1", "z", Address("10.0.0.1", 7000)))
        record = NodeRecord("n1", "z", Address("10.0.0.2", 7000))
        await directory.async_register(record)
        stand_in.put("nodes", "n2", b"\xff")
        stand_in.put("nodes", "n4", b'{"host":"10.0.0.4","port":70000}')
        stand_in.put("nodes", "n3", add_nested_field({"host": "10.0.0.3", "port": 1}))
        nodes = await async_read_nodes(store)
    assert nodes == [record]


async def test_node_rows_without_a_zone_are_read() -> None:
    """Guards against nodes of an earlier version that are not found as peers."""
    async with async_store() as (stand_in, store):
        stand_in.put("nodes", "n1", b'{"host":"10.0.0.1","port":7000}')
        nodes = await async_read_nodes(store)
    assert nodes == [NodeRecord("n1", "", Address("10.0.0.1", 7000))]


async def async_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition to come true, for some seconds at most."""
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise TimeoutError("condition did not come true")


async def test_configuration_is_followed_through_an_outage() -> None:
    """Guards against missing a version that was written during a store outage."""
    configurations: list[Configuration] = []
    store_states: list[bool] = []
    async with async_store() as (stand_in, store):
        stand_in.put("op", "config", json.dumps(CONFIGURATION).encode())
        directory = StoreDirectory(store)
        listener = ConfigurationListener(
            configurations.append, store_states.append, lambda: 2.0, lambda: 0.6
        )
        task = asyncio.create_task(directory.async_follow_configuration(listener))
        await async_until(lambda: bool(configurations))
        stand_in.status = 503
        changed = json.dumps({**CONFIGURATION, "version": 9}).encode()
        stand_in.put("op", "config", changed)
        await asyncio.sleep(0.3)
        stand_in.status = 0
        await async_until(lambda: configurations[-1].version == 9)
        stand_in.put("op", "config", b"{half")
        stand_in.put("op", "config", changed.replace(b": 9", b": 11"))
        await async_until(lambda: configurations[-1].version == 11)
        assert False in store_states
        assert store_states[-1]
        task.cancel()


async def test_evacuations_are_followed_through_lost_changes() -> None:
    """Guards against an evacuation that is missed, or whose end is missed.

    The row itself is the request, so a malformed value counts. The first read, the
    changes and the read after a lost history are told apart.
    """
    told: list[EvacuationRows] = []
    known_at_configuration: list[int] = []
    async with async_store() as (stand_in, store):
        stand_in.put("op", "config", json.dumps(CONFIGURATION).encode())
        stand_in.put("op", "evacuate/a", b"\xff{")
        listener = ConfigurationListener(
            lambda _: known_at_configuration.append(len(told)),
            lambda _: None,
            lambda: 2.0,
            lambda: 0.6,
            told.append,
        )
        follow = StoreDirectory(store).async_follow_configuration(listener)
        task = asyncio.create_task(follow)
        await async_until(lambda: len(told) == 1)
        stand_in.put("op", "evacuate/b", b"{}")
        await async_until(lambda: len(told) == 2)
        stand_in.put("op", "evacuate/a", None)
        stand_in.put("op", "evacuate/b", None)
        stand_in.put("op", "evacuate/b", b"")
        await async_until(lambda: told[-1].version == 6)
        # Changes up to version 9 are told by a complete read only.
        stand_in.compacted_version = 9
        stand_in.put("op", "other", b"")
        await async_until(lambda: told[-1].complete)
        stand_in.put("op", "evacuate/b", None)
        stand_in.put("op", "other", b"")
        await async_until(lambda: told[-1].version == 9)
        task.cancel()
    assert known_at_configuration[0] == 1
    assert told[0] == EvacuationRows({"a": EvacuationUpdate(2, True)}, 2, True)
    assert told[1] == EvacuationRows({"b": EvacuationUpdate(3, True)}, 3, False)
    changes = {
        zone: item
        for rows in told[2:]
        if not rows.complete
        for zone, item in rows.updates.items()
    }
    assert changes["a"] == EvacuationUpdate(4, active=False)
    assert changes["b"] == EvacuationUpdate(6, active=True)
    assert told[-1] == EvacuationRows({}, 9, complete=True)


async def test_retries_back_off_while_the_store_is_unavailable() -> None:
    """Guards against nodes that together overload a store that refuses their calls."""
    store_states: list[bool] = []
    async with async_store() as (stand_in, store):
        stand_in.status = 503
        listener = ConfigurationListener(
            lambda _: None, store_states.append, lambda: 2.0, lambda: 2.0
        )
        follow = StoreDirectory(store).async_follow_configuration(listener)
        task = asyncio.create_task(follow)
        await asyncio.sleep(3.0)
        task.cancel()
    # The first delay is 0.15 to 0.3 s, then it doubles each time.
    assert len(store_states) <= 6


def _server_listener(
    servers: dict[str, BackendServer],
    outages: list[bool],
    on_record: Callable[[BackendServer], None] | None = None,
) -> ServerListener:
    """Return a listener that keeps the records in `servers`."""

    def on_snapshot(records: Any, after_outage: bool) -> None:
        outages.append(after_outage)
        servers.clear()
        servers.update({record.server_id: record for record in records})

    def on_removed(keys: list[str]) -> None:
        for key in keys:
            servers.pop(key, None)

    async def async_wait_needed() -> bool:
        return False

    return ServerListener(
        on_snapshot,
        on_record or (lambda record: servers.update({record.server_id: record})),
        on_removed,
        lambda _: None,
        async_wait_needed,
        lambda: 0.0,
        lambda: 0.6,
    )


async def test_unreadable_record_does_not_end_the_follower() -> None:
    """Guards against one nested record after which no change is learned (review/2)."""
    servers: dict[str, BackendServer] = {}
    record = json.dumps(SERVER_RECORD).encode()
    async with async_store() as (stand_in, store):
        stand_in.put("servers", "i-1", record)
        listener = _server_listener(servers, [])
        task = asyncio.create_task(StoreDirectory(store).async_follow_servers(listener))
        await async_until(lambda: "i-1" in servers)
        stand_in.put("servers", "i-odd", add_nested_field(SERVER_RECORD))
        stand_in.put("servers", "i-1", None)
        stand_in.put("servers", "i-2", record)
        await async_until(lambda: set(servers) == {"i-2"})
        task.cancel()


async def test_fault_of_this_program_does_not_end_the_follower() -> None:
    """Guards against records that are never read again after an unexpected error."""
    servers: dict[str, BackendServer] = {}
    outages: list[bool] = []

    def on_record(_: BackendServer) -> None:
        raise RuntimeError("a fault of the listener")

    record = json.dumps(SERVER_RECORD).encode()
    async with async_store() as (stand_in, store):
        stand_in.put("servers", "i-1", record)
        listener = _server_listener(servers, outages, on_record)
        task = asyncio.create_task(StoreDirectory(store).async_follow_servers(listener))
        await async_until(lambda: "i-1" in servers)
        stand_in.put("servers", "i-2", record)
        await async_until(lambda: "i-2" in servers)
        task.cancel()
    assert outages == [False, False]


async def test_servers_are_followed_through_a_lost_history() -> None:
    """Guards against missing changes after the store dropped its history."""
    servers: dict[str, BackendServer] = {}
    outages: list[bool] = []
    listener = _server_listener(servers, outages)
    record = json.dumps(SERVER_RECORD).encode()
    async with async_store() as (stand_in, store):
        stand_in.put("servers", "i-1", record)
        stand_in.put("servers", "i-bad", b"?")
        task = asyncio.create_task(StoreDirectory(store).async_follow_servers(listener))
        await async_until(lambda: "i-1" in servers)
        stand_in.compacted_version = stand_in.version + 2
        stand_in.put("servers", "i-2", record)
        stand_in.put("servers", "i-1", None)
        await async_until(lambda: set(servers) == {"i-2"})
        task.cancel()
    assert outages[0] is False
    assert "i-bad" not in servers


async def test_one_failed_call_is_no_outage() -> None:
    """Guards against requests to a server that left while one call failed.

    No record lapses in so short a time, so a missing one was removed.
    """
    servers: dict[str, BackendServer] = {}
    outages: list[bool] = []
    listener = _server_listener(servers, outages)
    record = json.dumps(SERVER_RECORD).encode()
    async with async_store() as (stand_in, store):
        stand_in.put("servers", "i-1", record)
        stand_in.put("servers", "i-2", record)
        task = asyncio.create_task(StoreDirectory(store).async_follow_servers(listener))
        await async_until(lambda: "i-2" in servers)
        stand_in.lose_answers = 1
        stand_in.put("servers", "i-2", None)
        await async_until(lambda: "i-2" not in servers)
        task.cancel()
    assert outages == [False, False]


async def test_records_may_lapse_in_a_long_outage() -> None:
    """Guards against the removal of all servers after the store was away."""
    outages: list[bool] = []
    listener = _server_listener({}, outages)
    async with async_store() as (stand_in, store):
        task = asyncio.create_task(StoreDirectory(store).async_follow_servers(listener))
        await async_until(lambda: bool(outages))
        stand_in.status = 503
        await asyncio.sleep(2.5)
        stand_in.status = 0
        await async_until(lambda: len(outages) > 1)
        task.cancel()
    assert outages == [False, True]


async def test_outage_before_the_records_were_needed_is_over() -> None:
    """Guards against requests to a server that left long after an outage (review/9)."""
    servers: dict[str, BackendServer] = {}
    outages: list[bool] = []
    not_needed = asyncio.Event()
    needed = asyncio.Event()

    async def async_wait_needed() -> bool:
        if not not_needed.is_set():
            return False
        not_needed.clear()
        await needed.wait()
        return True

    listener = replace(
        _server_listener(servers, outages), async_wait_needed=async_wait_needed
    )
    async with async_store() as (stand_in, store):
        task = asyncio.create_task(StoreDirectory(store).async_follow_servers(listener))
        await async_until(lambda: bool(outages))
        stand_in.status = 503
        await asyncio.sleep(2.5)
        not_needed.set()
        await asyncio.sleep(0.7)
        stand_in.status = 0
        needed.set()
        await async_until(lambda: len(outages) > 1)
        task.cancel()
    assert outages == [False, False]
