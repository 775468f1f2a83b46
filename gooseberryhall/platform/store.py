"""Client of the platform's row store."""

import asyncio
import base64
import binascii
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final
from urllib.parse import urlencode

import msgspec

from ..gateway.header_values import decode_number
from ..transport.address import Address
from ..transport.exceptions import TransportError
from ..transport.pool import ConnectionPool
from ..transport.request import Response, async_call, encode_request
from .decoding import decode_json
from .era import StoreEra
from .exceptions import (
    HistoryLostError,
    RowFormatError,
    StoreConflictError,
    StoreUnavailableError,
)

CALL_TIMEOUT_S: Final = 1.0
# Timeout of a watch, beyond the time that it waits for a change.
WATCH_TIMEOUT_MARGIN_S: Final = 0.5
MAX_ROWS: Final = 500
# Reads of a table that are begun again as the store went back between two pages.
MAX_READS: Final = 3

_ERA_HEADER: Final = b"store-era"
_OK: Final = 200
_GONE: Final = 410
_CONFLICT: Final = 412


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the store; `value` is None if the row was deleted."""

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowSet:
    """Rows and the newest version of the store at the time of the response."""

    rows: tuple[Row, ...]
    version: int
    # Number of times that the store went back to an earlier copy, as it states it; its
    # versions are comparable within an era only. None if the store states none.
    era: int | None = None


@dataclass(frozen=True, slots=True)
class Written:
    """The outcome of a write: the new version of the row and the era of the store."""

    version: int
    era: int | None = None


class _Row(msgspec.Struct):
    key: str
    # Bytes of the row, encoded in base64.
    value: str = ""
    row_version: int = 0
    removed: bool = False


class _Rows(msgspec.Struct):
    rows: list[_Row]
    row_version: int
    has_more: bool = False


class _Version(msgspec.Struct):
    row_version: int


class Store:
    """Reads, watches and conditionally writes rows."""

    def __init__(self, pool: ConnectionPool, address: Address) -> None:
        """Create a client for the store at an address."""
        self.era = StoreEra()
        self._pool = pool
        self._address = address

    async def async_read(self, table: str) -> RowSet:
        """Return all rows of a table. Raises `StoreError`."""
        for _ in range(MAX_READS):
            rows = await self._async_read_era(table)
            if rows is not None:
                return rows
        raise StoreUnavailableError(f"store went back while {table} was read")

    async def _async_read_era(self, table: str) -> RowSet | None:
        """Return all rows of a table; None if the store went back between pages."""
        rows: list[Row] = []
        start = ""
        first: tuple[int, int | None] | None = None
        while True:
            page, era = await self._async_read_page(table, start)
            first = first or (page.row_version, era)
            if era != first[1]:
                return None
            rows.extend(_decode_rows(page.rows))
            if not page.has_more or not page.rows:
                return RowSet(tuple(rows), *first)
            # The smallest key after the last one of this page.
            start = page.rows[-1].key + "\0"

    async def async_watch(self, table: str, after: int, wait_s: float) -> RowSet:
        """Return the rows that changed after a version, or none after `wait_s`.

        Raises `HistoryLostError` if the store no longer has the changes after the
        version, else `StoreError`.
        """
        query: dict[str, str | int] = {
            "table": table,
            "after": after,
            "wait_ms": int(wait_s * 1000),
        }
        response = await self._async_get(
            "rows-feed", query, wait_s + WATCH_TIMEOUT_MARGIN_S
        )
        page = _decode_page(response.body)
        rows = tuple(_decode_rows(page.rows))
        return RowSet(rows, page.row_version, _decode_era(response))

    async def async_write(
        self, table: str, key: str, value: bytes, version: int
    ) -> Written:
        """Write a row if it has the given version (0: absent).

        Raises `StoreConflictError` if it has another version. After
        `StoreUnavailableError` the write may have been applied or may be applied later.
        """
        name = {"table": table, "part": "", "key": key}
        body = msgspec.json.encode(
            {
                "expected_revision": [{**name, "row_version": version}],
                "writes": [{**name, "value": base64.b64encode(value).decode()}],
                "deletes": [],
            }
        )
        response = await self._async_call(b"POST", b"/v1/rows-tx", body, CALL_TIMEOUT_S)
        if response.head.status == _CONFLICT:
            raise StoreConflictError(f"{table}/{key} has another version")
        _require_ok(response)
        try:
            written = decode_json(response.body, _Version, "response")
        except RowFormatError as exc:
            raise StoreUnavailableError(f"malformed {exc}") from exc
        return Written(written.row_version, _decode_era(response))

    async def _async_read_page(
        self, table: str, start: str
    ) -> tuple[_Rows, int | None]:
        query: dict[str, str | int] = {"table": table, "part": "", "limit": MAX_ROWS}
        if start:
            query["from"] = start
        response = await self._async_get("rows-get", query, CALL_TIMEOUT_S)
        return _decode_page(response.body), _decode_era(response)

    async def _async_get(
        self, call: str, query: dict[str, str | int], timeout_s: float
    ) -> Response:
        target = f"/v1/{call}?{urlencode(query)}".encode()
        response = await self._async_call(b"GET", target, b"", timeout_s)
        if response.head.status == _GONE:
            raise HistoryLostError(f"{call}: history is no longer available")
        _require_ok(response)
        return response

    async def _async_call(
        self, method: bytes, target: bytes, body: bytes, timeout_s: float
    ) -> Response:
        headers = [(b"Host", str(self._address).encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        data = encode_request(method, target, headers, body)
        known = self.era.current
        try:
            response = await async_call(
                self._pool, self._address, data, timeout_s=timeout_s
            )
        except TransportError as exc:
            raise StoreUnavailableError(f"store: {exc}") from exc
        now_s = asyncio.get_running_loop().time()
        if not self.era.observe(_decode_era(response), known, now_s):
            raise StoreUnavailableError("answer of an earlier era of the store")
        return response


def _require_ok(response: Response) -> None:
    if response.head.status != _OK:
        raise StoreUnavailableError(f"store returned status {response.head.status}")


def _decode_era(response: Response) -> int | None:
    """Return the era that a response states; None if it states none."""
    return decode_number(response.head.get(_ERA_HEADER))


def _decode_page(body: bytes) -> _Rows:
    try:
        return decode_json(body, _Rows, "response")
    except RowFormatError as exc:
        raise StoreUnavailableError(f"malformed {exc}") from exc


def _decode_rows(rows: Iterable[_Row]) -> Iterable[Row]:
    for row in rows:
        if row.removed:
            yield Row(row.key, None, row.row_version)
            continue
        yield Row(row.key, _decode_value(row), row.row_version)


def _decode_value(row: _Row) -> bytes:
    try:
        return base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError):
        # A malformed row of another writer is passed on as empty, not dropped.
        return b""
