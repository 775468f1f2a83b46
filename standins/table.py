"""The table of the platform stand-in."""

import bisect
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from aiohttp import web

from .http import async_json_object

ABSENT = 0
DEFAULT_PAGE_ROWS = 500
MAX_PAGE_ROWS = 1000


@dataclass(slots=True)
class TableStore:
    """Rows, each with the revision of its last write as its version."""

    revision: int = 0
    rows: dict[str, tuple[int, dict[str, Any]]] = field(default_factory=dict)
    keys: list[str] = field(default_factory=list)
    reads: int = 0
    writes: int = 0
    conflicts: int = 0

    def commit(
        self,
        checks: dict[str, int],
        puts: dict[str, dict[str, Any]],
        deletes: list[str],
    ) -> list[dict[str, Any]]:
        """Apply a transaction, or change nothing and return the conflicting rows."""
        conflicts = [
            self.row_json(key)
            for key, version in checks.items()
            if self.rows.get(key, (ABSENT, None))[0] != version
        ]
        if conflicts:
            self.conflicts += 1
            return conflicts
        self.writes += 1
        self.revision += 1
        for key, value in puts.items():
            if key not in self.rows:
                bisect.insort(self.keys, key)
            self.rows[key] = (self.revision, value)
        for key in deletes:
            if self.rows.pop(key, None) is not None:
                self.keys.pop(bisect.bisect_left(self.keys, key))
        return []

    def row_json(self, key: str) -> dict[str, Any]:
        """Return a row in its JSON form; an absent row has version 0."""
        version, value = self.rows.get(key, (ABSENT, None))
        return {"key": key, "version": version, "value": value}

    def page(self, prefix: str, after: str, limit: int) -> dict[str, Any]:
        """Return the rows with a prefix whose keys are greater than `after`."""
        start = bisect.bisect_left(self.keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self.keys, after))
        found = self.keys[start : start + limit + 1]
        matching = [key for key in found if key.startswith(prefix)]
        rows = [self.row_json(key) for key in matching[:limit]]
        more = len(matching) > limit
        return {"rows": rows, "revision": self.revision, "more": more}


def add_table_routes(app: web.Application, store: TableStore) -> None:
    """Add the routes of the table."""

    async def async_txn(req: web.Request) -> web.Response:
        body = await async_json_object(req)
        try:
            checks = {str(item["key"]): int(item["version"]) for item in body["checks"]}
            puts = {str(item["key"]): dict(item["value"]) for item in body["puts"]}
            deletes = [str(key) for key in body["deletes"]]
            str(body["token"])
        except (KeyError, TypeError, ValueError) as exc:
            raise web.HTTPBadRequest(text="malformed transaction") from exc
        conflicts = store.commit(checks, puts, deletes)
        if conflicts:
            return web.json_response(
                {"conflicts": conflicts}, status=HTTPStatus.CONFLICT
            )
        return web.json_response({"revision": store.revision})

    async def async_row(req: web.Request) -> web.Response:
        store.reads += 1
        row = store.row_json(req.query.get("key", ""))
        is_absent = row["version"] == ABSENT
        return web.json_response(
            row, status=HTTPStatus.NOT_FOUND if is_absent else HTTPStatus.OK
        )

    async def async_rows(req: web.Request) -> web.Response:
        store.reads += 1
        limit = int(req.query.get("limit", DEFAULT_PAGE_ROWS))
        limit = min(max(limit, 1), MAX_PAGE_ROWS)
        prefix, after = req.query.get("prefix", ""), req.query.get("after", "")
        return web.json_response(store.page(prefix, after, limit))

    app.router.add_post("/txn", async_txn)
    app.router.add_get("/row", async_row)
    app.router.add_get("/rows", async_rows)
