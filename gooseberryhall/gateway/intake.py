"""What the connections of callers share: their bounds and the node's byte budget."""

import logging
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol, TypeVar

from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .const import (
    CONNECTION_BYTES,
    CONNECTION_DESCRIPTOR_SHARE,
    CONNECTION_MEMORY_SHARE,
    MAX_BODY_S,
    MAX_BYTES_PER_BODY_BYTE,
    MAX_UNREAD_S,
    MIN_CONNECTIONS,
    MIN_RECEIVE_BUFFER_BYTES,
    RECEIVE_BUFFER_BYTES,
    RECEIVE_MEMORY_SHARE,
    RESERVED_DESCRIPTORS,
)
from .held import NodeBudget
from .metrics import GatewayMetrics
from .pacing import PartPacer

_LOGGER = logging.getLogger(__name__)


class InputRefusal(StrEnum):
    """Why a caller's request or connection was ended by the node."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    # The caller does not take its response.
    NOT_READ = "not_read"
    HEAD = "head"
    BODY = "body"
    # Bytes between two requests or between parts of a body.
    OVERHEAD = "overhead"
    TIME = "time"
    MALFORMED = "malformed"


class OpenConnection(Protocol):
    """A connection as the bounds see it."""

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is received, handled or sent, and nothing expected."""

    @property
    def is_unserved(self) -> bool:
        """Return whether no complete request waits for its response."""

    @property
    def since_s(self) -> float:
        """Return when the connection became idle, or when its request began."""


class ReadingCaller(Protocol):
    """A connection whose caller may not take its response."""

    def untaken_s(self, now_s: float) -> float:
        """Return for how long the caller has taken nothing of what waits for it."""

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that wait for the caller."""


_Conn = TypeVar("_Conn", bound=OpenConnection)
_Reader = TypeVar("_Reader", bound=ReadingCaller)


def max_connections(
    memory_bytes: int, descriptors: int, lowered: int | None = None
) -> int:
    """Return how many callers may be connected; `lowered` can only lower it.

    A caller's request needs further descriptors for its servers, and idle connections
    to servers are kept.
    """
    by_memory = int(memory_bytes * CONNECTION_MEMORY_SHARE) // CONNECTION_BYTES
    usable = descriptors - RESERVED_DESCRIPTORS
    by_descriptors = int(usable * CONNECTION_DESCRIPTOR_SHARE)
    allowed = max(MIN_CONNECTIONS, min(by_memory, by_descriptors))
    return allowed if lowered is None else min(allowed, lowered)


def receive_buffer_bytes(memory_bytes: int, connections: int) -> int | None:
    """Return the receive buffer of the next connection; None leaves it to the system.

    Load pattern: the kernel keeps what many callers send while the node is busy.
    """
    share = int(memory_bytes * RECEIVE_MEMORY_SHARE) // max(1, connections)
    if share >= RECEIVE_BUFFER_BYTES:
        return None
    return max(MIN_RECEIVE_BUFFER_BYTES, share)


def choose_closed(connections: Iterable[_Conn]) -> _Conn | None:
    """Return the connection that is closed if there are too many.

    The longest idle one, or else that of the oldest incomplete request. Connections
    with complete requests are not closed.
    """
    idle: _Conn | None = None
    incomplete: _Conn | None = None
    for conn in connections:
        if conn.is_idle:
            if idle is None or conn.since_s < idle.since_s:
                idle = conn
        elif conn.is_unserved and (
            incomplete is None or conn.since_s < incomplete.since_s
        ):
            incomplete = conn
    return idle or incomplete


def choose_unread(
    readers: Iterable[_Reader],
    now_s: float,
    *,
    idle_timeout_s: float,
    max_unread_s: float,
    excess_bytes: int,
) -> list[_Reader]:
    """Return the callers that are given up because they do not take their responses.

    All that took nothing for the idle timeout, and while the budget is exceeded the
    largest of those that took nothing for `max_unread_s`.
    """
    chosen = []
    waiting = sorted(readers, key=lambda reader: reader.unsent_bytes, reverse=True)
    for reader in waiting:
        # Called for all of them, as it notes what was taken.
        untaken_s = reader.untaken_s(now_s)
        is_needed = excess_bytes > 0 and untaken_s >= max_unread_s
        if untaken_s >= idle_timeout_s or is_needed:
            chosen.append(reader)
            excess_bytes -= reader.unsent_bytes
    return chosen


@dataclass(frozen=True, slots=True)
class InputBounds:
    """Bounds on how slowly and in how small pieces callers may send and read."""

    # Longest time for a body, if its request has a later deadline.
    max_body_s: float = MAX_BODY_S
    # Time after which a caller that reads nothing is given up while too much is held.
    max_unread_s: float = MAX_UNREAD_S
    # Bytes received for each byte of a body.
    bytes_per_body_byte: int = MAX_BYTES_PER_BODY_BYTE


@dataclass(slots=True)
class Intake:
    """State that the connections of all callers share."""

    held: NodeBudget
    metrics: GatewayMetrics
    memory_bytes: int
    # Headers with the id of a request, and with the time that a caller waits.
    id_header: bytes = b""
    deadline_header: bytes = b""
    bounds: InputBounds = InputBounds()
    rng: random.Random = field(default_factory=random.Random)
    pacer: PartPacer = field(default_factory=PartPacer)
    _refusals: Counter[InputRefusal] = field(default_factory=Counter)

    def count_refusal(self, reason: InputRefusal) -> None:
        """Count a request or connection that the node ended."""
        self._refusals[reason] += 1
        self.metrics.input_refusals.inc({"reason": reason.value})

    def report(self) -> None:
        """Update the metrics, and log the refusals since the last report."""
        for kind, size in self.held.by_kind.items():
            self.metrics.held_bytes.set({"kind": kind.value}, size)
        if not self._refusals:
            return
        refusals, self._refusals = self._refusals, Counter()
        log_event(
            _LOGGER,
            LogEvent.INPUT_REFUSED,
            "requests or connections outside the limits were refused",
            reasons={reason.value: count for reason, count in refusals.items()},
            held_bytes=self.held.held_bytes,
            limit_bytes=self.held.limit_bytes,
        )
