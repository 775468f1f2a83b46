"""Adapter to plain services.

The HTTP client retries GET, PUT and DELETE by itself when a connection breaks. Requests
that may run only once must not be retried, so a client middleware translates connection
errors into types for which the client does not retry.
"""

from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
from yarl import URL

from ..const import HEADER_DEADLINE_MS, HEADER_REQUEST_ID
from .exceptions import ExchangeBrokenError, NotConnectedError

CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

_HEADERS_NOT_FORWARDED = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "server",
        "set-cookie",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        HEADER_REQUEST_ID.lower(),
    )
)
_FRAMING_HEADERS = frozenset(("Content-Length", "Transfer-Encoding"))
_SUCCESS_STATUSES = range(200, 300)
_STATUSES = range(100, 600)
_SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request to a plain service; `target` is its encoded path and query."""

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """The complete response of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


async def async_call(
    session: aiohttp.ClientSession, address: str, call: ServiceCall, timeout_s: float
) -> ServiceResponse:
    """Send a request once and return its response.

    The session decides whether a pooled connection may be reused. Raises
    NotConnectedError only if no byte was sent, otherwise ExchangeBrokenError.
    """
    timeout = aiohttp.ClientTimeout(
        total=timeout_s, connect=CONNECT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
    )
    try:
        async with session.request(
            call.method,
            URL(address + call.target, encoded=True),
            headers=_headers(call),
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
            data=call.body or None,
            timeout=timeout,
            allow_redirects=False,
            middlewares=(_async_translate_errors,),
        ) as response:
            _check_status(response)
            _check_echo(response, call)
            return await _async_read_response(response)
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        raise ExchangeBrokenError(str(exc) or type(exc).__name__) from exc


async def _async_translate_errors(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Translate connection errors into types for which the client does not retry."""
    try:
        return await handler(req)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise NotConnectedError(str(exc)) from exc
    except (aiohttp.ClientError, OSError) as exc:
        raise ExchangeBrokenError(str(exc) or type(exc).__name__) from exc


def _headers(call: ServiceCall) -> list[tuple[str, str]]:
    return [
        *call.headers,
        (HEADER_REQUEST_ID, call.request_id),
        (HEADER_DEADLINE_MS, str(call.deadline_ms)),
    ]


def _check_status(response: aiohttp.ClientResponse) -> None:
    if response.status not in _STATUSES:
        response.close()
        raise ExchangeBrokenError(f"{response.status:03} is no status")


def _check_echo(response: aiohttp.ClientResponse, call: ServiceCall) -> None:
    if response.headers.get(HEADER_REQUEST_ID) != call.request_id:
        response.close()
        raise ExchangeBrokenError("the service echoed another request id")


async def _async_read_response(response: aiohttp.ClientResponse) -> ServiceResponse:
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > MAX_RESPONSE_BYTES:
            response.close()
            raise ExchangeBrokenError("the service sent an oversize answer")
    if not body and _may_miss_body(response):
        raise ExchangeBrokenError("the connection closed before the body")
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in _HEADERS_NOT_FORWARDED
    )
    return ServiceResponse(response.status, headers, bytes(body))


def _may_miss_body(response: aiohttp.ClientResponse) -> bool:
    """Return whether a success may have been cut between its head and its body."""
    is_framed = not response.headers.keys().isdisjoint(_FRAMING_HEADERS)
    has_body = response.method != "HEAD" and response.status != HTTPStatus.NO_CONTENT
    return has_body and response.status in _SUCCESS_STATUSES and not is_framed
