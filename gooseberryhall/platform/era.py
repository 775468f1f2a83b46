"""Era of the platform's store, which begins when it comes back from an earlier copy."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

# Time in which the operator and the servers write again what the store lost.
RESTORATION_S: Final = 2.0

EraListener = Callable[[int, int], None]
"""Called with the last era and the new one."""


@dataclass(slots=True)
class StoreEra:
    """The era that the answers of the store state; tells its listeners of a new one.

    Versions of rows are comparable within an era only. All times are of one clock of
    the caller.
    """

    # None until the store stated one; platforms without eras state none.
    current: int | None = None
    _restored_s: float = 0.0
    _listeners: list[EraListener] = field(default_factory=list)

    def subscribe(self, listener: EraListener) -> None:
        """Call a listener whenever the store went back to an earlier copy."""
        self._listeners.append(listener)

    def observe(self, era: int | None, known: int | None, now_s: float) -> bool:
        """Record the era of an answer; return False if the answer is outdated.

        `known` is the era that was current when the call began. Answers of another call
        may have told of a later era meanwhile.
        """
        if era is None or era == self.current:
            return True
        if self.current is not None and era < self.current and known != self.current:
            return False
        last, self.current = self.current, era
        if last is not None:
            self._restored_s = now_s + RESTORATION_S
            for listener in self._listeners:
                listener(last, era)
        return True

    def restoring_s(self, now_s: float) -> float:
        """Return for how long rows that the store lost may still be missing."""
        return max(0.0, self._restored_s - now_s)
