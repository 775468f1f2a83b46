"""Sets up the components of the administration program."""

import socket

from ..adapters.table import HttpTable, Table
from ..adapters.vms import HttpVmList, VmList
from ..config import relay as config_relay
from ..config.operations import Change
from ..config.service import create_poll
from ..core.context import ProgramContext
from ..links.identity import Role
from ..links.messages import ConfigChanges
from ..membership import client as membership_client
from .app import APP_NAME, async_serve, create_app
from .ops_readers import create_planner_reader, create_timeline_reader
from .services import AdminServices

LISTEN_BACKLOG = 128


async def async_setup(
    ctx: ProgramContext,
    *,
    table: Table | None = None,
    vm_list: VmList | None = None,
    name: str = APP_NAME,
) -> tuple[str, int]:
    """Start the administration API and return its address."""
    config_table = table or HttpTable(ctx.session, ctx.settings.platform.table_address)
    vms = vm_list or HttpVmList(ctx.session, ctx.settings.platform.vms_address)
    hub = membership_client.async_setup(ctx)
    config_relay.async_setup_client(ctx, hub)
    # Poll the table once, in case no control process is available.
    create_poll(ctx, config_table)()

    def is_linked() -> bool:
        return bool(hub.links(Role.CONTROL))

    def send_change(change: Change) -> None:
        hub.async_send(ConfigChanges(changes=(change,)), Role.CONTROL)

    services = AdminServices(
        settings=ctx.settings,
        runtime=ctx.runtime,
        table=config_table,
        vm_list=vms,
        send_change=send_change,
        is_linked=is_linked,
        async_read_timeline=create_timeline_reader(ctx.session, ctx.settings),
        async_read_planner=create_planner_reader(ctx.session, ctx.settings),
        record_event=ctx.ops.timeline.record,
    )
    sock = _create_listening_socket(ctx.settings.admin.host, ctx.settings.admin.port)
    address = sock.getsockname()
    ctx.stack.push_async_callback(await async_serve(create_app(services, name), sock))
    ctx.ops.add_status("control_link", lambda: {"open": is_linked()})
    ctx.ops.ready = True
    return (address[0], address[1])


def _create_listening_socket(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock
