"""Orders, weight loading and the leader's monitoring of members."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import aiohttp
from aiohttp import web

from ..http import async_json_object, boot_time_s, error_response
from .prefix_cache import PrefixCache
from .state import Engine, EngineState, Placement
from .streams import StreamPool

MEMBER_POLL_PERIOD_S = 0.2
MEMBER_POLL_TIMEOUT_S = 0.5
LOAD_RETRY_S = 0.2
LOAD_CHUNK_BYTES = 256 * 1024
ORDER_KINDS = ("form", "release", "load_adapter", "role")


@dataclass(slots=True)
class GroupRunner:
    """Runs the tasks of the group that an engine belongs to."""

    engine: Engine
    pool: StreamPool
    cache: PrefixCache
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the client session, which exists after `async_start`."""
        if self._session is None:
            raise RuntimeError("the runner is not started")
        return self._session

    async def async_start(self) -> None:
        """Open the client session."""
        self._session = aiohttp.ClientSession()

    async def async_stop(self) -> None:
        """Cancel the tasks and close the client session."""
        for task in self.tasks:
            task.cancel()
        await self.session.close()

    def async_form(self, placement: Placement) -> None:
        """Start to run a group unless the engine already runs it."""
        if placement == self.engine.placement:
            return
        self._async_switch_group(placement)
        self.tasks.append(asyncio.create_task(self._async_load()))
        if placement.is_leader:
            self.tasks.extend(
                asyncio.create_task(self._async_monitor_member(vm, address))
                for vm, address in placement.other_members
            )

    def async_release(self) -> None:
        """Leave the group."""
        self._async_switch_group(Placement())

    def _async_switch_group(self, placement: Placement) -> None:
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()
        self.pool.break_all()
        self.cache.clear(boot_time_s())
        self.engine.set_placement(placement)

    async def _async_load(self) -> None:
        """Load the weights unless they are still in memory."""
        engine = self.engine
        weights = (engine.placement.model, engine.placement.version)
        if engine.loaded_weights == weights:
            engine.load_fraction = 1.0
            return
        engine.loaded_weights = ("", "")
        while True:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                if await self._async_load_once():
                    engine.loaded_weights = weights
                    engine.load_fraction = 1.0
                    return
            await asyncio.sleep(LOAD_RETRY_S)

    async def _async_load_once(self) -> bool:
        engine, options = self.engine, self.engine.options
        placement = engine.placement
        url = f"{options.platform}/weights/{placement.model}/{placement.version}"
        params = {"vm": options.vm, "bytes": str(options.weight_bytes)}
        async with self.session.get(url, params=params) as response:
            if response.status != HTTPStatus.OK:
                return False
            loaded_bytes = 0
            async for chunk in response.content.iter_chunked(LOAD_CHUNK_BYTES):
                loaded_bytes += len(chunk)
                engine.load_fraction = min(
                    loaded_bytes / max(options.weight_bytes, 1), 0.99
                )
        return True

    async def _async_monitor_member(self, vm: str, address: str) -> None:
        """Poll a member; it joins when it serves, and its loss breaks all streams."""
        while True:
            health = await self._async_health(address)
            self._update_member(vm, health)
            await asyncio.sleep(MEMBER_POLL_PERIOD_S)

    def _update_member(self, vm: str, health: dict[str, Any] | None) -> None:
        engine = self.engine
        joined = engine.joined.get(vm)
        is_available = (
            health is not None
            and health["group"] == engine.placement.group
            and health["generation"] == engine.placement.generation
            and health["state"] == EngineState.SERVING
            and joined in (None, health["boot_id"])
        )
        if is_available and health is not None:
            engine.joined[vm] = health["boot_id"]
            engine.lost.discard(vm)
        elif joined is not None and vm not in engine.lost:
            engine.lost.add(vm)
            self.pool.break_all()

    async def _async_health(self, address: str) -> dict[str, Any] | None:
        """Return a member's health, or None; retry a timeout on a new connection."""
        try:
            return await self._async_read_health(self.session, address)
        except TimeoutError:
            pass
        except (aiohttp.ClientError, OSError, ValueError):
            return None
        try:
            async with aiohttp.ClientSession() as new_session:
                return await self._async_read_health(new_session, address)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    async def _async_read_health(
        self, session: aiohttp.ClientSession, address: str
    ) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(total=MEMBER_POLL_TIMEOUT_S)
        async with session.get(f"{address}/health", timeout=timeout) as response:
            health: dict[str, Any] = await response.json()
            return health


def add_order_routes(app: web.Application, runner: GroupRunner) -> None:
    """Add the route for orders."""
    engine = runner.engine

    async def async_order(req: web.Request) -> web.Response:
        body = await async_json_object(req)
        token = engine.options.order_token
        if token and req.headers.get("Authorization") != f"Bearer {token}":
            engine.records.record_order(body, "wrong_token")
            return error_response(HTTPStatus.UNAUTHORIZED, "wrong_token")
        try:
            fence, placement = _parse_order(body)
        except (KeyError, TypeError, ValueError) as exc:
            engine.records.record_order(body, "malformed")
            return error_response(
                HTTPStatus.BAD_REQUEST, "malformed_order", reason=repr(exc)
            )
        if engine.faults.honour_fence and fence < engine.fence:
            engine.records.record_order(body, "stale_fence")
            return error_response(
                HTTPStatus.CONFLICT, "stale_fence", fence=engine.fence
            )
        engine.fence = max(engine.fence, fence)
        engine.records.record_order(body, "accepted")
        if body["order"] == "form":
            runner.async_form(placement)
        elif body["order"] == "release":
            runner.async_release()
        return web.json_response(
            {"vm": engine.options.vm, "boot_id": engine.boot_id, "fence": engine.fence}
        )

    app.router.add_post("/orders", async_order)


def _parse_order(body: dict[str, Any]) -> tuple[int, Placement]:
    if body["order"] not in ORDER_KINDS:
        raise ValueError(f"unknown order {body['order']}")
    fence = int(body["fence"])
    if body["order"] != "form":
        return fence, Placement()
    members = tuple((str(m["vm"]), str(m["address"])) for m in body["members"])
    placement = Placement(
        group=str(body["group"]),
        generation=int(body["generation"]),
        rank=int(body["rank"]),
        members=members,
        model=str(body["model"]),
        version=str(body["version"]),
        adapters=tuple(str(name) for name in body.get("adapters", ())),
    )
    if not placement.group or not 0 <= placement.rank < len(members):
        raise ValueError("group is empty or rank is outside the members")
    return fence, placement
