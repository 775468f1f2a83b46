"""Context that the components of a program share."""

import asyncio
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import aiohttp

from ..settings.models import NodeSettings
from ..telemetry.ops import OpsState
from .runtime import Runtime
from .tasks import TaskSet
from .timer import TimerService


class Program(StrEnum):
    """The programs of an entry VM."""

    ENTRY = "entry"
    CONTROL = "control"
    ADMIN = "admin"


@dataclass(slots=True)
class ProgramContext:
    """Runtime, timer, HTTP session and lifecycle of a program.

    SIGTERM and SIGINT set `stopping`. Then `stack` runs its callbacks in reverse order:
    components that drain first, then the resources that they use.
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
    tasks: TaskSet = field(default_factory=TaskSet)

    def async_create_task(
        self, coroutine: Coroutine[Any, Any, Any], name: str
    ) -> asyncio.Task[Any]:
        """Run a coroutine until it ends or the program stops; log a failure."""
        return self.tasks.create(coroutine, name)

    async def async_cancel_tasks(self) -> None:
        """Cancel all tasks and wait until they end."""
        await self.tasks.async_cancel()
