"""Keeps SIGHUP from ending the program before it can handle the signal.

The default action of SIGHUP ends a process, and the modules of the program take a while
to import. This module imports nothing of the package, so that it can come first.
"""

import signal
from dataclasses import dataclass
from types import FrameType


@dataclass(slots=True)
class EarlyReload:
    """Whether SIGHUP came before the program could reload its settings."""

    requested: bool = False

    def install(self) -> None:
        """Record SIGHUP from now on, until another handler replaces this one."""
        signal.signal(signal.SIGHUP, self._on_signal)

    def _on_signal(self, _: int, __: FrameType | None) -> None:
        self.requested = True
