"""Builds the administration program from its parts."""

import socket

from ..adapters.table import HttpTable, Table
from ..config.effects import ConfigApplied, RequestConfig
from ..config.service import config_status, create_poll, record_applied
from ..core.context import ProgramContext
from .app import APP_NAME, async_serve, create_app
from .links import ControlLink
from .services import AdminServices
from .timelines import create_timeline_reader

LISTEN_BACKLOG = 128


async def async_setup(
    ctx: ProgramContext, *, table: Table | None = None, name: str = APP_NAME
) -> tuple[str, int]:
    """Start the administration API and return its address."""
    source = table or HttpTable(ctx.session, ctx.settings.platform.table_address)
    link = ControlLink(ctx)
    _keep_config_current(ctx, source)
    services = AdminServices(
        settings=ctx.settings,
        runtime=ctx.runtime,
        table=source,
        send_change=link.async_send_change,
        is_linked=lambda: link.is_open,
        async_read_timeline=create_timeline_reader(ctx.session, ctx.settings),
        record=ctx.ops.timeline.record,
    )
    sock = _bind(ctx.settings.admin.host, ctx.settings.admin.port)
    address = sock.getsockname()
    ctx.stack.push_async_callback(await async_serve(create_app(services, name), sock))
    ctx.ops.add_status("config", lambda: config_status(ctx.runtime))
    ctx.ops.add_status("control_link", lambda: {"open": link.is_open})
    ctx.ops.ready = True
    return (address[0], address[1])


def _keep_config_current(ctx: ProgramContext, table: Table) -> None:
    """Read the configuration once, and again when the link has left a gap."""
    poll = create_poll(ctx, table)
    ctx.runtime.register(RequestConfig, lambda _effect: poll())
    ctx.runtime.register(ConfigApplied, lambda effect: record_applied(ctx, effect))
    poll()


def _bind(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock
