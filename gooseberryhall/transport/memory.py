"""Limits the memory of all responses that are received at the same time."""

from dataclasses import dataclass, field
from typing import Protocol


class HoldingExchange(Protocol):
    """An exchange whose response is kept in memory."""

    @property
    def is_incomplete(self) -> bool:
        """Return whether more of the response may arrive."""

    def abort_for_memory(self) -> None:
        """Fail, close the connection and drop what was received."""


@dataclass(slots=True)
class ResponseMemory:
    """Bytes of responses that were received and not passed on yet.

    Beyond the limit the largest incomplete response is given up. A server that sends
    bytes without end is found in this way, and the requests at others go on.
    """

    limit_bytes: int
    held_bytes: int = 0
    _held: dict[HoldingExchange, int] = field(default_factory=dict)

    def hold(self, exchange: HoldingExchange, size: int) -> None:
        """Count bytes that an exchange has received."""
        self._held[exchange] = self._held.get(exchange, 0) + size
        self.held_bytes += size
        while self.held_bytes > self.limit_bytes:
            largest = self._find_largest()
            if largest is None:
                return
            largest.abort_for_memory()
            self.release(largest)

    def release(self, exchange: HoldingExchange, size: int | None = None) -> None:
        """Stop to count bytes of an exchange, or all of them."""
        held = self._held.pop(exchange, 0)
        released = held if size is None else min(size, held)
        self.held_bytes -= released
        if held > released:
            self._held[exchange] = held - released

    def _find_largest(self) -> HoldingExchange | None:
        incomplete = [exchange for exchange in self._held if exchange.is_incomplete]
        return max(incomplete, key=self._held.__getitem__, default=None)
