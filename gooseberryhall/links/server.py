"""Accepts links from other processes."""

import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from websockets.asyncio.server import Server, ServerConnection, serve

from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import CLOSE_TIMEOUT_S, HANDSHAKE_TIMEOUT_S, MAX_FRAME_BYTES
from .exceptions import LinkError
from .handshake import async_server_handshake
from .identity import LinkIdentity
from .link import Link, LinkHandlers
from .metrics import FRAMES_REFUSED

_LOGGER = logging.getLogger(__name__)


@asynccontextmanager
async def async_serve(
    host: str, port: int, identity: LinkIdentity, handlers: LinkHandlers
) -> AsyncIterator[Server]:
    """Accept links until the context exits."""

    async def async_handle(ws: ServerConnection) -> None:
        try:
            peer = await async_server_handshake(ws, identity)
        except LinkError as exc:
            record_refusal(exc, str(ws.remote_address))
            ws.transport.abort()
            return
        await Link(ws, peer, identity.role, handlers).async_run()

    async with serve(
        async_handle,
        host,
        port,
        compression=None,
        server_header=None,
        open_timeout=HANDSHAKE_TIMEOUT_S,
        ping_interval=None,
        close_timeout=CLOSE_TIMEOUT_S,
        max_size=MAX_FRAME_BYTES,
        logger=websockets_logger(),
    ) as server:
        yield server


def record_refusal(error: LinkError, address: str) -> None:
    """Count and log a failed handshake."""
    FRAMES_REFUSED.inc({"error": error.code})
    log_event(
        _LOGGER,
        LogEvent.LINK_REFUSED,
        "link refused",
        level=logging.WARNING,
        address=address,
        error=error.code,
        detail=str(error),
    )


def websockets_logger() -> logging.Logger:
    """Return a logger that hides the library's errors, as links log their own."""
    logger = logging.getLogger("websockets.links")
    logger.setLevel(logging.CRITICAL)
    return logger
