"""Helpers that the HTTP servers of the stand-ins share."""

import asyncio
import json
import signal
import time
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

import uvloop
from aiohttp import web

HOST = "127.0.0.1"
BACKLOG = 1024
SHUTDOWN_TIMEOUT_S = 0.1
MAX_BODY_BYTES = 8 * 1024 * 1024

Handler = Callable[[web.Request], Any]
ApplyValue = Callable[[Any], None]


class ControlError(ValueError):
    """A control value is invalid."""


def boot_time_s() -> float:
    """Return the seconds of CLOCK_BOOTTIME, which all processes of a machine share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def error_response(status: HTTPStatus, error: str, **details: Any) -> web.Response:
    """Return an error response in the JSON form that all stand-ins use."""
    return web.json_response({"error": error, **details}, status=status)


def abort_connection(req: web.Request) -> web.Response:
    """Abort the caller's connection without sending a response."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response()


async def async_json_object(req: web.Request) -> dict[str, Any]:
    """Return the body as a JSON object. Raises HTTPBadRequest."""
    try:
        body = await req.json()
    except (json.JSONDecodeError, UnicodeDecodeError) as exc:
        raise web.HTTPBadRequest(text="body is not JSON") from exc
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(text="body is not an object")
    return body


def attribute_setter(target: object, name: str, value_type: type) -> ApplyValue:
    """Return a function that checks a value's type and sets an attribute."""
    accepted_types = (int, float) if value_type is float else (value_type,)

    def apply(value: Any) -> None:
        is_unexpected_bool = isinstance(value, bool) and value_type is not bool
        if is_unexpected_bool or not isinstance(value, accepted_types):
            raise ControlError(f"{name} must be {value_type.__name__}")
        setattr(target, name, value_type(value))

    return apply


def control_handler(fields: Mapping[str, ApplyValue]) -> Handler:
    """Return the handler of `POST /_control`; a body with unknown keys is refused."""

    async def async_control(req: web.Request) -> web.Response:
        body = await async_json_object(req)
        unknown = sorted(set(body) - set(fields))
        if unknown:
            return error_response(HTTPStatus.BAD_REQUEST, "unknown_keys", keys=unknown)
        try:
            for key, value in body.items():
                fields[key](value)
        except ControlError as exc:
            return error_response(
                HTTPStatus.BAD_REQUEST, "invalid_value", reason=str(exc)
            )
        return web.json_response({})

    return async_control


def run_app(app: web.Application, port: int) -> None:
    """Serve until SIGTERM or SIGINT."""
    uvloop.run(_async_serve(app, port))


async def _async_serve(app: web.Application, port: int) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    try:
        await web.TCPSite(runner, HOST, port, backlog=BACKLOG).start()
        await stopping.wait()
    finally:
        await runner.cleanup()
