"""The sanic application of the administration API."""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from pydantic import BaseModel
from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import SanicException
from sanic.response import raw

from ..adapters.exceptions import TableUnavailableError
from ..config.exceptions import ConfigUnreadableError
from ..const import MAX_HEADER_BYTES
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .auth import Role, authenticate, require_role
from .const import (
    KEEP_ALIVE_S,
    MAX_EDIT_BODY_BYTES,
    REQUEST_TIMEOUT_S,
    RESPONSE_TIMEOUT_S,
    SHUTDOWN_LIMIT_S,
    TABLE_RETRY_AFTER_S,
)
from .exceptions import (
    AdminError,
    BodyTooLargeError,
    MalformedRequestError,
    TableDownError,
    UnknownObjectError,
)
from .models import ErrorResponse, ErrorView
from .openapi import OPENAPI_PATH, openapi_text
from .routes import ROUTES, Route
from .services import AdminServices

_LOGGER = logging.getLogger(__name__)

APP_NAME = "gooseberryhall-admin"
_JSON = "application/json"

AdminApp = Sanic[Any, Any]
Stop = Callable[[], Awaitable[None]]
Handler = Callable[..., Coroutine[Any, Any, HTTPResponse]]


def create_app(services: AdminServices, name: str = APP_NAME) -> AdminApp:
    """Return the application; `name` must be unique in the process."""
    app: AdminApp = Sanic(name, configure_logging=False)
    app.config.MOTD = False
    app.config.ACCESS_LOG = False
    # Touchup rewrites methods of sanic, which fails for a second app in a process.
    app.config.TOUCHUP = False
    app.config.REQUEST_MAX_SIZE = MAX_EDIT_BODY_BYTES
    app.config.REQUEST_MAX_HEADER_SIZE = MAX_HEADER_BYTES
    app.config.REQUEST_TIMEOUT = REQUEST_TIMEOUT_S
    app.config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_S
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_S
    for index, route in enumerate(ROUTES):
        app.add_route(
            _create_handler(services, route),
            route.path,
            methods=[route.method],
            name=f"route_{index}",
        )
    app.add_route(_create_openapi_handler(services), OPENAPI_PATH, name="openapi")
    app.error_handler.add(Exception, _respond_to_exception)
    return app


async def async_serve(
    app: AdminApp, sock: socket.socket
) -> Callable[[], Awaitable[None]]:
    """Serve on a bound socket and return a function that stops the server."""
    server: Any = await app.create_server(sock=sock, return_asyncio_server=True)
    await server.startup()
    await server.before_start()
    await server.after_start()

    async def async_stop() -> None:
        await _async_stop(server)

    return async_stop


async def _async_stop(server: Any) -> None:
    """Stop accepting, wait for requests in flight, then close all connections."""
    await server.before_stop()
    closed = server.close()
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + SHUTDOWN_LIMIT_S
    while server.connections and loop.time() < deadline_s:
        for connection in list(server.connections):
            connection.close_if_idle()
        await asyncio.sleep(0.02)
    for connection in list(server.connections):
        connection.abort()
    if closed is not None:
        await closed
    await server.after_stop()


def _create_handler(services: AdminServices, route: Route) -> Handler:
    async def async_handle(req: Request, **_parameters: str) -> HTTPResponse:
        actor = authenticate(services.settings.admin, req.headers.get("Authorization"))
        require_role(actor, route.role)
        response = await route.handler(services, actor, req)
        return _respond(response.status, response.body)

    return async_handle


def _create_openapi_handler(services: AdminServices) -> Handler:
    text = openapi_text()

    async def async_handle(req: Request) -> HTTPResponse:
        actor = authenticate(services.settings.admin, req.headers.get("Authorization"))
        require_role(actor, Role.READER)
        return raw(text.encode(), content_type=_JSON)

    return async_handle


def _respond_to_exception(req: Request, exc: Exception) -> HTTPResponse:
    error = _to_admin_error(exc)
    if type(error) is AdminError:
        log_event(
            _LOGGER,
            LogEvent.ADMIN_REQUEST_FAILED,
            "administration request failed",
            level=logging.ERROR,
            path=req.path,
            error=repr(exc),
        )
    view = ErrorView(
        code=error.code,
        message=error.message,
        field=error.field or None,
        fix=error.fix or None,
    )
    headers = {"Retry-After": str(TABLE_RETRY_AFTER_S)} if error.status == 503 else {}  # noqa: PLR2004
    if error.status == 401:  # noqa: PLR2004
        headers["WWW-Authenticate"] = "Bearer"
    return _respond(error.status, ErrorResponse(error=view), headers)


def _to_admin_error(exc: Exception) -> AdminError:
    match exc:
        case AdminError():
            return exc
        case TableUnavailableError():
            return TableDownError("the table does not answer", fix="retry later")
        case ConfigUnreadableError():
            return TableDownError(str(exc), fix="repair the named row")
        case SanicException(status_code=404):
            return UnknownObjectError(
                "no such path", field="path", fix=f"see {OPENAPI_PATH}"
            )
        case SanicException(status_code=413):
            return BodyTooLargeError(
                f"the body is larger than {MAX_EDIT_BODY_BYTES} bytes",
                field="body",
                fix="split the edit",
            )
        case SanicException(status_code=status) if status < 500:  # noqa: PLR2004
            error = MalformedRequestError(str(exc))
            error.status = status
            return error
    return AdminError("internal error", fix="see the log of the admin program")


def _respond(
    status: int, body: BaseModel, headers: dict[str, str] | None = None
) -> HTTPResponse:
    content = body.model_dump_json().encode()
    return raw(content, status=status, headers=headers, content_type=_JSON)
