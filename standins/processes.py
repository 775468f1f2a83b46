"""Processes that a cluster starts and signals by process id."""

import asyncio
import ctypes
import os
import signal
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
POLL_PERIOD_S = 0.02
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)


class ProcessError(Exception):
    """A process did not start, exit or become ready in time."""


@dataclass(slots=True)
class ManagedProcess:
    """A process, its command and its log file."""

    name: str
    command: list[str]
    log: Path
    environment: dict[str, str] = field(default_factory=dict)
    popen: subprocess.Popen[bytes] | None = None
    is_paused: bool = False

    @property
    def pid(self) -> int:
        """Return the id of the running process. Raises ProcessError."""
        if self.popen is None:
            raise ProcessError(f"{self.name} has not been started")
        return self.popen.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self.popen is not None and self.popen.poll() is None

    def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        if self.is_running:
            raise ProcessError(f"{self.name} is already running")
        environment = {**os.environ, "PYTHONPATH": str(ROOT), **self.environment}
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, *self.command],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
                start_new_session=True,
                # The child must also end when this process is killed.
                preexec_fn=_set_parent_death_signal,  # noqa: PLW1509
            )
        self.is_paused = False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to a running process."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.send_signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP, which it cannot notice."""
        self.send_signal(signal.SIGSTOP)
        self.is_paused = True

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.send_signal(signal.SIGCONT)
        self.is_paused = False

    def terminate(self) -> None:
        """Send SIGTERM to the process."""
        self.send_signal(signal.SIGTERM)

    async def async_wait_ended(self, limit_s: float) -> int:
        """Wait for the exit, return its code. Raises ProcessError after `limit_s`."""
        deadline_s = time.monotonic() + limit_s
        while self.popen is not None:
            code = self.popen.poll()
            if code is not None:
                return code
            if time.monotonic() > deadline_s:
                break
            await asyncio.sleep(POLL_PERIOD_S)
        raise ProcessError(f"{self.name} did not exit within {limit_s} s")

    async def async_restart(self) -> None:
        """Kill the process if it runs and start it again with empty memory."""
        self.kill()
        self.start()

    def log_tail(self, lines: int = 20) -> str:
        """Return the last lines of the log."""
        if not self.log.exists():
            return ""
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-lines:])


@dataclass(slots=True)
class ProcessSet:
    """All processes of a cluster."""

    directory: Path
    by_name: dict[str, ManagedProcess] = field(default_factory=dict)

    def add(
        self,
        name: str,
        command: Sequence[str],
        environment: Mapping[str, str] | None = None,
    ) -> ManagedProcess:
        """Start a process and add it to the set."""
        log = self.directory / f"{name}.log"
        process = ManagedProcess(name, list(command), log, dict(environment or {}))
        self.by_name[name] = process
        process.start()
        return process

    def kill_all(self) -> None:
        """Kill every process."""
        for process in self.by_name.values():
            process.send_signal(signal.SIGKILL)
        for process in self.by_name.values():
            process.kill()


def _set_parent_death_signal() -> None:
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
