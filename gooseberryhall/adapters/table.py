"""Adapter to the platform's transactional table."""

import asyncio
import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import aiohttp
from result import Err, Ok, Result

from .exceptions import MalformedResponseError, TableUnavailableError

ABSENT = 0
PAGE_ROWS = 500
DEFAULT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05
TOKEN_FIELD = "token"  # noqa: S105 - name of a field, not a secret

RowValue = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Row:
    """A row; `version` is the table revision of its last write."""

    key: str
    version: int
    value: RowValue


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All rows with a key prefix; `revision` is the table revision of the read."""

    revision: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Conflict:
    """Rows whose version differs from the expected one; absent rows have None."""

    rows: Mapping[str, Row | None]


@dataclass(frozen=True, slots=True)
class Transaction:
    """A conditional write of several rows.

    `checks` maps keys to the expected versions, `ABSENT` for rows that must not exist.
    `token` is added to every value in `puts`, so that the outcome can be determined if
    the response is lost.
    """

    checks: Mapping[str, int]
    puts: Mapping[str, RowValue] = field(default_factory=dict)
    deletes: tuple[str, ...] = ()
    token: str = field(default_factory=lambda: secrets.token_hex(12))

    def puts_with_token(self) -> dict[str, RowValue]:
        """Return the values to write with the token added to each."""
        return {
            key: {**value, TOKEN_FIELD: self.token} for key, value in self.puts.items()
        }


class Table(Protocol):
    """A transactional table."""

    async def async_read(self, key: str) -> Row | None:
        """Return a row or None. Raises TableUnavailableError."""

    async def async_read_prefix(self, prefix: str) -> Snapshot:
        """Return all rows whose key has the prefix. Raises TableUnavailableError."""

    async def async_commit(
        self, transaction: Transaction, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> Result[int, Conflict]:
        """Apply a transaction; Ok holds the revision of the write.

        Raises TableUnavailableError if the outcome is unknown after the timeout.
        """


class HttpTable:
    """The table over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Use `session`, which the caller closes, for the table at `address`."""
        self._session = session
        self._address = address

    async def async_read(self, key: str) -> Row | None:
        """Return a row or None. Raises TableUnavailableError."""
        status, body = await self._async_call(
            "GET", "/row", DEFAULT_TIMEOUT_S, params={"key": key}
        )
        return None if status == 404 else _row(body)  # noqa: PLR2004

    async def async_read_prefix(self, prefix: str) -> Snapshot:
        """Return all rows whose key has the prefix. Raises TableUnavailableError."""
        rows: list[Row] = []
        while True:
            after = rows[-1].key if rows else ""
            params = {"prefix": prefix, "after": after, "limit": str(PAGE_ROWS)}
            _, body = await self._async_call(
                "GET", "/rows", DEFAULT_TIMEOUT_S, params=params
            )
            rows.extend(_row(item) for item in body["rows"])
            if not body["more"]:
                return Snapshot(int(body["revision"]), tuple(rows))

    async def async_commit(
        self, transaction: Transaction, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> Result[int, Conflict]:
        """Apply a transaction; Ok holds the revision of the write.

        If the response is lost, the same conditional write is sent again. If the first
        one was applied, the second one conflicts, and the token in the conflicting rows
        shows that the write was made by this transaction.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while True:
            remaining_s = deadline_s - loop.time()
            if remaining_s <= 0:
                raise TableUnavailableError("commit was not confirmed in time")
            try:
                return await self._async_commit_once(transaction, remaining_s / 2)
            except TableUnavailableError:
                await asyncio.sleep(min(RETRY_DELAY_S, remaining_s / 4))

    async def _async_commit_once(
        self, transaction: Transaction, timeout_s: float
    ) -> Result[int, Conflict]:
        payload = {
            "token": transaction.token,
            "checks": [
                {"key": key, "version": version}
                for key, version in transaction.checks.items()
            ],
            "puts": [
                {"key": key, "value": value}
                for key, value in transaction.puts_with_token().items()
            ],
            "deletes": list(transaction.deletes),
        }
        status, body = await self._async_call("POST", "/txn", timeout_s, json=payload)
        if status == 200:  # noqa: PLR2004
            return Ok(int(body["revision"]))
        conflict = Conflict(
            {item["key"]: _optional_row(item) for item in body["conflicts"]}
        )
        applied = applied_revision(transaction, conflict)
        return Ok(applied) if applied is not None else Err(conflict)

    async def _async_call(
        self, method: str, path: str, timeout_s: float, **arguments: Any
    ) -> tuple[int, dict[str, Any]]:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.request(
                method, self._address + path, timeout=timeout, **arguments
            ) as response:
                if response.status not in (200, 404, 409):
                    raise TableUnavailableError(f"table answered {response.status}")
                body = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise TableUnavailableError(str(exc) or type(exc).__name__) from exc
        except (ValueError, RecursionError) as exc:
            raise MalformedResponseError("table answer is not JSON") from exc
        if not isinstance(body, dict):
            raise MalformedResponseError("table answer is not an object")
        return response.status, body


def _row(item: Mapping[str, Any]) -> Row:
    try:
        return Row(str(item["key"]), int(item["version"]), dict(item["value"]))
    except (KeyError, TypeError, ValueError) as exc:
        raise MalformedResponseError("malformed row in a table answer") from exc


def _optional_row(item: Mapping[str, Any]) -> Row | None:
    return None if item["version"] == ABSENT else _row(item)


def applied_revision(transaction: Transaction, conflict: Conflict) -> int | None:
    """Return the revision at which the transaction was applied, or None."""
    for key in transaction.puts:
        row = conflict.rows.get(key)
        if row is not None and row.value.get(TOKEN_FIELD) == transaction.token:
            return row.version
    return None
