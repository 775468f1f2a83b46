"""Helpers of the link tests."""

import asyncio
import secrets
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from gooseberryhall.links.identity import LinkIdentity, Role
from gooseberryhall.links.link import Link, LinkHandlers
from gooseberryhall.links.messages import Message
from gooseberryhall.links.server import async_serve

SECRET = "a-secret-of-the-tests"
POLL_S = 0.01


@dataclass
class Recorded:
    """Calls of the handlers of a process."""

    events: list[tuple[str, str]] = field(default_factory=list)
    links: list[Link] = field(default_factory=list)
    messages: list[Message] = field(default_factory=list)


def identity(
    node: str, *, role: Role = Role.CONTROL, secret: str = SECRET
) -> LinkIdentity:
    """Return an identity with a random incarnation in the test zone."""
    return LinkIdentity(node, "z1", "r1", role, secrets.token_hex(8), secret)


def recorder() -> tuple[Recorded, LinkHandlers]:
    """Return handlers and the record of their calls."""
    recorded = Recorded()

    def on_open(link: Link) -> None:
        recorded.events.append(("open", link.node))
        recorded.links.append(link)

    def on_message(_link: Link, message: Message) -> None:
        recorded.messages.append(message)

    def on_close(link: Link) -> None:
        recorded.events.append(("close", link.node))

    return recorded, LinkHandlers(on_open, on_message, on_close)


@asynccontextmanager
async def async_serving(
    handlers: LinkHandlers, *, secret: str = SECRET
) -> AsyncIterator[str]:
    """Serve links as node `a` on an ephemeral port and yield the address."""
    server_identity = identity("a", secret=secret)
    async with async_serve("127.0.0.1", 0, server_identity, handlers) as server:
        yield f"ws://127.0.0.1:{next(iter(server.sockets)).getsockname()[1]}"


async def async_until(condition: Callable[[], bool], limit_s: float) -> None:
    """Wait for a condition. Raises TimeoutError after the limit."""
    async with asyncio.timeout(limit_s):
        while not condition():  # noqa: ASYNC110 - conditions have no events
            await asyncio.sleep(POLL_S)
