"""Stand-in for the platform: table, object store, weight store and VM list."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Any

import click
from aiohttp import web

from .http import (
    MAX_BODY_BYTES,
    ControlError,
    abort_connection,
    attribute_setter,
    boot_time_s,
    control_handler,
    error_response,
    run_app,
)
from .table import TableStore, add_table_routes
from .vms import VmList, parse_vms
from .weights import WeightStore, add_weight_routes

TABLE_PATHS = ("/txn", "/row", "/rows")
MS_PER_S = 1000
DEFAULT_RATE_BYTES_PER_S = 64 * 1024 * 1024
DEFAULT_WEIGHT_BYTES = 1024 * 1024
DEFAULT_MAX_READERS = 16

NextHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(slots=True)
class PlatformFaults:
    """Injected faults; `running` is cleared while the table hangs."""

    down: bool = False
    delay_ms: float = 0
    lose_answers: int = 0
    objects_down: bool = False
    vms_down: bool = False
    running: asyncio.Event = field(default_factory=asyncio.Event)

    def set_hang(self, value: Any) -> None:
        """Start or end a hang of the table; waiting requests continue when it ends."""
        if not isinstance(value, bool):
            raise ControlError("hang must be bool")
        if value:
            self.running.clear()
        else:
            self.running.set()


@dataclass(slots=True)
class Platform:
    """State of the platform stand-in."""

    table: TableStore
    weights: WeightStore
    vms: VmList
    objects: dict[str, bytes] = field(default_factory=dict)
    faults: PlatformFaults = field(default_factory=PlatformFaults)


def create_app(platform: Platform) -> web.Application:
    """Return the web application of the platform."""
    platform.faults.running.set()
    app = web.Application(
        client_max_size=MAX_BODY_BYTES,
        middlewares=[_table_fault_middleware(platform.faults)],
    )
    add_table_routes(app, platform.table)
    add_weight_routes(app, platform.weights)
    _add_object_routes(app, platform)
    _add_vm_routes(app, platform)
    _add_control_routes(app, platform)
    return app


def _table_fault_middleware(faults: PlatformFaults) -> Any:
    @web.middleware
    async def async_middleware(
        req: web.Request, handler: NextHandler
    ) -> web.StreamResponse:
        if req.path not in TABLE_PATHS:
            return await handler(req)
        await faults.running.wait()
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / MS_PER_S)
        if faults.down:
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "table_down")
        response = await handler(req)
        if req.path == "/txn" and faults.lose_answers > 0:
            faults.lose_answers -= 1
            return abort_connection(req)
        return response

    return async_middleware


def _add_object_routes(app: web.Application, platform: Platform) -> None:
    async def async_object(req: web.Request) -> web.Response:
        if platform.faults.objects_down:
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "objects_down")
        key = req.match_info["key"]
        if req.method == "PUT":
            platform.objects[key] = await req.read()
            return web.Response(status=HTTPStatus.CREATED)
        if req.method == "DELETE":
            platform.objects.pop(key, None)
            return web.Response(status=HTTPStatus.NO_CONTENT)
        data = platform.objects.get(key)
        if data is None:
            return error_response(HTTPStatus.NOT_FOUND, "not_found")
        return web.Response(body=data)

    for method in ("GET", "PUT", "DELETE"):
        app.router.add_route(method, "/objects/{key:.+}", async_object)


def _add_vm_routes(app: web.Application, platform: Platform) -> None:
    async def async_vms(_req: web.Request) -> web.Response:
        if platform.faults.vms_down:
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "vms_down")
        return web.json_response({"vms": platform.vms.visible(boot_time_s())})

    app.router.add_get("/vms", async_vms)


def _add_control_routes(app: web.Application, platform: Platform) -> None:
    faults, vms = platform.faults, platform.vms

    async def async_records(_req: web.Request) -> web.Response:
        table, weights = platform.table, platform.weights
        return web.json_response(
            {
                "reads": table.reads,
                "writes": table.writes,
                "conflicts": table.conflicts,
                "revision": table.revision,
                "objects": len(platform.objects),
                "weight_loads": weights.finished,
                "weight_refusals": weights.refused,
                "weight_readers_most": weights.most_readers,
            }
        )

    fields = {
        "down": attribute_setter(faults, "down", bool),
        "hang": faults.set_hang,
        "delay_ms": attribute_setter(faults, "delay_ms", float),
        "lose_answers": attribute_setter(faults, "lose_answers", int),
        "objects_down": attribute_setter(faults, "objects_down", bool),
        "vms_down": attribute_setter(faults, "vms_down", bool),
        "vm_state": lambda value: vms.set_states(value, boot_time_s()),
        "remove_vm": lambda value: vms.remove(value, boot_time_s()),
    }
    app.router.add_post("/_control", control_handler(fields))
    app.router.add_get("/_records", async_records)


@click.command()
@click.option("--port", type=int, required=True)
@click.option(
    "--vms", "file", type=click.Path(path_type=Path, exists=True), required=True
)
@click.option("--vm-list-lag-s", type=float, default=2.0)
@click.option("--weight-rate-bytes-per-s", type=float, default=DEFAULT_RATE_BYTES_PER_S)
@click.option("--weight-max-readers", type=int, default=DEFAULT_MAX_READERS)
@click.option("--weight-bytes", type=int, default=DEFAULT_WEIGHT_BYTES)
def main(port: int, file: Path, vm_list_lag_s: float, **weights: Any) -> None:
    """Run the platform stand-in."""
    vms = VmList(parse_vms(json.loads(file.read_text())["vms"]), vm_list_lag_s)
    store = WeightStore(
        rate_bytes_per_s=weights["weight_rate_bytes_per_s"],
        max_readers=weights["weight_max_readers"],
        default_bytes=weights["weight_bytes"],
    )
    run_app(create_app(Platform(TableStore(), store, vms)), port)


if __name__ == "__main__":
    main()
