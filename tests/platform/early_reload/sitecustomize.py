"""Makes a process get SIGHUP while it imports the modules of its program."""

import os
import signal
import sys
from collections.abc import Sequence
from importlib.abc import MetaPathFinder
from types import ModuleType

_MODULE = "uvloop"


class _SignalOnImport(MetaPathFinder):
    """Sends the signal when the module is first looked for."""

    def find_spec(
        self, name: str, _: Sequence[str] | None, __: ModuleType | None = None
    ) -> None:
        """Send the signal once, and leave the import to the other finders."""
        if name == _MODULE:
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.SIGHUP)


sys.meta_path.insert(0, _SignalOnImport())
