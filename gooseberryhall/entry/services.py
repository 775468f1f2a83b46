"""Requests to plain services."""

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
from .const import REQUEST_ID_BYTES, SERVICE_ATTEMPT_LIMIT_S
from .deadline import parse_deadline
from .errors import invalid
from .front import Front

SERVICE_METHODS = ("GET", "POST", "PUT", "DELETE", "PATCH")

_FORWARDED = (
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
class _Work:
    """A checked request to a plain service."""

    request_id: str
    team: Team
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float

    def call(self) -> ServiceCall:
        """Return the call with the time that is left for it."""
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
    front: Front,
) -> Callable[[Request, str, str], Coroutine[Any, Any, HTTPResponse]]:
    """Return the handler of requests to plain services."""

    async def async_handle(http: Request, service: str, path: str) -> HTTPResponse:
        del path  # the raw URL keeps the caller's encoding
        work, idempotent, key = _check(front, http, service)
        outcome = "failed"
        try:
            server = front.choose_server(
                ServiceRequestArrived(work.request_id, work.team.name, service)
            )
            if idempotent:
                answer = await _async_retry(front, work, server)
            else:
                answer = await _async_once(front, work, server, key)
            outcome = str(answer.status)
        except RequestFailedError as exc:
            outcome = exc.failure.code
            raise
        finally:
            front.ctx.runtime.async_dispatch(ServiceRequestEnded(work.request_id))
            front.report_service_call(work.request_id, service, outcome)
        headers = [*answer.headers, (HEADER_REQUEST_ID, work.request_id)]
        return _response(answer, headers)

    return async_handle


def _check(front: Front, http: Request, service: str) -> tuple[_Work, bool, str]:
    """Check a request; return it, whether it is idempotent, and its key."""
    config = front.ctx.runtime.state.config
    team = find_team(config, http.headers.get("authorization"))
    if (ObjectKind.PLAIN_SERVICE, service) not in config.objects:
        raise invalid("unknown_service", "there is no such service", 404)
    target = _target(http, service)
    path = _decoded_path(target)
    kind = find_service_kind(config, service, http.method, path)
    if kind is None:
        raise invalid("unknown_request_kind", "the service has no such request", 404)
    key = ""
    if not kind.idempotent:
        try:
            key = validate_idempotency_key(http.headers.get(HEADER_IDEMPOTENCY_KEY))
        except ClaimError as exc:
            raise RequestFailedError(_claim_failure(exc)) from exc
    work = _Work(
        request_id=f"req-{secrets.token_hex(REQUEST_ID_BYTES)}",
        team=team,
        service=service,
        method=http.method,
        target=target,
        headers=tuple(
            (name, value)
            for name, value in http.headers.items()
            if name.lower() in _FORWARDED
        ),
        body=http.body,
        deadline_s=parse_deadline(
            http.headers, front.ctx.settings.entry.request_limit_s
        ),
    )
    return work, kind.idempotent, key


def _target(http: Request, service: str) -> str:
    """Return the encoded path and query for the service."""
    prefix = f"/services/{service}"
    url = http.raw_url.decode("ascii")
    if not url.startswith(f"{prefix}/"):
        raise invalid("invalid_path", "the service's name must not be encoded")
    return url.removeprefix(prefix)


def _decoded_path(target: str) -> str:
    """Return the decoded path by which the request kind is found.

    A path that a service could read as another one is refused. It might otherwise be
    taken for an idempotent kind and be sent twice.
    """
    raw_path, _, _ = target.partition("?")
    segments = [unquote(segment) for segment in raw_path.split("/")[1:]]
    for index, segment in enumerate(segments):
        is_last = index == len(segments) - 1
        if segment in (".", "..") or (not segment and not is_last):
            raise invalid("invalid_path", "the path has empty or dot segments")
        if any(character in segment for character in "/\\;") or not (
            segment.isprintable()
        ):
            raise invalid("invalid_path", "the path has ambiguous characters")
    return "/" + "/".join(segments)


async def _async_retry(
    front: Front, work: _Work, server: ServiceServer
) -> ServiceResponse:
    """Try servers until one answers. Raises RequestFailedError."""
    while True:
        limit_s = min(SERVICE_ATTEMPT_LIMIT_S, work.deadline_s - now_s())
        if limit_s <= 0:
            raise _deadline_error(Executed.UNKNOWN)
        try:
            answer = await async_call(
                front.ctx.session, server.address, work.call(), limit_s
            )
        except NotConnectedError:
            failed = ServerFailed(work.request_id, sent=False)
        except ExchangeBrokenError:
            failed = ServerFailed(work.request_id, sent=True)
        else:
            if answer.status not in _RETRIED_STATUSES:
                return answer
            failed = ServerFailed(work.request_id, sent=True)
        server = front.choose_server(failed)


async def _async_once(
    front: Front, work: _Work, server: ServiceServer, key: str
) -> ServiceResponse:
    """Run a non-idempotent request at most once. Raises RequestFailedError."""
    target = work.target
    req = CommandRequest(
        work.team.name,
        key,
        work.method,
        f"/services/{work.service}{target}",
        work.body,
        work.team.weight,
    )

    async def async_send() -> CommandResponse:
        answer = await _async_send_once(front, work, server)
        return CommandResponse(answer.status, answer.headers, answer.body)

    try:
        answer = await front.claims.async_run_once(
            req, async_send, work.deadline_s - now_s()
        )
    except ClaimError as exc:
        raise RequestFailedError(_claim_failure(exc)) from exc
    except TimeoutError as exc:
        raise _deadline_error(Executed.UNKNOWN) from exc
    return ServiceResponse(answer.status, answer.headers, answer.body)


async def _async_send_once(
    front: Front, work: _Work, server: ServiceServer
) -> ServiceResponse:
    """Send over a new connection; another server is tried only when none was made."""
    while True:
        limit_s = work.deadline_s - now_s()
        if limit_s <= 0:
            raise NotSentError("the deadline passed before the request was sent")
        try:
            return await async_call(
                front.calls.session, server.address, work.call(), limit_s
            )
        except NotConnectedError as exc:
            try:
                server = front.choose_server(ServerFailed(work.request_id, sent=False))
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


def _response(answer: ServiceResponse, headers: list[tuple[str, str]]) -> HTTPResponse:
    response = HTTPResponse(None, answer.status)
    response.body = answer.body
    for name, value in headers:
        response.headers.add(name, value)
    return response
