"""Followers of the configuration and server records in the platform's store."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from ..core.clock import now_s as boot_time_s
from ..fleet.evacuation import EvacuationRows, EvacuationUpdate
from ..fleet.models import BackendServer, Configuration
from ..node.directory import ConfigurationListener, NodeRecord, ServerListener
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .configuration import decode_configuration
from .exceptions import HistoryLostError, RowFormatError, StoreError
from .leases import async_read_nodes, async_register_node
from .servers import decode_server_record
from .store import WATCH_TIMEOUT_MARGIN_S, Row, RowSet, Store

_LOGGER = logging.getLogger(__name__)

# Tables of the operator and of the servers, which the system may only read.
OPERATOR_TABLE: Final = "op"
CONFIGURATION_KEY: Final = "config"
EVACUATION_PREFIX: Final = "evacuate/"
SERVER_TABLE: Final = "servers"

# Time that a watch waits, after which a stalled connection is noticed. It is short
# because a leaving server must get no requests after 2 s, also from nodes that depend
# on the announcements of the owner.
SERVER_WATCH_WAIT_S: Final = 0.75
MIN_RETRY_DELAY_S: Final = 0.3
# Heartbeats without which a record lapses; the last one may just have been written when
# an outage begins.
LAPSE_HEARTBEATS: Final = 3
HEARTBEAT_INTERVAL_S: Final = 1.2
MAX_DOUBLINGS: Final = 8


class StoreDirectory:
    """Reads tables and follows their changes."""

    def __init__(
        self, store: Store, heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    ) -> None:
        """Create a directory that uses a store client.

        Servers write their records at the interval of heartbeats.
        """
        self._store = store
        # Shortest time from the first failed call to an answer in which a record can
        # lapse. That call may have begun with the outage.
        self._min_outage_s = (
            (LAPSE_HEARTBEATS - 1) * heartbeat_interval_s
            - SERVER_WATCH_WAIT_S
            - WATCH_TIMEOUT_MARGIN_S
        )

    async def async_follow_configuration(self, listener: ConfigurationListener) -> None:
        """Notify the listener of each new version until cancelled."""

        def on_rows(rows: RowSet, *, complete: bool = False) -> None:
            # A node must not serve before it knows the evacuations.
            listener.on_evacuations(_find_evacuations(rows, complete=complete))
            cfg = _find_configuration(rows)
            if cfg is not None:
                listener.on_configuration(cfg)

        async def async_wait_needed() -> bool:
            return False

        table_listener = _TableListener(
            OPERATOR_TABLE,
            lambda rows, _: on_rows(rows, complete=True),
            on_rows,
            listener.on_store_state,
            async_wait_needed,
            listener.wait_s,
            listener.max_retry_delay_s,
        )
        await self._async_follow(table_listener)

    async def async_read_configuration(self) -> Configuration | None:
        """Return the newest version, or None. Raises `StoreError`."""
        return _find_configuration(await self._store.async_read(OPERATOR_TABLE))

    async def async_follow_servers(self, listener: ServerListener) -> None:
        """Notify the listener of changes of server records until cancelled."""

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

        table_listener = _TableListener(
            SERVER_TABLE,
            on_snapshot,
            on_rows,
            listener.on_store_state,
            listener.async_wait_needed,
            lambda: SERVER_WATCH_WAIT_S,
            listener.max_retry_delay_s,
            listener.pause_s,
        )
        await self._async_follow(table_listener)

    async def async_register(self, record: NodeRecord) -> None:
        """Store the record of this node. Raises `StoreError`."""
        await async_register_node(self._store, record)

    async def async_list_nodes(self) -> list[NodeRecord]:
        """Return the records of all nodes. Raises `StoreError`."""
        return await async_read_nodes(self._store)

    async def _async_follow(self, listener: "_TableListener") -> None:
        """Read a table and follow its changes; read it again after each gap."""
        version: int | None = None
        failures = 0
        failed_since_s = 0.0
        while True:
            if await listener.async_wait_needed():
                version = None
                failures = 0
            try:
                failed_s = _now_s() - failed_since_s if failures else 0.0
                version = await self._async_follow_once(listener, version, failed_s)
                failures = 0
                listener.on_store_state(True)
                await asyncio.sleep(listener.pause_s())
            except HistoryLostError:
                version = None
            except Exception as exc:  # noqa: BLE001
                # Nothing else reads this table, so no error may end the task.
                if not isinstance(exc, StoreError):
                    _log_fault(listener.table)
                elif not failures:
                    _log(LogEvent.STORE_LOST, str(exc), listener.table)
                if not failures:
                    failed_since_s = _now_s()
                failures += 1
                version = None
                listener.on_store_state(False)
                await asyncio.sleep(
                    _retry_delay_s(failures, listener.max_retry_delay_s())
                )

    async def _async_follow_once(
        self, listener: "_TableListener", version: int | None, failed_s: float
    ) -> int:
        """Notify the listener of changes and return the version that they reach.

        `failed_s` is the time since the first of the calls that failed before this one.
        """
        if version is not None:
            rows = await self._store.async_watch(
                listener.table, version, listener.wait_s()
            )
            listener.on_rows(rows)
            return rows.version
        rows = await self._store.async_read(listener.table)
        if failed_s:
            _log(LogEvent.STORE_REGAINED, "store is available again", listener.table)
        may_lapse = failed_s > 0 and failed_s >= self._min_outage_s
        listener.on_snapshot(rows, may_lapse)
        return rows.version


@dataclass(frozen=True, slots=True)
class _TableListener:
    """Callbacks and periods for a follower of one table."""

    table: str
    on_snapshot: Callable[[RowSet, bool], None]
    on_rows: Callable[[RowSet], None]
    on_store_state: Callable[[bool], None]
    async_wait_needed: Callable[[], Awaitable[bool]]
    wait_s: Callable[[], float]
    max_retry_delay_s: Callable[[], float]
    pause_s: Callable[[], float] = lambda: 0.0


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _retry_delay_s(failures: int, max_delay_s: float) -> float:
    """Return a delay with exponential backoff and jitter."""
    longest_s = min(
        max_delay_s, MIN_RETRY_DELAY_S * 2 ** min(failures - 1, MAX_DOUBLINGS)
    )
    return random.uniform(longest_s / 2, longest_s)


def _find_configuration(rows: RowSet) -> Configuration | None:
    """Return the configuration, or None if no row holds a valid one."""
    for row in rows.rows:
        if row.key != CONFIGURATION_KEY or row.value is None:
            continue
        try:
            return decode_configuration(row.value)
        except RowFormatError as exc:
            log_event(_LOGGER, LogEvent.ROW_REFUSED, str(exc), level=logging.WARNING)
    return None


def _find_evacuations(rows: RowSet, *, complete: bool) -> EvacuationRows:
    """Return the evacuations; a row requests one whatever its value is.

    Of several changes of a row only the last one counts.
    """
    updates: dict[str, EvacuationUpdate] = {}
    for row in rows.rows:
        if not row.key.startswith(EVACUATION_PREFIX):
            continue
        zone = row.key.removeprefix(EVACUATION_PREFIX)
        version = row.version or rows.version
        if zone not in updates or version >= updates[zone].version:
            updates[zone] = EvacuationUpdate(version, active=row.value is not None)
    return EvacuationRows(updates, rows.version, complete)


def _decode_server(row: Row) -> BackendServer | None:
    if row.value is None:
        return None
    try:
        return decode_server_record(row.key, row.value, boot_time_s())
    except RowFormatError as exc:
        log_event(_LOGGER, LogEvent.ROW_REFUSED, str(exc), level=logging.WARNING)
        return None


def _log_fault(table: str) -> None:
    log_event(
        _LOGGER,
        LogEvent.FOLLOWER_FAILED,
        "changes of a table could not be applied; reading it again",
        level=logging.ERROR,
        table=table,
        exc_info=True,
    )


def _log(event: LogEvent, message: str, table: str) -> None:
    log_event(_LOGGER, event, message, table=table)
