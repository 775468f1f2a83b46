"""What the parts of a program share."""

import asyncio
import logging
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import aiohttp

from ..settings.models import NodeSettings
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from ..telemetry.ops import OpsState
from .runtime import Runtime
from .timer import TimerService

_LOGGER = logging.getLogger(__name__)


class Program(StrEnum):
    """The programs of an entry VM."""

    ENTRY = "entry"
    CONTROL = "control"
    ADMIN = "admin"


@dataclass(slots=True)
class ProgramContext:
    """Runtime, timer, HTTP session and life cycle of a program.

    `stopping` is set by SIGTERM and SIGINT. `stack` closes resources in reverse order
    after `async_drain` callbacks have run.
    """

    program: Program
    settings: NodeSettings
    runtime: Runtime
    timer: TimerService
    session: aiohttp.ClientSession
    stack: AsyncExitStack
    ops: OpsState
    incarnation: str
    stopping: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    def async_create_task(
        self, coroutine: Coroutine[Any, Any, Any], name: str
    ) -> asyncio.Task[Any]:
        """Run a coroutine until it ends or the program stops; log its failure."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def async_cancel_tasks(self) -> None:
        """Cancel all tasks and wait for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        log_event(
            _LOGGER,
            LogEvent.TASK_FAILED,
            "background task failed",
            level=logging.ERROR,
            task=task.get_name(),
            error=repr(task.exception()),
        )
