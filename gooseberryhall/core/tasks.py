"""Background tasks, which are cancelled when a program stops."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

CreateTask = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]


class TaskSet:
    """Set of running tasks; the failure of a task is logged."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def create(
        self, coro: Coroutine[Any, Any, Any], name: str | None = None
    ) -> asyncio.Task[Any]:
        """Run a coroutine until it ends or the tasks are cancelled."""
        task = asyncio.create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def async_cancel(self) -> None:
        """Cancel all tasks and wait until they end."""
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
