"""Puts the parts of the entry program together."""

from collections.abc import Callable

from ..claims import service as claims_service
from ..core.context import ProgramContext
from ..limits.events import LimitsConfigured
from ..links.messages import Message
from ..requests import service as requests_service
from ..routing import service as routing_service
from .front import Front
from .reporting import async_setup_metrics
from .server import async_start_server, is_ready
from .stop import async_setup_stop


async def async_setup(ctx: ProgramContext, send: Callable[[Message], None]) -> Front:
    """Start the entry program; `send` passes a message to the control process."""
    settings = ctx.settings.entry
    ctx.runtime.async_dispatch(
        LimitsConfigured(settings.queue_limit, settings.queue_wait_limit_s)
    )
    calls = await requests_service.async_setup(ctx, send)
    routing_service.async_setup(ctx)
    async_setup_metrics(ctx, calls)
    front = Front(ctx, calls, claims_service.async_setup(ctx))
    await async_start_server(front)
    async_setup_stop(front)
    ctx.ops.ready_check = lambda: is_ready(front, ctx.runtime.state)
    return front
