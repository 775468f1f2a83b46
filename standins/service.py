"""Stand-in for a plain service that controls silo fans and collects dues."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import click
from aiohttp import web

from .http import (
    MAX_BODY_BYTES,
    ControlError,
    Handler,
    abort_connection,
    async_json_object,
    attribute_setter,
    boot_time_s,
    control_handler,
    error_response,
    run_app,
)

MS_PER_S = 1000
MAX_RECORDS = 50_000
FAN_STATES = {"start": "running", "stop": "stopped"}


@dataclass(slots=True)
class Service:
    """Fans, balances, faults and a record of every run.

    Commands are not deduplicated: a command that arrives twice runs twice. The next
    `lose_answers` requests run and get no response. Requests that arrive during a
    hang run when it ends. Responses are padded with `pad_bytes` bytes.
    """

    name: str
    down: bool = False
    delay_ms: float = 0
    lose_answers: int = 0
    pad_bytes: int = 0
    fans: dict[str, str] = field(default_factory=dict)
    balances: dict[str, int] = field(default_factory=dict)
    runs: deque[dict[str, Any]] = field(
        default_factory=lambda: deque(maxlen=MAX_RECORDS)
    )
    running: asyncio.Event = field(default_factory=asyncio.Event)

    def set_hang(self, value: Any) -> None:
        """Start or end a hang; requests wait until it ends."""
        if not isinstance(value, bool):
            raise ControlError("hang must be bool")
        if value:
            self.running.clear()
        else:
            self.running.set()

    def record(self, req: web.Request) -> int:
        """Record a run and return its number."""
        self.runs.append(
            {
                "run": len(self.runs) + 1,
                "method": req.method,
                "path": req.path,
                "request_id": req.headers.get("X-Request-Id"),
                "idempotency_key": req.headers.get("Idempotency-Key"),
                "at_s": boot_time_s(),
            }
        )
        return len(self.runs)


def create_app(service: Service) -> web.Application:
    """Return the web application of a plain service."""
    service.running.set()
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    _add_fan_routes(app, service)
    _add_collection_routes(app, service)
    _add_control_routes(app, service)
    return app


def _with_faults(service: Service, handler: Handler) -> Handler:
    async def async_handle(req: web.Request) -> web.Response:
        await service.running.wait()
        if service.delay_ms:
            await asyncio.sleep(service.delay_ms / MS_PER_S)
        if service.down:
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "down")
        content: dict[str, Any] = await handler(req)
        if service.lose_answers > 0:
            service.lose_answers -= 1
            return abort_connection(req)
        if service.pad_bytes:
            content["pad"] = "x" * service.pad_bytes
        request_id = req.headers.get("X-Request-Id", "")
        return web.json_response(
            {"server": service.name, **content}, headers={"X-Request-Id": request_id}
        )

    return async_handle


def _add_fan_routes(app: web.Application, service: Service) -> None:
    async def async_command(req: web.Request) -> dict[str, Any]:
        fan, command = req.match_info["id"], req.match_info["command"]
        run = service.record(req)
        service.fans[fan] = FAN_STATES[command]
        return {"fan": fan, "state": service.fans[fan], "run": run}

    async def async_status(req: web.Request) -> dict[str, Any]:
        fan = req.match_info["id"]
        run = service.record(req)
        return {"fan": fan, "state": service.fans.get(fan, "stopped"), "run": run}

    app.router.add_post(
        "/fans/{id}/{command:start|stop}", _with_faults(service, async_command)
    )
    app.router.add_get("/fans/{id}", _with_faults(service, async_status))


def _add_collection_routes(app: web.Application, service: Service) -> None:
    async def async_charge(req: web.Request) -> dict[str, Any]:
        body = await async_json_object(req)
        member, amount = str(body.get("member", "")), int(body.get("amount", 0))
        run = service.record(req)
        service.balances[member] = service.balances.get(member, 0) + amount
        return {"member": member, "balance": service.balances[member], "run": run}

    async def async_receipt(req: web.Request) -> dict[str, Any]:
        body = await async_json_object(req)
        run = service.record(req)
        return {"receipt": f"{service.name}-{run}", "for": body, "run": run}

    async def async_balance(req: web.Request) -> dict[str, Any]:
        member = req.match_info["id"]
        run = service.record(req)
        return {
            "member": member,
            "balance": service.balances.get(member, 0),
            "run": run,
        }

    app.router.add_post("/charges", _with_faults(service, async_charge))
    app.router.add_post("/receipts", _with_faults(service, async_receipt))
    app.router.add_get("/balances/{id}", _with_faults(service, async_balance))


def _add_control_routes(app: web.Application, service: Service) -> None:
    async def async_health(_req: web.Request) -> web.Response:
        if service.down:
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "down")
        return web.json_response({"server": service.name})

    async def async_records(_req: web.Request) -> web.Response:
        return web.json_response({"server": service.name, "runs": list(service.runs)})

    fields = {
        "down": attribute_setter(service, "down", bool),
        "hang": service.set_hang,
        "delay_ms": attribute_setter(service, "delay_ms", float),
        "lose_answers": attribute_setter(service, "lose_answers", int),
        "pad_bytes": attribute_setter(service, "pad_bytes", int),
    }
    app.router.add_get("/health", async_health)
    app.router.add_post("/_control", control_handler(fields))
    app.router.add_get("/_records", async_records)


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--name", required=True)
def main(port: int, name: str) -> None:
    """Run the plain service stand-in."""
    run_app(create_app(Service(name)), port)


if __name__ == "__main__":
    main()
