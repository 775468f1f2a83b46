"""Opens links to other processes and reopens them when they close."""

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
    CLOSE_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    FAILBACK_PERIOD_S,
    MAX_FRAME_BYTES,
    NEXT_ADDRESS_DELAY_S,
    RECONNECT_MAX_DELAY_S,
    RECONNECT_MIN_DELAY_S,
)
from .exceptions import LinkError, LinkTimeoutError, LinkUnavailableError
from .handshake import async_client_handshake
from .identity import LinkIdentity
from .link import Link, LinkHandlers
from .server import record_refusal, websockets_logger

_LOGGER = logging.getLogger(__name__)


async def async_open(
    address: str, identity: LinkIdentity, handlers: LinkHandlers
) -> Link:
    """Open a link, which the caller must run. Raises LinkError."""
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
        record_refusal(exc, address)
        ws.transport.abort()
        raise
    except BaseException:
        ws.transport.abort()
        raise
    return Link(ws, peer, identity.role, handlers, address=address)


async def async_maintain(
    addresses: Iterable[str], identity: LinkIdentity, handlers: LinkHandlers
) -> None:
    """Maintain a link to the first available address until cancelled.

    While a later address is in use, the first address is retried periodically.
    """
    candidates = tuple(addresses)
    address_order = candidates
    backoff = Backoff()
    while True:
        link = await _async_open_first(address_order, identity, handlers)
        opened_s = now_s()
        address_order = candidates
        if link is not None:
            await _async_run_link(link, candidates, identity, handlers)
            if isinstance(link.error, LinkTimeoutError):
                # The process or its VM may be paused, so the other addresses are first.
                address_order = (*candidates[1:], candidates[0])
        if link is None:
            backoff.record_failure()
        else:
            backoff.record_close(now_s() - opened_s)
        await asyncio.sleep(reconnect_delay_s(backoff.failures))


@dataclass(slots=True)
class Backoff:
    """Counts the failures that determine the reconnect delay.

    A link that closes soon after it opened counts as a failure, so that it is not
    reopened at full speed. Failures before it opened do not count, so that the delay
    after its first loss is short.
    """

    failures: int = 0
    _short_links: int = 0

    def record_failure(self) -> None:
        """Count a round in which no link was opened."""
        self.failures += 1

    def record_close(self, duration_s: float) -> None:
        """Update the count after a link was open for `duration_s`."""
        was_stable = duration_s > RECONNECT_MAX_DELAY_S
        self._short_links = 0 if was_stable else self._short_links + 1
        self.failures = self._short_links


def reconnect_delay_s(failures: int) -> float:
    """Return a delay in seconds with exponential growth and jitter.

    The jitter keeps processes from reconnecting at the same time.
    """
    max_delay_s = min(
        RECONNECT_MAX_DELAY_S, 2 * RECONNECT_MIN_DELAY_S * 2 ** min(failures, 10)
    )
    return random.uniform(RECONNECT_MIN_DELAY_S, max_delay_s)


async def _async_run_link(
    link: Link,
    addresses: tuple[str, ...],
    identity: LinkIdentity,
    handlers: LinkHandlers,
) -> None:
    """Run a link until it closes, or until the first address is available again."""
    if link.address == addresses[0]:
        await link.async_run()
        return
    running = asyncio.create_task(link.async_run(), name="link")
    try:
        while not running.done():
            delay_s = random.uniform(FAILBACK_PERIOD_S / 2, FAILBACK_PERIOD_S)
            await asyncio.wait((running,), timeout=delay_s)
            first = await _async_open_first(addresses[:1], identity, handlers)
            if first is not None:
                await _async_fail_back(running, first)
                return
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


async def _async_fail_back(running: asyncio.Task[None], first: Link) -> None:
    """Start the link to the first address, then cancel the running one."""
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
    """Return a link to the first available address, or None.

    Attempts start `NEXT_ADDRESS_DELAY_S` apart and overlap, so that an attempt that
    hangs does not delay the next.
    """
    attempts: list[asyncio.Task[Link | None]] = []
    try:
        for address in addresses:
            attempt = _async_try_open(address, identity, handlers)
            attempts.append(asyncio.create_task(attempt, name=f"open {address}"))
            link = await _async_first_result(attempts, NEXT_ADDRESS_DELAY_S)
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
    """Return the first link, or None if all attempts failed or the time is up."""
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
    """Abort a link that opened after another one."""
    link = None if task.cancelled() else task.result()
    if link is not None:
        link.async_abort(LinkUnavailableError("another address answered first"))


async def _async_try_open(
    address: str, identity: LinkIdentity, handlers: LinkHandlers
) -> Link | None:
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await async_open(address, identity, handlers)
    except (LinkError, TimeoutError) as exc:
        log_connect_failure(address, exc)
        return None


def log_connect_failure(address: str, error: Exception) -> None:
    """Log an address to which no link was opened."""
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
        close_timeout=CLOSE_TIMEOUT_S,
        max_size=MAX_FRAME_BYTES,
        logger=websockets_logger(),
    )
