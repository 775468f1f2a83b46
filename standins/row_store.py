"""The platform's store of rows, in the memory of the test's process."""

import asyncio
import base64
import contextlib
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit


@dataclass(slots=True)
class RowStore:
    """Rows in memory, with injected faults.

    A `status` other than 0 is the response to all calls, `delay_s` delays responses,
    and `lose_answers` is the number of upcoming responses that are lost. Changes up to
    `compacted_version` are no longer served.
    """

    rows: dict[tuple[str, str], tuple[bytes | None, int]] = field(default_factory=dict)
    version: int = 0
    status: int = 0
    delay_s: float = 0.0
    compacted_version: int = 0
    lose_answers: int = 0
    reads: int = 0
    # Stated in all responses; rises when the store goes back to an earlier copy.
    era: int | None = None
    copied: tuple[dict[tuple[str, str], tuple[bytes | None, int]], int] = ({}, 0)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove a row."""
        self.version += 1
        self.rows[table, key] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self) -> None:
        """Keep a copy to which `go_back` returns."""
        self.copied = (dict(self.rows), self.version)

    def go_back(self, *, restored: bool = True) -> None:
        """Return to the copy; its versions are given out again.

        The operator and the servers write again what was lost, if `restored`.
        """
        lost = self.rows
        self.rows, self.version = dict(self.copied[0]), self.copied[1]
        self.era = (self.era or 0) + 1
        for (table, key), (value, _) in lost.items():
            if not restored or table not in {"op", "servers"}:
                continue
            if self.rows.get((table, key), (None, 0))[0] != value:
                self.put(table, key, value)

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to the calls of one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.strip().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in lines)
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size)
                status, content = await self._async_handle_call(first.split()[1], body)
                if self.lose_answers:
                    self.lose_answers -= 1
                    return
                data = json.dumps(content).encode()
                start = f"HTTP/1.1 {status} X\r\ncontent-length: {len(data)}"
                if self.era is not None:
                    start += f"\r\nstore-era: {self.era}"
                writer.write(start.encode() + b"\r\n\r\n" + data)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _async_handle_call(self, target: str, body: bytes) -> tuple[int, Any]:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
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
        if after < self.compacted_version or after > self.version:
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
