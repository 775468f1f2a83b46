"""Adapter to plain services.

The HTTP client repeats GET, PUT and DELETE by itself when a connection breaks. That
must not happen to a request that may run only once, so connection errors are translated
inside the client, before it sees an error that it would answer with a repetition.
"""

from dataclasses import dataclass

import aiohttp
from yarl import URL

from ..const import HEADER_DEADLINE_MS, HEADER_REQUEST_ID
from .exceptions import ExchangeBrokenError, NotConnectedError

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024

_NOT_FORWARDED = frozenset(
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
_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


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
    """The complete answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


async def async_call(
    session: aiohttp.ClientSession, address: str, call: ServiceCall, timeout_s: float
) -> ServiceResponse:
    """Send a request once and return its answer.

    The session decides whether the connection may be an old one. Raises
    NotConnectedError only when no byte was sent, else ExchangeBrokenError.
    """
    timeout = aiohttp.ClientTimeout(
        total=timeout_s, connect=CONNECT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
    )
    try:
        async with session.request(
            call.method,
            URL(address + call.target, encoded=True),
            headers=_headers(call),
            skip_auto_headers=_AUTO_HEADERS,
            data=call.body or None,
            timeout=timeout,
            allow_redirects=False,
            middlewares=(_async_translate,),
        ) as response:
            _check_echo(response, call)
            return await _async_answer(response)
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        raise ExchangeBrokenError(str(exc) or type(exc).__name__) from exc


async def _async_translate(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Turn errors into types that the client does not answer with a repetition."""
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


def _check_echo(response: aiohttp.ClientResponse, call: ServiceCall) -> None:
    if response.headers.get(HEADER_REQUEST_ID) != call.request_id:
        response.close()
        raise ExchangeBrokenError("the service echoed another request id")


async def _async_answer(response: aiohttp.ClientResponse) -> ServiceResponse:
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > MAX_ANSWER_BYTES:
            response.close()
            raise ExchangeBrokenError("the service sent an oversize answer")
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in _NOT_FORWARDED
    )
    return ServiceResponse(response.status, headers, bytes(body))
