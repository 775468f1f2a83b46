"""Followers of the configuration and server records in the platform's store."""

import logging
from dataclasses import replace
from typing import Final

from ..core.clock import now_s as boot_time_s
from ..fleet.evacuation import EvacuationRows, EvacuationUpdate
from ..fleet.models import BackendServer, Configuration
from ..node.directory import ConfigurationListener, NodeRecord, ServerListener
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .configuration import decode_configuration
from .exceptions import RowFormatError
from .follower import Snapshot, TableFollower, TableListener
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
# Heartbeats without which a record lapses; the last one may just have been written when
# an outage begins.
LAPSE_HEARTBEATS: Final = 3
HEARTBEAT_INTERVAL_S: Final = 1.2


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

        def on_rows(
            rows: RowSet, *, complete: bool = False, restoring: bool = False
        ) -> None:
            # A node must not serve before it knows the evacuations.
            evacuations = _find_evacuations(rows, complete=complete)
            listener.on_evacuations(replace(evacuations, restoring=restoring))
            cfg = _find_configuration(rows)
            if cfg is not None:
                listener.on_configuration(cfg)

        async def async_wait_needed() -> bool:
            return False

        self._store.era.subscribe(listener.on_went_back)
        table_listener = TableListener(
            OPERATOR_TABLE,
            lambda read: on_rows(read.rows, complete=True, restoring=read.restoring),
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

        def on_snapshot(read: Snapshot) -> None:
            records = [_decode_server(row) for row in read.rows.rows]
            may_lapse = read.failed_s > 0 and read.failed_s >= self._min_outage_s
            listener.on_snapshot(
                [record for record in records if record], may_lapse or read.restoring
            )

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

        table_listener = TableListener(
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

    async def _async_follow(self, listener: TableListener) -> None:
        await TableFollower(self._store, listener).async_follow()


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
            updates[zone] = EvacuationUpdate(
                version, active=row.value is not None, era=rows.era
            )
    return EvacuationRows(updates, rows.version, complete, era=rows.era)


def _decode_server(row: Row) -> BackendServer | None:
    if row.value is None:
        return None
    try:
        return decode_server_record(row.key, row.value, boot_time_s())
    except RowFormatError as exc:
        log_event(_LOGGER, LogEvent.ROW_REFUSED, str(exc), level=logging.WARNING)
        return None
