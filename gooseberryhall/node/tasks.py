"""Tasks that run until the node stops."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

CreateTask = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]


class TaskSet:
    """Running tasks; a failure is logged."""

    def __init__(self) -> None:
        """Create an empty set in the running event loop."""
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    def create(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine."""
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    async def async_cancel(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        log_event(
            _LOGGER,
            LogEvent.TASK_FAILED,
            f"task failed: {task.exception()!r}",
            level=logging.ERROR,
        )
