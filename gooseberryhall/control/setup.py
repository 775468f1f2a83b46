"""Sets up the components of the control program."""

from functools import partial

from ..config import relay as config_relay
from ..config import service as config_service
from ..core.context import ProgramContext
from ..groups import service as groups_service
from ..links.server import async_serve
from ..links.setup import create_hub
from ..membership import live_nodes
from ..membership import service as membership_service


async def async_setup(ctx: ProgramContext) -> None:
    """Start all components of the control program."""
    hub = create_hub(ctx)
    listen = ctx.settings.control
    # Stops last, since the other components send messages on links while they stop.
    await ctx.stack.enter_async_context(
        async_serve(listen.host, listen.port, hub.identity, hub.handlers)
    )
    await membership_service.async_setup(ctx, hub)
    live_nodes.async_setup_control(ctx, hub)
    config_relay.async_setup_control(ctx, hub)
    await config_service.async_setup(
        ctx, request_from_peer=partial(config_relay.request_from_peer, hub)
    )
    await groups_service.async_setup(ctx, hub.async_send)
    ctx.ops.ready = True
