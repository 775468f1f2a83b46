"""Tests of a store that comes back from an earlier copy, against a stand-in of it."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import pytest

from gooseberryhall.fleet.evacuation import EvacuationRows
from gooseberryhall.fleet.exceptions import LeaseConflictError
from gooseberryhall.fleet.models import BackendServer
from gooseberryhall.fleet.orders import Lease
from gooseberryhall.fleet.ownership import next_term
from gooseberryhall.node.directory import (
    ConfigurationListener,
    NodeRecord,
    ServerListener,
)
from gooseberryhall.platform.directory import StoreDirectory
from gooseberryhall.platform.era import RESTORATION_S, StoreEra
from gooseberryhall.platform.exceptions import StoreUnavailableError
from gooseberryhall.platform.leases import LEASE_TABLE, NODE_TABLE, RowLeaseStore
from gooseberryhall.platform.store import Store
from standins.row_store import RowStore
from tests.platform.test_decoding import CONFIGURATION, SERVER_RECORD
from tests.platform.test_store import async_store, async_until

RECORD = json.dumps(SERVER_RECORD).encode()


@asynccontextmanager
async def async_store_with_era() -> AsyncIterator[tuple[RowStore, Store]]:
    """Run a stand-in of a store that states its era."""
    async with async_store() as (stand_in, store):
        stand_in.era = 1
        yield stand_in, store


async def _async_take(leases: RowLeaseStore, owner: str) -> Lease:
    return await leases.async_acquire_lease(
        owner, await leases.async_read_lease("z"), 0
    )


async def test_lost_terms_are_not_given_out_again() -> None:
    """Guards against two owners that have one term (review/11).

    The servers refused neither of them, and groups got the names of open ones. The
    store goes back twice, the second time to a copy from before the first time.
    """
    async with async_store_with_era() as (stand_in, store):
        leases = RowLeaseStore(store)
        first = await _async_take(leases, "n1")
        stand_in.copy()
        terms = [first.term, (await _async_take(leases, "n2")).term]
        for _ in range(2):
            stand_in.go_back()
            terms += [(await _async_take(leases, owner)).term for owner in ("n3", "n4")]
    assert terms == sorted(set(terms))


async def test_terms_grow_if_the_first_lease_is_lost() -> None:
    """Guards against a first term that is given out again."""
    async with async_store_with_era() as (stand_in, store):
        leases = RowLeaseStore(store)
        terms = []
        for _ in range(3):
            terms.append((await _async_take(leases, "n1")).term)
            stand_in.go_back()
    assert terms == sorted(set(terms))


async def test_lease_is_not_acquired_if_the_store_went_back_meanwhile() -> None:
    """Guards against a write that succeeds since a version was given out again."""
    async with async_store_with_era() as (stand_in, store):
        leases = RowLeaseStore(store)
        await _async_take(leases, "n1")
        stand_in.copy()
        await _async_take(leases, "n2")
        read = await leases.async_read_lease("z")
        stand_in.go_back()
        stand_in.put(LEASE_TABLE, "z", b'{"owner":"n3","term":9}')
        assert stand_in.rows[LEASE_TABLE, "z"][1] == read.version
        with pytest.raises(LeaseConflictError):
            await leases.async_acquire_lease("n4", read, 0)


@pytest.mark.parametrize(
    ("written", "era", "expected"), [(None, None, 3), (4, None, 3), (4, 4, 3)]
)
def test_next_term_follows_the_stored_one_within_an_era(
    written: int | None, era: int | None, expected: int
) -> None:
    """Guards against jumps of terms without need, also if the store states no era."""
    assert next_term(2, written, era) == expected


def test_terms_after_a_lease_of_an_earlier_build_grow_in_each_era() -> None:
    """Guards against equal terms beside nodes that do not write the era."""
    terms = [next_term(2, None, era) for era in (1, 2, 3)]
    assert terms == sorted(set(terms))
    assert terms[0] > 3


class _EarlierLeaseRow(msgspec.Struct):
    """The row as build 13336db declares it."""

    owner: str
    term: int


async def test_leases_of_the_earlier_build_are_read_and_read_ours() -> None:
    """Guards against owners that do not understand each other in an upgrade.

    The row is one that build 13336db wrote.
    """
    async with async_store_with_era() as (stand_in, store):
        leases = RowLeaseStore(store)
        stand_in.put(LEASE_TABLE, "z", b'{"owner":"frontend-a-1","term":3}')
        stored = await leases.async_read_lease("z")
        assert (stored.owner, stored.term) == ("frontend-a-1", 3)
        lease = await leases.async_acquire_lease("n2", stored, 0)
        value, _ = stand_in.rows[LEASE_TABLE, "z"]
    assert value is not None
    row = msgspec.json.decode(value, type=_EarlierLeaseRow)
    assert (row.owner, row.term) == ("n2", lease.term)
    assert lease.term > 3


def _configuration_listener(**changes: Any) -> ConfigurationListener:
    fields: dict[str, Any] = {
        "on_configuration": lambda _: None,
        "on_store_state": lambda _: None,
        "wait_s": lambda: 30.0,
        "max_retry_delay_s": lambda: 0.6,
    }
    return ConfigurationListener(**{**fields, **changes})


async def test_follower_reads_again_versions_that_were_given_out_again() -> None:
    """Guards against changes that are missed as their versions seem to be known.

    The store gives the versions up to that of the follower out again before it asks.
    """
    servers: dict[str, BackendServer] = {}
    outages: list[bool] = []
    may_ask = asyncio.Event()

    async def async_wait_needed() -> bool:
        await may_ask.wait()
        return False

    def on_snapshot(records: Any, after_outage: bool) -> None:
        outages.append(after_outage)
        servers.clear()
        servers.update({record.server_id: record for record in records})

    listener = ServerListener(
        on_snapshot,
        lambda record: servers.update({record.server_id: record}),
        lambda keys: [servers.pop(key) for key in keys if key in servers],
        lambda _: None,
        async_wait_needed,
        lambda: 0.0,
        lambda: 0.6,
    )
    async with async_store_with_era() as (stand_in, store):
        stand_in.put("servers", "i-1", RECORD)
        stand_in.copy()
        for number in range(4):
            stand_in.put("other", f"k{number}", b"")
        may_ask.set()
        task = asyncio.create_task(StoreDirectory(store).async_follow_servers(listener))
        await async_until(lambda: "i-1" in servers)
        may_ask.clear()
        await asyncio.sleep(1.0)
        stand_in.go_back()
        stand_in.put("servers", "i-2", RECORD)
        for number in range(9):
            stand_in.put("other", f"k{number}", b"")
        may_ask.set()
        await async_until(lambda: "i-2" in servers)
        task.cancel()
    # The servers write again what the store lost, so a missing record may return.
    assert outages == [False, True]


async def test_evacuation_that_is_written_again_late_has_not_ended() -> None:
    """Guards against requests to a zone because its row was lost for a moment."""
    told: list[EvacuationRows] = []
    async with async_store_with_era() as (stand_in, store):
        stand_in.put("op", "config", json.dumps(CONFIGURATION).encode())
        stand_in.copy()
        stand_in.put("op", "evacuate/a", b"{}")
        listener = _configuration_listener(on_evacuations=told.append)
        follow = StoreDirectory(store).async_follow_configuration(listener)
        task = asyncio.create_task(follow)
        await async_until(lambda: bool(told))
        stand_in.go_back(restored=False)
        stand_in.put("op", "other", b"")
        await async_until(lambda: told[-1].complete and told[-1].era == 2)
        assert told[-1].restoring
        # What is still missing at the end of the restoration has ended.
        async with asyncio.timeout(RESTORATION_S + 1):
            await async_until(lambda: told[-1].complete and not told[-1].restoring)
        task.cancel()


async def test_node_is_told_that_the_store_went_back() -> None:
    """Guards against nodes that new ones do not find, as their records are lost."""
    told: list[tuple[int, int]] = []
    async with async_store_with_era() as (stand_in, store):
        stand_in.put("op", "config", json.dumps(CONFIGURATION).encode())
        directory = StoreDirectory(store)
        record = NodeRecord("n1", "z", store._address)
        listener = _configuration_listener(
            on_went_back=lambda *eras: told.append(eras), wait_s=lambda: 0.1
        )
        task = asyncio.create_task(directory.async_follow_configuration(listener))
        stand_in.copy()
        await directory.async_register(record)
        await asyncio.sleep(0.1)
        assert told == []
        stand_in.go_back()
        await async_until(lambda: bool(told))
        assert (NODE_TABLE, "n1") not in stand_in.rows
        await directory.async_register(record)
        await directory.async_register(record)
        assert await directory.async_list_nodes() == [record]
        task.cancel()
    assert told == [(1, 2)]


async def test_late_answer_of_an_earlier_era_is_refused() -> None:
    """Guards against rows of an earlier era that are taken for news."""
    async with async_store_with_era() as (stand_in, store):
        stand_in.delay_s = 0.2
        late = asyncio.create_task(store.async_read("t"))
        await asyncio.sleep(0.05)
        store.era.current = 2
        with pytest.raises(StoreUnavailableError):
            await late


def test_eras_are_told_once_and_the_restoration_ends() -> None:
    """Guards against a restoration without end, and one at the start of a node."""
    era = StoreEra()
    told: list[tuple[int, int]] = []
    era.subscribe(lambda last, new: told.append((last, new)))
    assert era.observe(None, None, 0.0)
    assert era.observe(3, None, 1.0)
    assert era.restoring_s(1.0) == 0
    # Two calls were in progress when the store went back.
    assert era.observe(4, 3, 10.0)
    assert era.observe(4, 3, 10.1)
    assert not era.observe(3, 3, 10.2)
    assert told == [(3, 4)]
    assert era.restoring_s(10.0) == RESTORATION_S
    assert era.restoring_s(10.0 + RESTORATION_S) == 0
