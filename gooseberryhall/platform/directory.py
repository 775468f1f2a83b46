"""Follows configuration and servers in the platform's store."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from ..fleet.models import BackendServer, Configuration
from ..node.directory import ConfigurationListener, ServerListener
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from ..transport.pool import Address
from .configuration import decode_configuration
from .exceptions import HistoryLostError, RowFormatError, StoreError
from .leases import async_read_nodes, async_register_node
from .servers import decode_server_record
from .store import Row, RowSet, Store

_LOGGER = logging.getLogger(__name__)

# Rows of the operator and of the servers; the system may only read these tables.
OPERATOR_TABLE: Final = "op"
CONFIGURATION_KEY: Final = "config"
SERVER_TABLE: Final = "servers"

# A connection that went silent is noticed after this time; a server that leaves
# must get no requests two seconds later, on nodes that the owner tells.
FEED_WAIT_S: Final = 0.75
RETRY_MIN_S: Final = 0.3
MAX_DOUBLINGS: Final = 8


class StoreDirectory:
    """Reads tables once and then follows their changes."""

    def __init__(self, store: Store) -> None:
        """Create a directory over a store."""
        self._store = store

    async def async_follow_configuration(self, listener: ConfigurationListener) -> None:
        """Pass on each new version until cancelled."""

        def take(rows: RowSet) -> None:
            cfg = _find_configuration(rows)
            if cfg is not None:
                listener.on_configuration(cfg)

        async def async_wanted() -> bool:
            return False

        follower = _Follower(
            OPERATOR_TABLE,
            lambda rows, _: take(rows),
            take,
            listener.on_store,
            async_wanted,
            listener.wait_s,
            listener.retry_limit_s,
        )
        await self._async_follow(follower)

    async def async_read_configuration(self) -> Configuration | None:
        """Return the newest version. Raises `StoreError`."""
        return _find_configuration(await self._store.async_read(OPERATOR_TABLE))

    async def async_follow_servers(self, listener: ServerListener) -> None:
        """Pass on entries of servers until cancelled."""

        def on_snapshot(rows: RowSet, after_outage: bool) -> None:
            records = [_decode_server(row) for row in rows.rows]
            listener.on_snapshot([record for record in records if record], after_outage)

        def on_rows(rows: RowSet) -> None:
            removed = []
            for row in rows.rows:
                record = _decode_server(row) if row.value is not None else None
                if record is not None:
                    listener.on_record(record)
                else:
                    removed.append(row.key)
            if removed:
                listener.on_removed(removed)

        follower = _Follower(
            SERVER_TABLE,
            on_snapshot,
            on_rows,
            listener.on_store,
            listener.async_wait_wanted,
            lambda: FEED_WAIT_S,
            listener.retry_limit_s,
            listener.pause_s,
        )
        await self._async_follow(follower)

    async def async_register(self, node: str, address: Address) -> None:
        """Store this node's address. Raises `StoreError`."""
        await async_register_node(self._store, node, address)

    async def async_nodes(self) -> dict[str, Address]:
        """Return the addresses of all nodes. Raises `StoreError`."""
        return await async_read_nodes(self._store)

    async def _async_follow(self, follower: "_Follower") -> None:
        """Read a table, follow its changes, and read it again after each gap."""
        version: int | None = None
        failures = 0
        while True:
            if await follower.async_wait_wanted():
                version = None
            try:
                outage = failures > 0
                version = await self._async_follow_once(follower, version, outage)
                failures = 0
                follower.on_store(True)
                await asyncio.sleep(follower.pause_s())
            except HistoryLostError:
                version = None
            except StoreError as exc:
                if not failures:
                    _log(LogEvent.STORE_LOST, str(exc), follower.table)
                failures += 1
                version = None
                follower.on_store(False)
                await asyncio.sleep(_retry_pause_s(failures, follower.retry_limit_s()))

    async def _async_follow_once(
        self, follower: "_Follower", version: int | None, outage: bool
    ) -> int:
        """Pass on what is new; return the version up to which it is known."""
        if version is not None:
            rows = await self._store.async_watch(
                follower.table, version, follower.wait_s()
            )
            follower.on_rows(rows)
            return rows.version
        rows = await self._store.async_read(follower.table)
        if outage:
            _log(LogEvent.STORE_REGAINED, "table is read again", follower.table)
        follower.on_snapshot(rows, outage)
        return rows.version


@dataclass(frozen=True, slots=True)
class _Follower:
    """Takes the rows of a table."""

    table: str
    on_snapshot: Callable[[RowSet, bool], None]
    on_rows: Callable[[RowSet], None]
    on_store: Callable[[bool], None]
    async_wait_wanted: Callable[[], Awaitable[bool]]
    wait_s: Callable[[], float]
    retry_limit_s: Callable[[], float]
    pause_s: Callable[[], float] = lambda: 0.0


def _retry_pause_s(failures: int, limit_s: float) -> float:
    """Return a pause that grows with the failures in a row, with jitter."""
    longest_s = min(limit_s, RETRY_MIN_S * 2 ** min(failures - 1, MAX_DOUBLINGS))
    return random.uniform(longest_s / 2, longest_s)


def _find_configuration(rows: RowSet) -> Configuration | None:
    """Return the configuration if the rows hold one that can be read."""
    for row in rows.rows:
        if row.key != CONFIGURATION_KEY or row.value is None:
            continue
        try:
            return decode_configuration(row.value)
        except RowFormatError as exc:
            log_event(_LOGGER, LogEvent.ROW_REFUSED, str(exc), level=logging.WARNING)
    return None


def _decode_server(row: Row) -> BackendServer | None:
    if row.value is None:
        return None
    try:
        return decode_server_record(row.key, row.value)
    except RowFormatError as exc:
        log_event(_LOGGER, LogEvent.ROW_REFUSED, str(exc), level=logging.WARNING)
        return None


def _log(event: LogEvent, message: str, table: str) -> None:
    log_event(_LOGGER, event, message, table=table)
