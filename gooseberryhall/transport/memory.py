"""Counts what is held in memory for others, and gives up what is too much."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol


class Holder(Protocol):
    """Something that is received piece by piece and kept in memory."""

    @property
    def is_incomplete(self) -> bool:
        """Return whether more of it may arrive."""

    def abort_for_memory(self) -> None:
        """Fail, close the connection and drop what was received."""


def _do_nothing() -> None:
    """Do nothing; the default callback."""


@dataclass(slots=True)
class HeldBytes:
    """Bytes of one kind that were received and not passed on yet.

    Beyond the limit the largest incomplete holder is given up, the newest of several
    that are as large. A peer that sends bytes without end is found in this way, and the
    others go on. Without a limit nothing is given up here.
    """

    limit_bytes: int | None
    held_bytes: int = 0
    # Called after bytes were added.
    on_hold: Callable[[], None] = _do_nothing
    _held: dict[Holder, int] = field(default_factory=dict)

    def hold(self, holder: Holder, size: int) -> None:
        """Count bytes that a holder has received."""
        self._held[holder] = self._held.get(holder, 0) + size
        self.held_bytes += size
        if self.limit_bytes is not None:
            while self.held_bytes > self.limit_bytes and self.give_up_largest():
                pass
        self.on_hold()

    def release(self, holder: Holder, size: int | None = None) -> None:
        """Stop counting `size` bytes of a holder, or all of them."""
        held = self._held.pop(holder, 0)
        released = held if size is None else min(size, held)
        self.held_bytes -= released
        if held > released:
            self._held[holder] = held - released

    def update(self, holder: Holder, size: int) -> None:
        """Count this size for a holder instead of what was counted before."""
        change = size - self._held.get(holder, 0)
        if change > 0:
            self.hold(holder, change)
        elif change < 0:
            self.release(holder, -change)

    def give_up_largest(self, more_than_bytes: int = 0) -> bool:
        """Give up the largest incomplete holder above a size, if there is one."""
        incomplete = [
            holder
            for holder, size in reversed(self._held.items())
            if size > more_than_bytes and holder.is_incomplete
        ]
        largest = max(incomplete, key=self._held.__getitem__, default=None)
        if largest is None:
            return False
        largest.abort_for_memory()
        self.release(largest)
        return True
