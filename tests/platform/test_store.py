"""Tests of the store's client against a small stand-in of the store."""

import asyncio
import base64
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest

from gooseberryhall.fleet.exceptions import LeaseTakenError
from gooseberryhall.fleet.models import BackendServer, Configuration
from gooseberryhall.node.directory import ConfigurationListener, ServerListener
from gooseberryhall.platform.directory import StoreDirectory
from gooseberryhall.platform.exceptions import (
    HistoryLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from gooseberryhall.platform.leases import RowLeases, async_read_nodes
from gooseberryhall.platform.store import MAX_ROWS, Store
from gooseberryhall.transport.pool import Address, ConnectionPool
from tests.platform.test_decoding import CONFIGURATION, ENTRY


@dataclass(slots=True)
class StandIn:
    """Rows in memory, with faults."""

    rows: dict[tuple[str, str], tuple[bytes | None, int]] = field(default_factory=dict)
    version: int = 0
    status: int = 0
    oldest: int = 0
    lose_answers: int = 0
    reads: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove a row."""
        self.version += 1
        self.rows[table, key] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.strip().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in lines)
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size)
                status, content = await self._async_answer(first.split()[1], body)
                if self.lose_answers:
                    self.lose_answers -= 1
                    return
                data = json.dumps(content).encode()
                start = f"HTTP/1.1 {status} X\r\ncontent-length: {len(data)}"
                writer.write(start.encode() + b"\r\n\r\n" + data)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _async_answer(self, target: str, body: bytes) -> tuple[int, Any]:
        if self.status:
            return self.status, {}
        call = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(call.query).items()}
        if call.path == "/v1/rows-tx":
            return self._write(json.loads(body))
        if call.path == "/v1/rows-get":
            self.reads += 1
            return 200, self._page(query)
        after = int(query["after"])
        if after < self.oldest:
            return 410, {}
        if not self._changes(query["table"], after):
            with contextlib.suppress(TimeoutError):
                wait_s = int(query["wait_ms"]) / 1000
                await asyncio.wait_for(self.changed.wait(), wait_s)
        rows = self._changes(query["table"], after)
        return 200, {"rows": rows, "row_version": self.version, "current_time_ms": 1}

    def _write(self, call: dict[str, Any]) -> tuple[int, Any]:
        for row in call["expected_revision"]:
            stored = self.rows.get((row["table"], row["key"]), (None, 0))
            if stored[1] != row["row_version"]:
                return 412, {"rows": []}
        for row in call["writes"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        return 200, {"row_version": self.version, "current_time_ms": 1}

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        keys = sorted(
            key
            for (table, key), (value, _) in self.rows.items()
            if table == query["table"] and value is not None
        )
        keys = [key for key in keys if key >= query.get("from", "")]
        limit = int(query["limit"])
        return {
            "rows": [self._row(query["table"], key) for key in keys[:limit]],
            "has_more": len(keys) > limit,
            "row_version": self.version,
            "current_time_ms": 1,
        }

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        keys = [
            key
            for (name, key), (_, version) in self.rows.items()
            if name == table and version > after
        ]
        return [self._row(table, key) for key in keys]

    def _row(self, table: str, key: str) -> dict[str, Any]:
        value, version = self.rows[table, key]
        row = {"table": table, "part": "", "key": key, "row_version": version}
        if value is None:
            return {**row, "removed": True}
        return {**row, "value": base64.b64encode(value).decode()}


@asynccontextmanager
async def async_store() -> AsyncIterator[tuple[StandIn, Store]]:
    """Run a stand-in and a client of it."""
    stand_in = StandIn()
    listener = await asyncio.start_server(stand_in.async_serve, "127.0.0.1", 0)
    address = Address(*listener.sockets[0].getsockname()[:2])
    pool = ConnectionPool(b"x-id")
    try:
        yield stand_in, Store(pool, address)
    finally:
        pool.close()
        listener.close()


async def test_long_tables_are_read_whole() -> None:
    """A table of more rows than one answer holds must not lose any."""
    async with async_store() as (stand_in, store):
        for number in range(MAX_ROWS + 7):
            stand_in.put("t", f"k{number:04}", b"v")
        rows = await store.async_read("t")
    assert len(rows.rows) == MAX_ROWS + 7
    assert len({row.key for row in rows.rows}) == MAX_ROWS + 7


async def test_write_needs_the_expected_version() -> None:
    """Two nodes must not both believe that they wrote a row."""
    async with async_store() as (_, store):
        version = await store.async_write("t", "k", b"one", 0)
        with pytest.raises(StoreConflictError):
            await store.async_write("t", "k", b"two", 0)
        await store.async_write("t", "k", b"three", version)


async def test_lost_history_and_refusals_have_types() -> None:
    """The caller reads again after a lost history and waits after a refusal."""
    async with async_store() as (stand_in, store):
        stand_in.put("t", "k", b"v")
        stand_in.oldest = 5
        with pytest.raises(HistoryLostError):
            await store.async_watch("t", 1, 0.1)
        stand_in.status = 503
        with pytest.raises(StoreUnavailableError):
            await store.async_read("t")


async def test_lease_is_taken_once_for_each_term() -> None:
    """Two contenders that read the same lease must not both own the zone."""
    async with async_store() as (_, store):
        leases = RowLeases(store)
        assert await leases.async_read_lease("z") is None
        first = await leases.async_take_lease("z", "n1", None)
        with pytest.raises(LeaseTakenError):
            await leases.async_take_lease("z", "n2", None)
        second = await leases.async_take_lease("z", "n2", first)
        stored = await leases.async_read_lease("z")
    assert (first.term, second.term) == (1, 2)
    assert stored == second


async def test_lost_answer_of_a_lease_does_not_give_it() -> None:
    """A write without an answer may have been applied; the next read tells."""
    async with async_store() as (stand_in, store):
        leases = RowLeases(store)
        stand_in.lose_answers = 1
        with pytest.raises(StoreUnavailableError):
            await leases.async_take_lease("z", "n1", None)
        stored = await leases.async_read_lease("z")
    assert stored is not None
    assert (stored.owner, stored.term) == ("n1", 1)


async def test_nodes_of_other_formats_are_skipped() -> None:
    """A row of a later version must not hide the other nodes."""
    async with async_store() as (stand_in, store):
        directory = StoreDirectory(store)
        await directory.async_register("n1", Address("10.0.0.1", 7000))
        await directory.async_register("n1", Address("10.0.0.2", 7000))
        stand_in.put("nodes", "n2", b"\xff")
        nodes = await async_read_nodes(store)
    assert nodes == {"n1": Address("10.0.0.2", 7000)}


async def _async_until(condition: Callable[[], bool]) -> None:
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise TimeoutError("condition did not come true")


async def test_configuration_is_followed_through_an_outage() -> None:
    """A version that came during an outage of the store is in force after it."""
    seen: list[Configuration] = []
    alive: list[bool] = []
    async with async_store() as (stand_in, store):
        stand_in.put("op", "config", json.dumps(CONFIGURATION).encode())
        directory = StoreDirectory(store)
        listener = ConfigurationListener(
            seen.append, alive.append, lambda: 2.0, lambda: 0.6
        )
        task = asyncio.create_task(directory.async_follow_configuration(listener))
        await _async_until(lambda: bool(seen))
        stand_in.status = 503
        changed = json.dumps({**CONFIGURATION, "version": 9}).encode()
        stand_in.put("op", "config", changed)
        await asyncio.sleep(0.3)
        stand_in.status = 0
        await _async_until(lambda: seen[-1].version == 9)
        stand_in.put("op", "config", b"{half")
        stand_in.put("op", "config", changed.replace(b": 9", b": 11"))
        await _async_until(lambda: seen[-1].version == 11)
        assert False in alive
        assert alive[-1]
        task.cancel()


async def test_questions_become_rare_while_the_store_is_away() -> None:
    """Guards against nodes that together press on a store that refuses them."""
    alive: list[bool] = []
    async with async_store() as (stand_in, store):
        stand_in.status = 503
        listener = ConfigurationListener(
            lambda _: None, alive.append, lambda: 2.0, lambda: 2.0
        )
        follow = StoreDirectory(store).async_follow_configuration(listener)
        task = asyncio.create_task(follow)
        await asyncio.sleep(3.0)
        task.cancel()
    # Pauses of 0.15 to 0.3 s at first, then twice as long each time.
    assert len(alive) <= 6


async def test_servers_are_followed_through_a_lost_history() -> None:
    """Entries and removals keep coming after the store dropped its history."""
    servers: dict[str, BackendServer] = {}
    outages: list[bool] = []

    def on_snapshot(entries: Any, after_outage: bool) -> None:
        outages.append(after_outage)
        servers.clear()
        servers.update({entry.server_id: entry for entry in entries})

    def on_removed(keys: list[str]) -> None:
        for key in keys:
            servers.pop(key, None)

    async def async_wanted() -> bool:
        return False

    listener = ServerListener(
        on_snapshot,
        lambda entry: servers.update({entry.server_id: entry}),
        on_removed,
        lambda _: None,
        async_wanted,
        lambda: 0.0,
        lambda: 0.6,
    )
    entry = json.dumps(ENTRY).encode()
    async with async_store() as (stand_in, store):
        stand_in.put("servers", "i-1", entry)
        stand_in.put("servers", "i-bad", b"?")
        task = asyncio.create_task(StoreDirectory(store).async_follow_servers(listener))
        await _async_until(lambda: "i-1" in servers)
        stand_in.oldest = stand_in.version + 2
        stand_in.put("servers", "i-2", entry)
        stand_in.put("servers", "i-1", None)
        await _async_until(lambda: set(servers) == {"i-2"})
        task.cancel()
    assert outages[0] is False
    assert "i-bad" not in servers
