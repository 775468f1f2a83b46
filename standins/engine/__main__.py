"""Entry point of the engine stand-in, which runs once per VM."""

import asyncio
import contextlib
import os
import time
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import asdict
from http import HTTPStatus
from typing import Any

import click
from aiohttp import web

from ..http import (
    MAX_BODY_BYTES,
    ApplyValue,
    ControlError,
    async_json_object,
    attribute_setter,
    boot_time_s,
    control_handler,
    error_response,
    run_app,
)
from .chat import add_chat_routes
from .group import GroupRunner, add_order_routes
from .prefix_cache import PrefixCache
from .state import Engine, EngineOptions, Faults
from .streams import StreamPool

LOAD_SAMPLE_PERIOD_S = 0.1
# Time to send the response to a control request before the process pauses or exits.
RESPONSE_GRACE_S = 0.05
# Numbers of active and queued streams.
Load = tuple[int, int]


def create_app(engine: Engine, cache: PrefixCache) -> web.Application:
    """Return the web application of an engine."""
    pool = StreamPool(engine.options.slots, engine.records)
    loads: deque[tuple[float, Load]] = deque()
    app = web.Application(client_max_size=MAX_BODY_BYTES)

    async def async_background(app: web.Application) -> AsyncIterator[None]:
        await runner.async_start()
        tasks = [
            asyncio.create_task(pool.async_sweep()),
            asyncio.create_task(_async_sample_load(engine, pool, loads)),
        ]
        yield
        for task in (*tasks, *pool.active.values()):
            task.cancel()
        await runner.async_stop()

    runner = GroupRunner(engine, pool, cache)
    app.cleanup_ctx.append(async_background)
    add_order_routes(app, runner)
    add_chat_routes(app, engine, pool, cache)
    _add_health_route(app, engine, pool, loads)
    _add_cache_routes(app, engine, cache)
    _add_fault_routes(app, engine, pool, cache)
    return app


async def _async_sample_load(
    engine: Engine, pool: StreamPool, loads: deque[tuple[float, Load]]
) -> None:
    lag_s = engine.options.load_lag_s
    while lag_s > 0:
        now_s = boot_time_s()
        loads.append((now_s, (len(pool.active), pool.queued)))
        while len(loads) > 1 and loads[1][0] <= now_s - lag_s:
            loads.popleft()
        await asyncio.sleep(LOAD_SAMPLE_PERIOD_S)


def _add_health_route(
    app: web.Application,
    engine: Engine,
    pool: StreamPool,
    loads: deque[tuple[float, Load]],
) -> None:
    async def async_health(_req: web.Request) -> web.Response:
        active, queued = loads[0][1] if loads else (len(pool.active), pool.queued)
        return web.json_response(
            {
                "vm": engine.options.vm,
                "boot_id": engine.boot_id,
                "group": engine.placement.group,
                "generation": engine.placement.generation,
                "state": engine.state(),
                "leaving": engine.faults.leaving,
                "active": active,
                "queued": queued,
                "load_fraction": round(engine.load_fraction, 3),
                "fence": engine.fence,
            }
        )

    app.router.add_get("/health", async_health)


def _add_cache_routes(app: web.Application, engine: Engine, cache: PrefixCache) -> None:
    async def async_events(req: web.Request) -> web.Response:
        after = req.query.get("after", "0")
        if not after.isdigit():
            return error_response(HTTPStatus.BAD_REQUEST, "invalid_after")
        until_s = boot_time_s() - engine.options.event_lag_s
        events = cache.events_after(int(after), until_s)
        return web.json_response({"boot_id": engine.boot_id, "events": events})

    async def async_export(_req: web.Request) -> web.Response:
        return web.json_response({"blocks": list(cache.blocks)})

    async def async_import(req: web.Request) -> web.Response:
        blocks = (await async_json_object(req)).get("blocks")
        if not isinstance(blocks, list):
            return error_response(HTTPStatus.BAD_REQUEST, "malformed_blocks")
        cache.store([str(block) for block in blocks], boot_time_s())
        return web.json_response({"blocks": len(cache.blocks)})

    app.router.add_get("/cache/events", async_events)
    app.router.add_post("/kv/export", async_export)
    app.router.add_post("/kv/import", async_import)


def _add_fault_routes(
    app: web.Application, engine: Engine, pool: StreamPool, cache: PrefixCache
) -> None:
    async def async_records(_req: web.Request) -> web.Response:
        records = asdict(engine.records)
        lists = {
            name: list(records.pop(name)) for name in ("runs", "orders", "refusals")
        }
        return web.json_response(
            {
                "vm": engine.options.vm,
                "boot_id": engine.boot_id,
                **records,
                **lists,
                "request_ids": [run["request_id"] for run in lists["runs"]],
                "cached_blocks": len(cache.blocks),
            }
        )

    faults = engine.faults
    handlers: dict[str, ApplyValue] = {
        "pause_s": _pause,
        "exit": _exit,
        "slow_factor": attribute_setter(pool, "slow_factor", float),
        "leaving": attribute_setter(faults, "leaving", bool),
        "honour_fence": attribute_setter(faults, "honour_fence", bool),
        "drop_events": attribute_setter(cache, "drop_events", int),
        "clear_cache": lambda _value: cache.clear(boot_time_s()),
    }
    app.router.add_post("/_control", control_handler(handlers))
    app.router.add_get("/_records", async_records)


def _pause(value: Any) -> None:
    """Block the whole process for some seconds while its connections stay open."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise ControlError("pause_s must be a number of seconds")
    loop = asyncio.get_running_loop()
    loop.call_later(RESPONSE_GRACE_S, time.sleep, float(value))


def _exit(value: Any) -> None:
    if value is not True:
        raise ControlError("exit must be true")
    asyncio.get_running_loop().call_later(RESPONSE_GRACE_S, os._exit, 0)


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--vm", required=True)
@click.option("--platform", required=True, help="Address of the weight store.")
@click.option("--honour-fence/--ignore-fence", default=True)
@click.option("--order-token", default=None)
@click.option("--ignore-group-header", is_flag=True)
@click.option("--crash-marker", is_flag=True)
@click.option("--token-ms", type=float, default=5.0)
@click.option("--first-token-ms", type=float, default=20.0)
@click.option("--block-ms", type=float, default=2.0)
@click.option("--slots", type=int, default=32)
@click.option("--prefix-cache-blocks", type=int, default=512)
@click.option("--weight-bytes", type=int, default=1024 * 1024)
@click.option("--event-lag-s", type=float, default=0.5)
@click.option("--load-lag-s", type=float, default=0.0)
def main(
    port: int, prefix_cache_blocks: int, honour_fence: bool, **options: Any
) -> None:
    """Run the engine stand-in of one VM."""
    engine = Engine(EngineOptions(**options), Faults(honour_fence))
    with contextlib.suppress(KeyboardInterrupt):
        run_app(create_app(engine, PrefixCache(prefix_cache_blocks)), port)


if __name__ == "__main__":
    main()
