"""Follows configuration and servers in the platform's store."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import Final

from ..fleet.models import BackendServer, Configuration
from ..node.directory import ServerListener
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from ..transport.pool import Address
from .configuration import decode_configuration
from .exceptions import HistoryLostError, RowFormatError, StoreError
from .leases import async_read_nodes, async_register_node
from .servers import decode_entry
from .store import Row, RowSet, Store

_LOGGER = logging.getLogger(__name__)

# Rows of the operator and of the servers; the system may only read these tables.
OPERATOR_TABLE: Final = "op"
CONFIGURATION_KEY: Final = "config"
SERVER_TABLE: Final = "servers"

# A connection that went silent is noticed after this time; a configuration must be
# in force within two seconds of calm.
FEED_WAIT_S: Final = 2.5
RETRY_MIN_S: Final = 0.15
RETRY_MAX_S: Final = 0.6


class StoreDirectory:
    """Reads tables once and then follows their changes."""

    def __init__(self, store: Store) -> None:
        """Create a directory over a store."""
        self._store = store

    async def async_follow_configuration(
        self, on_configuration: Callable[[Configuration], None]
    ) -> None:
        """Pass on each new version until cancelled."""

        def take(rows: RowSet) -> None:
            for row in rows.rows:
                if row.key == CONFIGURATION_KEY and row.value is not None:
                    _decode_into(row, on_configuration)

        async def no_pause() -> None:
            return

        await self._async_follow(
            OPERATOR_TABLE, lambda rows, _: take(rows), take, no_pause
        )

    async def async_follow_servers(self, listener: ServerListener) -> None:
        """Pass on entries of servers until cancelled."""

        def on_snapshot(rows: RowSet, after_outage: bool) -> None:
            entries = [_decode_server(row) for row in rows.rows]
            listener.on_snapshot([entry for entry in entries if entry], after_outage)

        def on_rows(rows: RowSet) -> None:
            removed = []
            for row in rows.rows:
                entry = _decode_server(row) if row.value is not None else None
                if entry is not None:
                    listener.on_entry(entry)
                else:
                    removed.append(row.key)
            if removed:
                listener.on_removed(removed)

        async def pause() -> None:
            await asyncio.sleep(listener.pause_s())

        await self._async_follow(SERVER_TABLE, on_snapshot, on_rows, pause)

    async def async_register(self, node: str, address: Address) -> None:
        """Store this node's address. Raises `StoreError`."""
        await async_register_node(self._store, node, address)

    async def async_nodes(self) -> dict[str, Address]:
        """Return the addresses of all nodes. Raises `StoreError`."""
        return await async_read_nodes(self._store)

    async def _async_follow(
        self,
        table: str,
        on_snapshot: Callable[[RowSet, bool], None],
        on_rows: Callable[[RowSet], None],
        async_pause: Callable[[], Awaitable[None]],
    ) -> None:
        """Read a table, follow its changes, and read it again after each gap."""
        version: int | None = None
        outage = False
        while True:
            try:
                if version is None:
                    rows = await self._store.async_read(table)
                    if outage:
                        _log(LogEvent.STORE_REGAINED, "table is read again", table)
                    on_snapshot(rows, outage)
                    outage = False
                else:
                    rows = await self._store.async_watch(table, version, FEED_WAIT_S)
                    on_rows(rows)
                version = rows.version
                await async_pause()
            except HistoryLostError:
                version = None
            except StoreError as exc:
                if not outage:
                    _log(LogEvent.STORE_LOST, str(exc), table)
                outage = True
                version = None
                await asyncio.sleep(random.uniform(RETRY_MIN_S, RETRY_MAX_S))


def _decode_into(row: Row, on_configuration: Callable[[Configuration], None]) -> None:
    try:
        on_configuration(decode_configuration(row.value or b""))
    except RowFormatError as exc:
        log_event(_LOGGER, LogEvent.ROW_REFUSED, str(exc), level=logging.WARNING)


def _decode_server(row: Row) -> BackendServer | None:
    if row.value is None:
        return None
    try:
        return decode_entry(row.key, row.value)
    except RowFormatError as exc:
        log_event(_LOGGER, LogEvent.ROW_REFUSED, str(exc), level=logging.WARNING)
        return None


def _log(event: LogEvent, message: str, table: str) -> None:
    log_event(_LOGGER, event, message, table=table)
