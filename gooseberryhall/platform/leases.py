"""Leases and node addresses as rows of the platform's store."""

import logging
from typing import Final

import msgspec

from ..fleet.exceptions import LeaseConflictError
from ..fleet.orders import Lease
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


class _LeaseRow(msgspec.Struct):
    owner: str
    term: int


class _NodeRow(msgspec.Struct):
    host: str
    port: int
    zone: str = ""


class RowLeaseStore:
    """Leases of zones, stored as rows of one table."""

    def __init__(self, store: Store) -> None:
        """Create a lease store that uses a store client."""
        self._store = store

    async def async_read_lease(self, zone: str) -> Lease | None:
        """Return the stored lease, or None. Raises `StoreUnavailableError`."""
        for row in (await self._store.async_read(LEASE_TABLE)).rows:
            if row.key != zone or row.value is None:
                continue
            try:
                stored = decode_json(row.value, _LeaseRow, f"lease of {zone}")
            except RowFormatError as exc:
                raise StoreUnavailableError(str(exc)) from exc
            return Lease(zone, stored.owner, stored.term, row.version)
        return None

    async def async_acquire_lease(
        self, zone: str, owner: str, previous: Lease | None
    ) -> Lease:
        """Replace the lease `previous` by a lease of the next term.

        Raises `LeaseConflictError` or `StoreUnavailableError`.
        """
        term = previous.term + 1 if previous else 1
        value = msgspec.json.encode(_LeaseRow(owner, term))
        version = previous.version if previous else 0
        try:
            new = await self._store.async_write(LEASE_TABLE, zone, value, version)
        except StoreConflictError as exc:
            raise LeaseConflictError(f"lease of {zone} has a new owner") from exc
        return Lease(zone, owner, term, new)


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
        version = next((row.version for row in rows if row.key == node), 0)
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
