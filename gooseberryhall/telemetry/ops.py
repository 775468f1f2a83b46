"""HTTP application of the ops port: metrics, readiness, status and time line."""

import re
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aioprometheus import REGISTRY, render

from .timeline import Timeline

# Longer numbers cannot be sequence numbers, and converting them costs time.
_SEQUENCE_NUMBER = re.compile(r"[0-9]{1,18}")

StatusSource = Callable[[], dict[str, Any]]


class OpsState:
    """State that the ops port of a program reports."""

    def __init__(self, timeline: Timeline) -> None:
        """Create a state that is not ready and has an empty status."""
        self.timeline = timeline
        self.ready = False
        self.ready_check: Callable[[], bool] | None = None
        self._status_sources: dict[str, StatusSource] = {}
        self._collectors: list[Callable[[], None]] = []

    def add_status(self, name: str, source: StatusSource) -> None:
        """Report the result of `source` as `name` in the status."""
        self._status_sources[name] = source

    def add_collector(self, collector: Callable[[], None]) -> None:
        """Call `collector` before metrics are rendered."""
        self._collectors.append(collector)

    def is_ready(self) -> bool:
        """Return the result of `ready_check` if there is one, else `ready`."""
        return self.ready if self.ready_check is None else self.ready_check()

    def status(self) -> dict[str, Any]:
        """Return the status of all components by name."""
        return {name: source() for name, source in self._status_sources.items()}

    def collect(self) -> None:
        """Run the collectors, which update metrics."""
        for collector in self._collectors:
            collector()


def create_ops_app(ops: OpsState) -> web.Application:
    """Return the web application of the ops port."""

    async def async_metrics(req: web.Request) -> web.Response:
        ops.collect()
        content, headers = render(REGISTRY, req.headers.getall("Accept", []))
        return web.Response(body=content, headers=headers)

    async def async_ready(_req: web.Request) -> web.Response:
        ready = ops.is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def async_status(_req: web.Request) -> web.Response:
        return web.json_response(ops.status())

    async def async_timeline(req: web.Request) -> web.Response:
        after = req.query.get("after", "0")
        if _SEQUENCE_NUMBER.fullmatch(after) is None:
            error = {"code": "invalid_input", "message": "after must be a number"}
            return web.json_response({"error": error}, status=400)
        return web.json_response(ops.timeline.page(int(after)))

    app = web.Application()
    app.router.add_get("/metrics", async_metrics)
    app.router.add_get("/ready", async_ready)
    app.router.add_get("/status", async_status)
    app.router.add_get("/timeline", async_timeline)
    return app
