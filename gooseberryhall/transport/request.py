"""Encoding of requests and calls that wait for the whole response."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from .address import Address
from .const import MAX_RESPONSE_BYTES
from .exceptions import ExchangeTimeoutError
from .exchange import Exchange, Headers, ResponseHead
from .pool import ConnectionPool


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Return the bytes of a request, with a Content-Length header if needed."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines.extend(name + b": " + value for name, value in headers)
    if body or method not in {b"GET", b"HEAD", b"DELETE"}:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    head: ResponseHead
    body: bytes


async def async_call(
    pool: ConnectionPool,
    address: Address,
    data: bytes,
    *,
    timeout_s: float,
    new_connection: bool = False,
    max_bytes: int = MAX_RESPONSE_BYTES,
    on_head: Callable[[ResponseHead], None] = lambda _: None,
) -> Response:
    """Send an encoded request and wait for the whole response.

    `on_head` is called with the head, also if the rest does not follow. A body of more
    than `max_bytes` is not read. Raises `TransportError`; `ConnectFailedError` means
    that nothing was sent.
    """
    exchange = Exchange(on_head=on_head)
    conn = None
    try:
        async with asyncio.timeout(timeout_s):
            conn = await pool.async_send_request(
                address, data, exchange, new_connection=new_connection
            )
            head = await exchange.async_read_head()
            body = await exchange.async_read_body(max_bytes)
    except TimeoutError as exc:
        raise ExchangeTimeoutError(f"no response from {address}") from exc
    finally:
        if conn is not None:
            pool.release(address, conn)
    return Response(head, body)
