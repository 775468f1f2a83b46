"""Opens links to other processes and keeps them open."""

import asyncio
import logging
import random
from collections.abc import Iterable

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import InvalidHandshake, InvalidURI

from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import (
    CLOSE_LIMIT_S,
    CONNECT_LIMIT_S,
    MAX_FRAME_BYTES,
    RECONNECT_MAX_S,
    RECONNECT_MIN_S,
)
from .exceptions import LinkError, LinkUnavailableError
from .handshake import async_client_handshake
from .identity import LinkIdentity
from .link import Link, LinkHandlers
from .server import library_logger, report_refusal

_LOGGER = logging.getLogger(__name__)


async def async_open(
    address: str, identity: LinkIdentity, handlers: LinkHandlers
) -> Link:
    """Open a link, which the caller runs. Raises LinkError."""
    try:
        ws = await _async_connect(address)
    except (OSError, TimeoutError, InvalidHandshake, InvalidURI) as exc:
        raise LinkUnavailableError(str(exc) or type(exc).__name__) from exc
    try:
        peer = await async_client_handshake(ws, identity)
    except LinkUnavailableError:
        ws.transport.abort()
        raise
    except LinkError as exc:
        report_refusal(exc, address)
        ws.transport.abort()
        raise
    except BaseException:
        ws.transport.abort()
        raise
    return Link(ws, peer, identity.role, handlers, dialled=True)


async def async_maintain(
    addresses: Iterable[str], identity: LinkIdentity, handlers: LinkHandlers
) -> None:
    """Keep a link to the first address that answers, until cancelled."""
    candidates = tuple(addresses)
    while True:
        link = await _async_open_first(candidates, identity, handlers)
        if link is not None:
            await link.async_run()
        await asyncio.sleep(reconnect_pause_s())


def reconnect_pause_s() -> float:
    """Return a pause with full jitter, so that processes do not reconnect together."""
    return random.uniform(RECONNECT_MIN_S, RECONNECT_MAX_S)


async def _async_open_first(
    addresses: tuple[str, ...], identity: LinkIdentity, handlers: LinkHandlers
) -> Link | None:
    for address in addresses:
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                return await async_open(address, identity, handlers)
        except (LinkError, TimeoutError) as exc:
            log_event(
                _LOGGER,
                LogEvent.LINK_CONNECT_FAILED,
                "link not opened",
                level=logging.DEBUG,
                address=address,
                error=str(exc),
            )
    return None


async def _async_connect(address: str) -> ClientConnection:
    return await connect(
        address,
        compression=None,
        proxy=None,
        user_agent_header=None,
        open_timeout=CONNECT_LIMIT_S,
        ping_interval=None,
        close_timeout=CLOSE_LIMIT_S,
        max_size=MAX_FRAME_BYTES,
        logger=library_logger(),
    )
