"""Leases and node addresses as rows of the platform's store."""

import logging
from typing import Final

import msgspec

from ..fleet.exceptions import LeaseConflictError
from ..fleet.orders import Lease
from ..fleet.ownership import next_term
from ..node.directory import NodeRecord
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from ..transport.address import create_address
from .decoding import decode_json
from .exceptions import RowFormatError, StoreConflictError, StoreUnavailableError
from .store import Store

_LOGGER = logging.getLogger(__name__)

LEASE_TABLE: Final = "leases"
NODE_TABLE: Final = "nodes"


class _LeaseRow(msgspec.Struct, omit_defaults=True):
    owner: str
    term: int
    # Era of the store in which the row was written. Nodes of an earlier build neither
    # write nor read it.
    era: int | None = None


class _NodeRow(msgspec.Struct):
    host: str
    port: int
    zone: str = ""


class RowLeaseStore:
    """Leases of zones, stored as rows of one table."""

    def __init__(self, store: Store) -> None:
        """Create a lease store that uses a store client."""
        self._store = store

    async def async_read_lease(self, zone: str) -> Lease:
        """Return the stored lease, or one without owner.

        Raises `StoreUnavailableError`.
        """
        read = await self._store.async_read(LEASE_TABLE)
        stored, version = _LeaseRow("", 0), 0
        for row in read.rows:
            if row.key != zone or row.value is None:
                continue
            try:
                stored = decode_json(row.value, _LeaseRow, f"lease of {zone}")
            except RowFormatError as exc:
                raise StoreUnavailableError(str(exc)) from exc
            version = row.version
        following = next_term(stored.term, stored.era, read.era)
        return Lease(zone, stored.owner, stored.term, version, following, read.era)

    async def async_acquire_lease(
        self, owner: str, previous: Lease, later_than: int
    ) -> Lease:
        """Replace the lease `previous` by one of a term above `later_than`.

        Raises `LeaseConflictError` or `StoreUnavailableError`.
        """
        zone, era = previous.zone, previous.era
        term = max(previous.next_term, later_than + 1)
        value = msgspec.json.encode(_LeaseRow(owner, term, era))
        try:
            written = await self._store.async_write(
                LEASE_TABLE, zone, value, previous.version
            )
        except StoreConflictError as exc:
            raise LeaseConflictError(f"lease of {zone} has a new owner") from exc
        if written.era != era:
            # The row may have had the expected version by chance only.
            raise LeaseConflictError("the store went back since the lease was read")
        return Lease(zone, owner, term, written.version, term + 1, era)


async def async_register_node(store: Store, record: NodeRecord) -> None:
    """Write the record of a node, replacing that of an earlier incarnation.

    Raises `StoreError`.
    """
    node, address = record.node, record.address
    value = msgspec.json.encode(_NodeRow(address.host, address.port, record.zone))
    try:
        await store.async_write(NODE_TABLE, node, value, 0)
    except StoreConflictError:
        rows = (await store.async_read(NODE_TABLE)).rows
        stored = next((row for row in rows if row.key == node), None)
        if stored is None or stored.value != value:
            version = stored.version if stored else 0
            await store.async_write(NODE_TABLE, node, value, version)


async def async_read_nodes(store: Store) -> list[NodeRecord]:
    """Return the records of all nodes; skip malformed rows. Raises `StoreError`."""
    found = []
    for row in (await store.async_read(NODE_TABLE)).rows:
        if row.value is None:
            continue
        try:
            node = decode_json(row.value, _NodeRow, f"node {row.key}")
            address = create_address(node.host, node.port)
        except (RowFormatError, ValueError) as exc:
            log_event(_LOGGER, LogEvent.ROW_REFUSED, str(exc), level=logging.WARNING)
            continue
        found.append(NodeRecord(row.key, node.zone, address))
    return found
