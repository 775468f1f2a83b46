"""Passes the requests of peers on to servers that these do not reach.

A peer sends the request as it would send it to the server, and names the server in it.
The answer is passed on as it arrives. The peer decides on retries, limits and silence;
this node only refuses what it must not send itself.
"""

import asyncio
from dataclasses import replace
from typing import Final

from ..fleet.models import BackendServer, Limits
from ..transport.const import HOP_BY_HOP_HEADERS
from ..transport.exceptions import (
    ConnectFailedError,
    SendWithheldError,
    TransportError,
)
from ..transport.exchange import Exchange, ResponseHead
from ..transport.request import encode_request
from .caller import CallerConnection
from .models import CallerRequest
from .paths import REFUSAL_HEADER, RelayRefusal
from .reach import Reach
from .sending import HTTP_MISDIRECTED_REQUEST, record_statement
from .state import GatewayState

# Headers that a node adds to those of a caller.
ADDED_HEADER_BYTES: Final = 4096


def relay_limits(limits: Limits) -> Limits:
    """Return the limits of requests that peers send, from those of callers."""
    return replace(
        limits, max_header_bytes=limits.max_header_bytes + ADDED_HEADER_BYTES
    )


async def async_relay_request(
    state: GatewayState, conn: CallerConnection, request: CallerRequest
) -> None:
    """Pass the request of a peer on to the server that it names."""
    server = _find_server(state, request)
    refusal = _find_refusal(state, server)
    if server is None or refusal is not None:
        _refuse(state, conn, request, refusal or RelayRefusal.SERVER)
        return
    exchange = Exchange(
        expected_id=request.get(state.header_names.request_id),
        is_head_method=request.method == b"HEAD",
        on_head=lambda head: record_statement(state, server, head),
        memory=state.memory,
    )
    client = None
    loop = asyncio.get_running_loop()
    try:
        # The peer does not say whether the request may run twice.
        client = await state.pool.async_send_request(
            server.address,
            _encode(request),
            exchange,
            new_connection=True,
            may_send=lambda: state.may_relay(server, loop.time()),
        )
        head = await exchange.async_read_head()
        conn.begin_response(head, length=None)
        while chunk := await exchange.async_read_chunk():
            conn.write_body(chunk)
            await conn.async_drain()
        conn.end_response()
        state.metrics.relayed.inc({"result": "passed on"})
    except ConnectFailedError as exc:
        if not isinstance(exc, SendWithheldError):
            state.reach.record_unconnected(server.server_id, loop.time())
        _refuse(state, conn, request, RelayRefusal.SERVER)
    except TransportError:
        conn.abort()
    finally:
        exchange.release()
        if client is not None:
            state.pool.release(server.address, client)


def _find_server(state: GatewayState, request: CallerRequest) -> BackendServer | None:
    value = request.get(state.header_names.expected_server)
    return state.servers().get(value.decode("latin-1")) if value else None


def _find_refusal(
    state: GatewayState, server: BackendServer | None
) -> RelayRefusal | None:
    if state.reach.state is Reach.PARTITIONED or state.stopping.schedule is not None:
        return RelayRefusal.UNAVAILABLE
    now_s = asyncio.get_running_loop().time()
    if server is None or not state.may_relay(server, now_s):
        return RelayRefusal.SERVER
    return None


def _refuse(
    state: GatewayState,
    conn: CallerConnection,
    request: CallerRequest,
    refusal: RelayRefusal,
) -> None:
    headers = [(REFUSAL_HEADER, refusal.encode())]
    request_id = request.get(state.header_names.request_id)
    if request_id is not None:
        headers.append((state.header_names.request_id, request_id))
    conn.begin_response(ResponseHead(HTTP_MISDIRECTED_REQUEST, headers), length=0)
    conn.end_response()


def _encode(request: CallerRequest) -> bytes:
    """Return the request as the peer would send it to the server."""
    headers = [
        (name, value)
        for name, value in request.headers
        if name not in HOP_BY_HOP_HEADERS and name != b"content-length"
    ]
    return encode_request(request.method, request.target, headers, request.body)
