"""Stand-in for the platform's metadata store: rows, transactions and a feed."""

import asyncio
import base64
import contextlib
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .http import async_read_body, async_read_head, encode

ANSWER_S = 0.004
MAX_ROWS = 500
OPERATOR_TABLES = ("op", "servers")


@dataclass(slots=True)
class Store:
    """Rows by table, part and key; each change has the next version."""

    rows: dict[tuple[str, str, str], tuple[bytes | None, int]] = field(
        default_factory=dict
    )
    version: int = 0
    # Machines that are turned away with 503, which means that nothing was done.
    turned_away: set[str] = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, table: str, key: str, value: bytes | None, part: str = "") -> int:
        """Write a row, or remove it; return the new version."""
        self.version += 1
        self._apply(table, part, key, value)
        return self.version

    def _apply(self, table: str, part: str, key: str, value: bytes | None) -> None:
        # The order of the dictionary is that of the changes.
        self.rows.pop((table, part, key), None)
        self.rows[table, part, key] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    async def async_serve(
        self, machine: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection of a machine."""
        try:
            while True:
                message = await async_read_head(reader)
                message.body = await async_read_body(reader, message)
                status, content = 503, {}
                if machine not in self.turned_away:
                    status, content = await self._async_call(
                        message.target, message.body
                    )
                await asyncio.sleep(ANSWER_S)
                data = json.dumps(content).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status} X", headers, data))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _async_call(self, target: str, body: bytes) -> tuple[int, Any]:
        call = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(call.query).items()}
        if call.path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        if call.path == "/v1/rows-get":
            return 200, self._page(query)
        if call.path == "/v1/rows-feed":
            return 200, await self._async_feed(query)
        return 400, {}

    def _transact(self, call: dict[str, Any]) -> tuple[int, Any]:
        changes = [*call.get("writes", ()), *call.get("deletes", ())]
        if any(row["table"] in OPERATOR_TABLES for row in changes):
            return 403, {}
        found = []
        for row in call.get("expected_revision", ()):
            name = (row["table"], row.get("part", ""), row["key"])
            value, version = self.rows.get(name, (None, 0))
            if (version if value is not None else 0) != row["row_version"]:
                found.append(name)
        if found:
            current = [self._row(name) for name in found if name in self.rows]
            return 412, {"rows": current, **self._now()}
        self.version += 1
        for row in call.get("writes", ()):
            value = base64.b64decode(row["value"])
            self._apply(row["table"], row.get("part", ""), row["key"], value)
        for row in call.get("deletes", ()):
            self._apply(row["table"], row.get("part", ""), row["key"], None)
        return 200, self._now()

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        names = sorted(
            name
            for name, (value, _) in self.rows.items()
            if name[:2] == (query["table"], query.get("part", ""))
            and value is not None
            and name[2] >= query.get("from", "")
            and ("target" not in query or name[2] < query["target"])
        )
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        rows = [self._row(name) for name in names[:limit]]
        return {"rows": rows, "has_more": len(names) > limit, **self._now()}

    async def _async_feed(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["after"])
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while not (rows := self._changes(query["table"], after)):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)
        return {"rows": rows, **self._now()}

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        return [
            self._row(name)
            for name, (_, version) in self.rows.items()
            if name[0] == table and version > after
        ]

    def _row(self, name: tuple[str, str, str]) -> dict[str, Any]:
        value, version = self.rows[name]
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "row_version": version}
        if value is None:
            return {**row, "removed": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def _now(self) -> dict[str, int]:
        now_ms = int(time.monotonic() * 1000)
        return {"row_version": self.version, "current_time_ms": now_ms}
