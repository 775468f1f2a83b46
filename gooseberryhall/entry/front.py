"""State of the callers' side of the entry program."""

import asyncio
from dataclasses import dataclass, field

from ..core.context import ProgramContext
from ..requests.models import ModelRequest
from ..requests.relay import Calls, Deliver, async_run_request


@dataclass(slots=True)
class Front:
    """What the handlers share.

    `ready` is what the load balancer is told; `accepting` ends a while later in a
    planned stop. `in_flight` counts the requests that are being answered.
    """

    ctx: ProgramContext
    calls: Calls
    stopping: bool = False
    accepting: bool = True
    in_flight: int = 0
    idle: asyncio.Event = field(default_factory=asyncio.Event)

    def enter(self) -> None:
        """Count a request that starts."""
        self.in_flight += 1
        self.idle.clear()

    def leave(self) -> None:
        """Count a request that ends."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self.idle.set()

    async def async_run(
        self, request: ModelRequest, body: bytes, deliver: Deliver
    ) -> None:
        """Run a model request. Raises RequestFailedError."""
        await async_run_request(self.ctx, self.calls, request, body, deliver)
