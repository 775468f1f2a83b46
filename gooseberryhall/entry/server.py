"""HTTP server for callers."""

import asyncio
import json
import logging
import secrets
from collections.abc import Callable, Coroutine
from typing import Any, cast

from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import PayloadTooLarge, SanicException

from ..config.models import GroupSpec
from ..const import EVIDENCE_MAX_AGE_S, MAX_BODY_BYTES, MAX_HEADER_BYTES
from ..core.clock import now_s
from ..core.listening import async_drain_accept_queue
from ..core.state import State
from ..exceptions import Executed
from ..requests.exceptions import RequestFailedError
from ..routing.specs import choose_spec, find_model_kind
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .auth import find_team
from .completions import async_buffered_chat, async_stream_chat, parse_chat
from .const import (
    ACCEPTED_CONNECTION_GRACE_S,
    DISCARD_LIMIT_BYTES,
    KEEP_ALIVE_TIMEOUT_S,
    LISTEN_BACKLOG,
    MODEL_PATH,
    REQUEST_ID_BYTES,
    REQUEST_TIMEOUT_S,
    RESPONSE_TIMEOUT_MARGIN_S,
)
from .errors import (
    close_after_response,
    error_response,
    internal_failure,
    node_stopping,
    sanic_failure,
)
from .frontend import Frontend
from .services import SERVICE_METHODS, service_handler

_LOGGER = logging.getLogger(__name__)

Handler = Callable[..., Coroutine[Any, Any, HTTPResponse | None]]


def create_app(frontend: Frontend) -> Sanic[Any, Any]:
    """Return the HTTP application for callers."""
    app: Sanic[Any, Any] = Sanic(
        f"entry-{frontend.ctx.incarnation}", configure_logging=False, dumps=json.dumps
    )
    app.config.update(_server_limits(frontend))
    app.add_route(
        _wrap_handler(frontend, _chat(frontend)),
        MODEL_PATH,
        methods=["POST"],
        name="chat",
    )
    app.add_route(
        _wrap_handler(frontend, _models(frontend)),
        "/v1/models",
        methods=["GET"],
        name="models",
    )
    app.add_route(
        _wrap_handler(frontend, service_handler(frontend)),
        "/services/<service:str>/<path:path>",
        methods=SERVICE_METHODS,
        name="services",
    )
    app.add_route(_ready(frontend), "/ready", methods=["GET"], name="ready")
    app.error_handler.add(Exception, _on_error)
    return app


async def async_start_server(frontend: Frontend) -> None:
    """Start the server for callers; it stops when the program ends."""
    settings = frontend.ctx.settings.entry
    app = create_app(frontend)
    server: Any = await app.create_server(
        host=settings.host,
        port=settings.port,
        backlog=LISTEN_BACKLOG,
        access_log=False,
        return_asyncio_server=True,
    )
    await server.startup()
    await server.before_start()
    await server.after_start()
    await server.start_serving()
    frontend.ctx.stack.push_async_callback(_async_stop, server)


async def _async_stop(server: Any) -> None:
    """Stop accepting connections, then serve those that were just accepted."""
    await async_drain_accept_queue(server.server.sockets)
    server.close()
    await asyncio.sleep(ACCEPTED_CONNECTION_GRACE_S)
    for connection in list(server.connections):
        connection.close_if_idle()


def is_ready(frontend: Frontend, state: State) -> bool:
    """Return whether the load balancer should send requests to this node."""
    if frontend.stopping or state.config.revision == 0:
        return False
    if not state.groups.groups:
        return True
    # Without fresh evidence from a control process this node would refuse model
    # requests that other nodes can serve.
    oldest_s = now_s() - EVIDENCE_MAX_AGE_S
    return any(
        item.observed_at_s >= oldest_s for item in state.membership.evidence.values()
    )


