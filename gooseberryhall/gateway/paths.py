"""Sends a request to its server, by itself or by way of a peer.

A node that is partitioned from the servers sends each request to a peer, in the form in
which it would send it to the server. The peer passes it on and the answer back, so that
retries, limits and the order of requests stay with the node of the caller.
"""

import asyncio
import logging
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from ..fleet.models import BackendServer
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from ..transport.client import ClientConnection
from ..transport.exceptions import ConnectFailedError, SendWithheldError
from ..transport.exchange import Exchange, ResponseHead
from .context import RequestContext
from .relays import MAX_RELAYS_TRIED, Relay
from .state import GatewayState

_LOGGER = logging.getLogger(__name__)

# Header in which a peer tells why it did not pass a request on. No server sends it.
REFUSAL_HEADER: Final = b"x-relay-refused"


class RelayRefusal(StrEnum):
    """Why a peer did not pass a request on, so that it has not run."""

    # The peer stops, or is partitioned, too.
    UNAVAILABLE = "unavailable"
    # The peer does not reach this server, or must not send to it.
    SERVER = "server"


@dataclass(slots=True)
class Path:
    """How one request got to its server."""

    server: BackendServer
    # The peer that was asked to pass the request on; None if it was sent directly.
    relay: Relay | None = None
    conn: ClientConnection | None = None


async def async_send_by_path(
    state: GatewayState,
    ctx: RequestContext,
    path: Path,
    data: bytes,
    exchange: Exchange,
) -> ClientConnection:
    """Send an encoded request. Raises `ConnectFailedError` if nothing was sent.

    A request that cannot connect is sent by way of a peer at once if this node may be
    partitioned.
    """
    loop = asyncio.get_running_loop()
    tried: set[str] = set()
    failure: ConnectFailedError | None = None
    while len(tried) < MAX_RELAYS_TRIED:
        path.relay = _choose_relay(state, path.server, tried)
        if path.relay is None and failure is not None:
            raise failure
        try:
            path.conn = await _async_send(state, ctx, path, data, exchange)
        except SendWithheldError:
            raise
        except ConnectFailedError as exc:
            if path.relay is None:
                failure = exc
                state.reach.record_unconnected(path.server.server_id, loop.time())
            else:
                tried.add(path.relay.node)
                _record_failure(state, path.relay, "it cannot be reached")
        else:
            return path.conn
    raise failure or ConnectFailedError("no peer passes requests on")


def release_path(state: GatewayState, path: Path) -> None:
    """Return the connection of a request to its pool."""
    if path.conn is None:
        return
    if path.relay is None:
        state.pool.release(path.server.address, path.conn)
    elif state.relays is not None:
        state.relays.pool.release(path.relay.address, path.conn)


def is_refused_by_relay(
    state: GatewayState, ctx: RequestContext, path: Path, head: ResponseHead
) -> bool:
    """Record what an answer says of the peer; return whether it is the peer's own."""
    if path.relay is None or state.relays is None:
        return False
    refusal = head.get(REFUSAL_HEADER)
    server_id = path.server.server_id
    if refusal is None:
        state.relays.record_success(path.relay)
        state.reach.record_relayed(server_id)
        state.metrics.relayed.inc({"result": "answered"})
        return False
    state.metrics.relayed.inc({"result": "refused"})
    if refusal == RelayRefusal.UNAVAILABLE.encode():
        _record_failure(state, path.relay, "it passes nothing on")
        ctx.excluded_servers.discard(server_id)
        return True
    if not state.relays.is_proved(path.relay):
        _record_failure(state, path.relay, "it does not reach the server")
    state.backends.mark_unreachable(server_id, asyncio.get_running_loop().time())
    return True


def _choose_relay(
    state: GatewayState, server: BackendServer, tried: set[str]
) -> Relay | None:
    if state.relays is None or not state.reach.needs_peer(server.server_id):
        return None
    return state.relays.choose(tried, asyncio.get_running_loop().time())


async def _async_send(
    state: GatewayState,
    ctx: RequestContext,
    path: Path,
    data: bytes,
    exchange: Exchange,
) -> ClientConnection:
    loop = asyncio.get_running_loop()
    pool, address = state.pool, path.server.address
    if path.relay is not None and state.relays is not None:
        pool, address = state.relays.pool, path.relay.address
    return await pool.async_send_request(
        address,
        data,
        exchange,
        # The server may close a reused connection at the same time. It would then be
        # unknown whether a request that must run at most once was run.
        new_connection=not ctx.route.idempotent,
        may_send=lambda: state.may_send(path.server, loop.time()),
        on_sent=lambda: state.cold.record_sent(path.server),
    )


def _record_failure(state: GatewayState, relay: Relay, reason: str) -> None:
    if state.relays is not None:
        state.relays.record_failure(relay, asyncio.get_running_loop().time())
    log_event(
        _LOGGER,
        LogEvent.RELAY_FAILED,
        "a peer did not pass a request on",
        peer=relay.node,
        reason=reason,
    )
