"""The byte budget of a node: all that it holds for callers and servers."""

from dataclasses import dataclass, field
from enum import StrEnum

from ..transport.memory import HeldBytes
from .const import (
    CONNECTION_BYTES,
    HEADER_BYTES,
    HELD_MEMORY_SHARE,
    MAX_SMALL_REQUEST_BYTES,
    RESPONSE_MEMORY_SHARE,
    SMALL_REQUEST_SHARE,
)


class HeldKind(StrEnum):
    """Kind of held bytes."""

    # Requests that are being received.
    INCOMING = "incoming"
    # Complete requests that wait or are at a server.
    REQUEST = "request"
    # Responses that are not passed on yet.
    RESPONSE = "response"
    # Bytes that a caller has not taken.
    UNSENT = "unsent"
    CONNECTION = "connection"


def _without_limit() -> HeldBytes:
    return HeldBytes(None)


@dataclass(slots=True)
class NodeBudget:
    """Bytes that a node holds, by kind, and their limit.

    Beyond the limit the largest incomplete request is given up. Requests of an ordinary
    size have a reserve above it, so that they are still served then. Complete requests
    are never given up. Responses have a limit of their own.
    """

    limit_bytes: int
    responses: HeldBytes
    incoming: HeldBytes = field(default_factory=_without_limit)
    requests: HeldBytes = field(default_factory=_without_limit)
    unsent: HeldBytes = field(default_factory=_without_limit)
    connections: int = 0

    def __post_init__(self) -> None:
        """Make room whenever bytes are added."""
        for held in (self.responses, self.incoming, self.requests, self.unsent):
            held.on_hold = self.make_room

    @property
    def held_bytes(self) -> int:
        """Return the bytes of all kinds."""
        return (
            self.incoming.held_bytes
            + self.requests.held_bytes
            + self.responses.held_bytes
            + self.unsent.held_bytes
            + self.connections * CONNECTION_BYTES
        )

    @property
    def by_kind(self) -> dict[HeldKind, int]:
        """Return the bytes of each kind."""
        return {
            HeldKind.INCOMING: self.incoming.held_bytes,
            HeldKind.REQUEST: self.requests.held_bytes,
            HeldKind.RESPONSE: self.responses.held_bytes,
            HeldKind.UNSENT: self.unsent.held_bytes,
            HeldKind.CONNECTION: self.connections * CONNECTION_BYTES,
        }

    @property
    def is_exceeded(self) -> bool:
        """Return whether more is held than the limit allows."""
        return self.held_bytes > self.limit_bytes

    @property
    def is_exhausted(self) -> bool:
        """Return whether the reserve of small requests is used up, too."""
        return self.held_bytes > self.limit_bytes * (1 + SMALL_REQUEST_SHARE)

    def add_connection(self) -> None:
        """Count an open connection."""
        self.connections += 1
        self.make_room()

    def remove_connection(self) -> None:
        """Stop counting a connection."""
        self.connections -= 1

    def make_room(self) -> None:
        """Give up incomplete requests while too much is held."""
        while self.is_exceeded:
            smallest = 0 if self.is_exhausted else MAX_SMALL_REQUEST_BYTES
            if not self.incoming.give_up_largest(smallest):
                return


def create_budget(memory_bytes: int, held_bytes: int | None = None) -> NodeBudget:
    """Return the budget of a node; `held_bytes` can only lower its limit."""
    limit_bytes = int(memory_bytes * HELD_MEMORY_SHARE)
    if held_bytes is not None:
        limit_bytes = min(limit_bytes, held_bytes)
    return NodeBudget(limit_bytes, HeldBytes(int(memory_bytes * RESPONSE_MEMORY_SHARE)))


def request_bytes(header_bytes: int, headers: int, body_bytes: int) -> int:
    """Return the memory that a request takes.

    A body takes twice its size: it grows in steps and is copied once when it is
    complete, and is encoded again for a server.
    """
    return header_bytes + headers * HEADER_BYTES + 2 * body_bytes
