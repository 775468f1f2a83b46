"""Opens links to other processes and keeps them open."""

import asyncio
import logging
import random
from collections.abc import Iterable
from dataclasses import dataclass

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from ..core.clock import now_s
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import (
    CLOSE_LIMIT_S,
    CONNECT_TIMEOUT_S,
    MAX_FRAME_BYTES,
    NEXT_ADDRESS_PAUSE_S,
    RECONNECT_MAX_S,
    RECONNECT_MIN_S,
    RETURN_PERIOD_S,
)
from .exceptions import LinkError, LinkUnavailableError, SilentLinkError
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
    order = candidates
    backoff = Backoff()
    while True:
        link = await _async_open_first(order, identity, handlers)
        opened_s = now_s()
        order = candidates
        if link is not None:
            await _async_run_link(link, candidates, identity, handlers)
            if isinstance(link.error, SilentLinkError):
                # The process or its VM may be paused; the others are tried before it.
                order = (*candidates[1:], candidates[0])
        if link is None:
            backoff.note_failed()
        else:
            backoff.note_closed(now_s() - opened_s)
        await asyncio.sleep(reconnect_delay_s(backoff.failures))


@dataclass(slots=True)
class Backoff:
    """Failures since a link last lasted.

    A link that is closed soon after opening must not be dialled at full speed. Failures
    before it opened do not count, so that the first loss costs a short pause only.
    """

    failures: int = 0
    _short_links: int = 0

    def note_failed(self) -> None:
        """Count a round in which no address answered."""
        self.failures += 1

    def note_closed(self, lasted_s: float) -> None:
        """Take the time in seconds that a link was open."""
        lasted = lasted_s > RECONNECT_MAX_S
        self._short_links = 0 if lasted else self._short_links + 1
        self.failures = self._short_links


def reconnect_delay_s(failures: int) -> float:
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
    """Return a link to the first address that answers; others are tried shortly after.

    The attempts overlap, so that one that hangs does not delay the next.
    """
    attempts: list[asyncio.Task[Link | None]] = []
    try:
        for address in addresses:
            attempt = _async_try(address, identity, handlers)
            attempts.append(asyncio.create_task(attempt, name=f"open {address}"))
            link = await _async_first_result(attempts, NEXT_ADDRESS_PAUSE_S)
            if link is not None:
                return link
        return await _async_first_result(attempts, CONNECT_TIMEOUT_S)
    finally:
        for task in attempts:
            task.cancel()
            task.add_done_callback(_abort_unused)


async def _async_first_result(
    attempts: list[asyncio.Task[Link | None]], limit_s: float
) -> Link | None:
    """Return the first link; None when all attempts failed or at the limit."""
    deadline_s = now_s() + limit_s
    while attempts:
        done, _ = await asyncio.wait(
            attempts,
            timeout=max(0.0, deadline_s - now_s()),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            attempts.remove(task)
            link = task.result()
            if link is not None:
                return link
        if not done:
            return None
    return None


def _abort_unused(task: asyncio.Task[Link | None]) -> None:
    """Close a link that opened after another one."""
    link = None if task.cancelled() else task.result()
    if link is not None:
        link.async_abort(LinkUnavailableError("another address answered first"))


async def _async_try(
    address: str, identity: LinkIdentity, handlers: LinkHandlers
) -> Link | None:
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await async_open(address, identity, handlers)
    except (LinkError, TimeoutError) as exc:
        log_connect_failure(address, exc)
        return None


def log_connect_failure(address: str, error: Exception) -> None:
    """Log an address that did not answer."""
    log_event(
        _LOGGER,
        LogEvent.LINK_CONNECT_FAILED,
        "link not opened",
        level=logging.DEBUG,
        address=address,
        error=str(error),
    )


async def _async_connect(address: str) -> ClientConnection:
    return await connect(
        address,
        compression=None,
        proxy=None,
        user_agent_header=None,
        open_timeout=CONNECT_TIMEOUT_S,
        ping_interval=None,
        close_timeout=CLOSE_LIMIT_S,
        max_size=MAX_FRAME_BYTES,
        logger=library_logger(),
    )
