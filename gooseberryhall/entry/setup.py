"""Sets up the components of the entry program."""

from collections.abc import Callable

from ..claims import service as claims_service
from ..core.context import ProgramContext
from ..limits.events import LimitsConfigured
from ..links.messages import Message
from ..requests import service as requests_service
from ..routing import service as routing_service
from .frontend import Frontend
from .reporting import async_setup_metrics
from .server import async_start_server, is_ready
from .stop import async_setup_stop


async def async_setup(ctx: ProgramContext, send: Callable[[Message], None]) -> Frontend:
    """Start the entry program; `send` sends a message to the control process."""
    settings = ctx.settings.entry
    ctx.runtime.async_dispatch(
        LimitsConfigured(settings.queue_limit, settings.queue_wait_limit_s)
    )
    calls = await requests_service.async_setup(ctx, send)
    routing_service.async_setup(ctx)
    async_setup_metrics(ctx, calls)
    frontend = Frontend(ctx, calls, claims_service.async_setup(ctx))
    await async_start_server(frontend)
    async_setup_stop(frontend)
    ctx.ops.ready_check = lambda: is_ready(frontend, ctx.runtime.state)
    return frontend
