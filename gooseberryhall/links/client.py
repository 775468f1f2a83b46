"""Opens links to other processes and keeps them open."""

import asyncio
import logging
import random
from collections.abc import Iterable

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from ..core.clock import now_s
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import (
    CLOSE_LIMIT_S,
    CONNECT_LIMIT_S,
    MAX_FRAME_BYTES,
    RECONNECT_MAX_S,
    RECONNECT_MIN_S,
    RETURN_PERIOD_S,
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
    except (OSError, TimeoutError, WebSocketException) as exc:
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
    return Link(ws, peer, identity.role, handlers, address=address)


async def async_maintain(
    addresses: Iterable[str], identity: LinkIdentity, handlers: LinkHandlers
) -> None:
    """Keep a link to the first address that answers, until cancelled.

    While a later address is in use, the first one is tried again periodically.
    """
    candidates = tuple(addresses)
    failures = 0
    while True:
        started_s = now_s()
        link = await _async_open_first(candidates, identity, handlers)
        if link is not None:
            await _async_run_link(link, candidates, identity, handlers)
        # A link that is closed soon after opening must not be dialled at full speed.
        lasted = link is not None and now_s() - started_s > RECONNECT_MAX_S
        failures = 0 if lasted else failures + 1
        await asyncio.sleep(reconnect_pause_s(failures))


def reconnect_pause_s(failures: int) -> float:
    """Return a pause with full jitter, so that processes do not reconnect together."""
    longest_s = min(RECONNECT_MAX_S, 2 * RECONNECT_MIN_S * 2 ** min(failures, 10))
    return random.uniform(RECONNECT_MIN_S, longest_s)


async def _async_run_link(
    link: Link,
    addresses: tuple[str, ...],
    identity: LinkIdentity,
    handlers: LinkHandlers,
) -> None:
    """Run a link; return when it closed or the first address answers again."""
    if link.address == addresses[0]:
        await link.async_run()
        return
    running = asyncio.create_task(link.async_run(), name="link")
    try:
        while not running.done():
            pause_s = random.uniform(RETURN_PERIOD_S / 2, RETURN_PERIOD_S)
            await asyncio.wait((running,), timeout=pause_s)
            first = await _async_open_first(addresses[:1], identity, handlers)
            if first is not None:
                await _async_replace(running, first)
                return
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


async def _async_replace(running: asyncio.Task[None], first: Link) -> None:
    """Run the link to the first address; end the other once it carries messages."""
    opened = asyncio.create_task(first.async_run(), name="link")
    try:
        running.cancel()
        await opened
    finally:
        opened.cancel()
        await asyncio.gather(opened, return_exceptions=True)


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