def _server_limits(frontend: Frontend) -> dict[str, int]:
    settings = frontend.ctx.settings.entry
    longest_s = max(settings.drain_limit_s, settings.request_limit_s)
    response_s = int(longest_s) + RESPONSE_TIMEOUT_MARGIN_S
    return {
        "REQUEST_MAX_SIZE": MAX_BODY_BYTES,
        "REQUEST_MAX_HEADER_SIZE": MAX_HEADER_BYTES,
        "REQUEST_TIMEOUT": REQUEST_TIMEOUT_S,
        "RESPONSE_TIMEOUT": response_s,
        "KEEP_ALIVE_TIMEOUT": KEEP_ALIVE_TIMEOUT_S,
        # Sanic's touch-up would rewrite its methods for the whole process.
        "TOUCHUP": False,
    }


def _wrap_handler(frontend: Frontend, handler: Handler) -> Handler:
    """Wrap a handler to count its requests and convert errors to responses."""

    async def async_handle(http: Request, **path: str) -> HTTPResponse | None:
        request_id = f"req-{secrets.token_hex(REQUEST_ID_BYTES)}"
        frontend.begin_request()
        try:
            if frontend.stopping:
                # A caller would lose a request that it sends on a closing connection.
                close_after_response(http)
            if not frontend.accepting:
                raise node_stopping()
            return await handler(http, **path)
        except RequestFailedError as exc:
            return error_response(exc.failure, request_id)
        finally:
            if frontend.stopping:
                close_after_response(http)
            frontend.end_request()

    return async_handle


def _chat(frontend: Frontend) -> Handler:
    async def async_chat(http: Request) -> HTTPResponse | None:
        config = frontend.ctx.runtime.state.config
        team = find_team(config, http.headers.get("authorization"))
        limit_s = frontend.ctx.settings.entry.request_limit_s
        chat = parse_chat(config, team, http.headers, http.body, limit_s)
        if not chat.stream:
            return await async_buffered_chat(frontend, chat)
        await async_stream_chat(frontend, http, chat)
        return None

    return async_chat


def _models(frontend: Frontend) -> Handler:
    async def async_models(http: Request) -> HTTPResponse:
        config = frontend.ctx.runtime.state.config
        team = find_team(config, http.headers.get("authorization"))
        names = sorted({spec.model for spec in config.of_type(GroupSpec)})
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "gooseberryhall"}
            for name in names
            if choose_spec(
                config, team, find_model_kind(config, name, "POST", MODEL_PATH), name
            )
        ]
        body = json.dumps({"object": "list", "data": data})
        return HTTPResponse(body, 200, content_type="application/json")

    return async_models


def _ready(frontend: Frontend) -> Handler:
    async def async_ready(_http: Request) -> HTTPResponse:
        ready = is_ready(frontend, frontend.ctx.runtime.state)
        body = json.dumps({"ready": ready})
        status = 200 if ready else 503
        return HTTPResponse(body, status, content_type="application/json")

    return async_ready


async def _on_error(http: Request, exc: Exception) -> HTTPResponse:
    """Return the response to a request that Sanic refused or a handler failed."""
    request_id = f"req-{secrets.token_hex(REQUEST_ID_BYTES)}"
    if isinstance(exc, PayloadTooLarge):
        _discard_body(http)
    if isinstance(exc, SanicException):
        return error_response(sanic_failure(exc), request_id)
    log_event(
        _LOGGER,
        LogEvent.HANDLER_FAILED,
        "request handler failed",
        level=logging.ERROR,
        request_id=request_id,
        error=type(exc).__name__,
    )
    return error_response(internal_failure(Executed.UNKNOWN), request_id)


def _discard_body(http: Request) -> None:
    """Make Sanic read the rest of the body after the response.

    Closing a connection with unread bytes resets it, and the caller would lose the
    response.
    """
    if http.stream is None:
        return
    connection = cast("Any", http.stream)
    connection.request_max_size = DISCARD_LIMIT_BYTES
    connection.protocol.request_max_size = DISCARD_LIMIT_BYTES
