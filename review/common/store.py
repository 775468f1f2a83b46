"""The platform's metadata store: rows, conditional writes and the change feed."""

import asyncio
import base64
import contextlib
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .http import BrokenMessageError, encode_message, read_message

ANSWER_S = 0.004
MAX_PAGE_ROWS = 500
READ_ONLY_TABLES = frozenset({"op", "servers"})


class Store:
    """Rows in memory. The answer to a call is linearizable and takes 4 ms."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.rows: dict[tuple[str, str, str], tuple[bytes | None, int]] = {}
        self.version = 0
        self.port = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, table: str, key: str, value: bytes | None, part: str = "") -> None:
        """Write a row, or remove it if the value is None."""
        self.version += 1
        self.rows[table, part, key] = (value, self.version)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_message(reader)
                await asyncio.sleep(ANSWER_S)
                status, content = await self._handle(request.target, request.body)
                headers = {"Content-Type": "application/json"}
                data = json.dumps(content).encode()
                writer.write(encode_message(f"HTTP/1.1 {status} X", headers, data))
        except (BrokenMessageError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _handle(self, target: str, body: bytes) -> tuple[int, Any]:
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/v1/rows-tx":
            return self._write(json.loads(body))
        if url.path == "/v1/rows-get":
            return 200, self._page(query)
        if url.path == "/v1/rows-feed":
            return 200, await self._feed(query)
        return 404, {}

    def _write(self, call: dict[str, Any]) -> tuple[int, Any]:
        changes = [*call.get("writes", ()), *call.get("deletes", ())]
        if any(row["table"] in READ_ONLY_TABLES for row in changes):
            return 403, {}
        expected = call.get("expected_revision", ())
        if any(self._stored(row)[1] != row["row_version"] for row in expected):
            return 412, {"rows": [self._row(*_name(row)) for row in expected]}
        for row in call.get("writes", ()):
            value = base64.b64decode(row["value"])
            self.put(row["table"], row["key"], value, row.get("part", ""))
        for row in call.get("deletes", ()):
            self.put(row["table"], row["key"], None, row.get("part", ""))
        return 200, self._answer({})

    def _stored(self, row: dict[str, Any]) -> tuple[bytes | None, int]:
        value, version = self.rows.get(_name(row), (None, 0))
        return (value, version) if value is not None else (None, 0)

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("target")
        keys = sorted(
            name[2]
            for name, (value, _) in self.rows.items()
            if name[:2] == (table, part) and value is not None
        )
        keys = [key for key in keys if key >= start and (end is None or key < end)]
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        rows = [self._row(table, part, key) for key in keys[:limit]]
        return self._answer({"rows": rows, "has_more": len(keys) > limit})

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["after"])
        wait_s = int(query.get("wait_ms", 0)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._changes(query["table"], after):
                    await self._changed.wait()
        return self._answer({"rows": self._changes(query["table"], after)})

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        found = [
            (version, name)
            for name, (_, version) in self.rows.items()
            if name[0] == table and version > after
        ]
        return [self._row(*name) for _, name in sorted(found)]

    def _row(self, table: str, part: str, key: str) -> dict[str, Any]:
        value, version = self.rows.get((table, part, key), (None, 0))
        row = {"table": table, "part": part, "key": key, "row_version": version}
        if value is None:
            return {**row, "removed": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def _answer(self, content: dict[str, Any]) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return {**content, "row_version": self.version, "current_time_ms": now_ms}


def _name(row: dict[str, Any]) -> tuple[str, str, str]:
    return (row["table"], row.get("part", ""), row["key"])
