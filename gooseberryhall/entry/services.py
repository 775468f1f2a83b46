"""Handler of requests to plain services."""

import secrets
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

from sanic import HTTPResponse, Request

from ..adapters.exceptions import ExchangeBrokenError, NotConnectedError
from ..adapters.service import ServiceCall, ServiceResponse, async_call
from ..claims.exceptions import ClaimError, NotSentError, OutcomeUnknownError
from ..claims.models import CommandRequest, CommandResponse, validate_idempotency_key
from ..config.models import ObjectKind, ServiceServer, Team
from ..const import HEADER_IDEMPOTENCY_KEY, HEADER_REQUEST_ID
from ..core.clock import now_s
from ..exceptions import Executed
from ..requests.exceptions import RequestFailedError
from ..requests.models import Failure
from ..requests.service_events import (
    ServerFailed,
    ServiceRequestArrived,
    ServiceRequestEnded,
)
from ..routing.specs import find_service_kind
from .auth import find_team
from .const import REQUEST_ID_BYTES, SERVICE_ATTEMPT_TIMEOUT_S
from .deadline import parse_deadline
from .errors import invalid_request
from .frontend import Frontend

SERVICE_METHODS = ("GET", "POST", "PUT", "DELETE", "PATCH")

_FORWARDED_HEADERS = (
    "accept",
    "accept-encoding",
    "accept-language",
    "content-encoding",
    "content-type",
    "if-match",
    "if-none-match",
    HEADER_IDEMPOTENCY_KEY.lower(),
)
_RETRIED_STATUSES = frozenset(
    (
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)


@dataclass(frozen=True, slots=True)
class _ServiceRequest:
    """A valid request to a plain service."""

    request_id: str
    team: Team
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float

    def call(self) -> ServiceCall:
        """Return the call to a server, with the remaining time as its deadline."""
        deadline_ms = max(1, round((self.deadline_s - now_s()) * 1000))
        return ServiceCall(
            self.request_id,
            self.method,
            self.target,
            self.headers,
            self.body,
            deadline_ms,
        )


def service_handler(
    frontend: Frontend,
) -> Callable[[Request, str, str], Coroutine[Any, Any, HTTPResponse]]:
    """Return the handler of requests to plain services."""

    async def async_handle(http: Request, service: str, path: str) -> HTTPResponse:
        del path  # the raw URL preserves the caller's encoding
        request, idempotent, key = _parse_request(frontend, http, service)
        outcome = "failed"
        try:
            server = frontend.choose_server(
                ServiceRequestArrived(request.request_id, request.team.name, service)
            )
            if idempotent:
                response = await _async_run_idempotent(frontend, request, server)
            else:
                response = await _async_run_once(frontend, request, server, key)
            outcome = str(response.status)
        except RequestFailedError as exc:
            outcome = exc.failure.code
            raise
        finally:
            frontend.ctx.runtime.async_dispatch(ServiceRequestEnded(request.request_id))
            frontend.record_service_call(request.request_id, service, outcome)
        headers = [*response.headers, (HEADER_REQUEST_ID, request.request_id)]
        return _http_response(response, headers)

    return async_handle


def _parse_request(
    frontend: Frontend, http: Request, service: str
) -> tuple[_ServiceRequest, bool, str]:
    """Return the request, whether it is idempotent, and its idempotency key.

    Raises RequestFailedError if the request is invalid.
    """
    config = frontend.ctx.runtime.state.config
    team = find_team(config, http.headers.get("authorization"))
    if (ObjectKind.PLAIN_SERVICE, service) not in config.objects:
        raise invalid_request("unknown_service", "there is no such service", 404)
    target = _service_target(http, service)
    path = _decoded_path(target)
    kind = find_service_kind(config, service, http.method, path)
    if kind is None:
        raise invalid_request(
            "unknown_request_kind", "the service has no such request", 404
        )
    key = ""
    if not kind.idempotent:
        try:
            key = validate_idempotency_key(http.headers.get(HEADER_IDEMPOTENCY_KEY))
        except ClaimError as exc:
            raise RequestFailedError(_claim_failure(exc)) from exc
    request = _ServiceRequest(
        request_id=f"req-{secrets.token_hex(REQUEST_ID_BYTES)}",
        team=team,
        service=service,
        method=http.method,
        target=target,
        headers=tuple(
            (name, value)
            for name, value in http.headers.items()
            if name.lower() in _FORWARDED_HEADERS
        ),
        body=http.body,
        deadline_s=parse_deadline(
            http.headers, frontend.ctx.settings.entry.request_limit_s
        ),
    )
    return request, kind.idempotent, key


def _service_target(http: Request, service: str) -> str:
    """Return the encoded path and query to send to the service."""
    prefix = f"/services/{service}"
    url = http.raw_url.decode("ascii")
    if not url.startswith(f"{prefix}/"):
        raise invalid_request("invalid_path", "the service's name must not be encoded")
    return url.removeprefix(prefix)


def _decoded_path(target: str) -> str:
    """Return the decoded path, which selects the request kind.

    A path that a service could interpret as a different one is refused. Otherwise a
    request might be sent twice because its path matched an idempotent kind.
    """
    raw_path, _, _ = target.partition("?")
    segments = [unquote(segment) for segment in raw_path.split("/")[1:]]
    for index, segment in enumerate(segments):
        is_last = index == len(segments) - 1
        if segment in (".", "..") or (not segment and not is_last):
            raise invalid_request("invalid_path", "the path has empty or dot segments")
        if any(character in segment for character in "/\\;") or not (
            segment.isprintable()
        ):
            raise invalid_request("invalid_path", "the path has ambiguous characters")
    return "/" + "/".join(segments)


async def _async_run_idempotent(
    frontend: Frontend, request: _ServiceRequest, server: ServiceServer
) -> ServiceResponse:
    """Retry a request on other servers until one responds.

    Raises RequestFailedError at the deadline or if no server is left.
    """
    while True:
        limit_s = min(SERVICE_ATTEMPT_TIMEOUT_S, request.deadline_s - now_s())
        if limit_s <= 0:
            raise _deadline_error(Executed.UNKNOWN)
        try:
            response = await async_call(
                frontend.ctx.session, server.address, request.call(), limit_s
            )
        except NotConnectedError:
            failure_event = ServerFailed(request.request_id, sent=False)
        except ExchangeBrokenError:
            failure_event = ServerFailed(request.request_id, sent=True)
        else:
            if response.status not in _RETRIED_STATUSES:
                return response
            failure_event = ServerFailed(request.request_id, sent=True)
        server = frontend.choose_server(failure_event)


async def _async_run_once(
    frontend: Frontend, request: _ServiceRequest, server: ServiceServer, key: str
) -> ServiceResponse:
    """Run a command at most once, protected by a claim. Raises RequestFailedError."""
    target = request.target
    req = CommandRequest(
        request.team.name,
        key,
        request.method,
        f"/services/{request.service}{target}",
        request.body,
        request.team.weight,
    )

    async def async_send() -> CommandResponse:
        response = await _async_send_command(frontend, request, server)
        return CommandResponse(response.status, response.headers, response.body)

    try:
        response = await frontend.claims.async_run_once(
            req, async_send, request.deadline_s - now_s()
        )
    except ClaimError as exc:
        raise RequestFailedError(_claim_failure(exc)) from exc
    except TimeoutError as exc:
        raise _deadline_error(Executed.UNKNOWN) from exc
    return ServiceResponse(response.status, response.headers, response.body)


async def _async_send_command(
    frontend: Frontend, request: _ServiceRequest, server: ServiceServer
) -> ServiceResponse:
    """Send a command over a new connection.

    Another server is tried only if the connection could not be made. Raises
    NotSentError if nothing was sent, otherwise OutcomeUnknownError.
    """
    while True:
        limit_s = request.deadline_s - now_s()
        if limit_s <= 0:
            raise NotSentError("the deadline passed before the request was sent")
        try:
            return await async_call(
                frontend.calls.session, server.address, request.call(), limit_s
            )
        except NotConnectedError as exc:
            try:
                server = frontend.choose_server(
                    ServerFailed(request.request_id, sent=False)
                )
            except RequestFailedError:
                raise NotSentError(str(exc)) from exc
        except ExchangeBrokenError as exc:
            raise OutcomeUnknownError(str(exc)) from exc


def _claim_failure(exc: ClaimError) -> Failure:
    kind = "unavailable_error"
    if exc.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        kind = "invalid_request_error"
    return Failure(
        exc.status,
        kind,
        exc.code,
        str(exc),
        exc.ran,
        exc.retry_after_s,
        exc.earlier_attempts,
    )


def _deadline_error(ran: Executed) -> RequestFailedError:
    return RequestFailedError(
        Failure(
            HTTPStatus.GATEWAY_TIMEOUT,
            "timeout_error",
            "deadline_exceeded",
            "the request was not completed before its deadline",
            ran,
        )
    )


def _http_response(
    service_response: ServiceResponse, headers: list[tuple[str, str]]
) -> HTTPResponse:
    response = HTTPResponse(None, service_response.status)
    response.body = service_response.body
    for name, value in headers:
        response.headers.add(name, value)
    return response
