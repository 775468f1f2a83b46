"""Links the entry and admin programs to a control process."""

from ..core.context import ProgramContext
from ..links.client import async_maintain
from ..links.hub import LinkHub
from ..links.setup import create_hub
from . import receive
from .effects import MemberChanged
from .records import add_collector, record_member_change


def async_setup(ctx: ProgramContext) -> LinkHub:
    """Maintain a link to the local control process, or to another if it is down.

    Returns the hub with which other packages send to the control process and subscribe
    to its messages.
    """
    hub = create_hub(ctx)
    receive.subscribe(ctx, hub)
    ctx.runtime.register(
        MemberChanged, lambda effect: record_member_change(ctx, effect)
    )
    add_collector(ctx)
    maintained = async_maintain(control_addresses(ctx), hub.identity, hub.handlers)
    ctx.async_create_task(maintained, "link to control")
    return hub


def control_addresses(ctx: ProgramContext) -> tuple[str, ...]:
    """Return control process addresses in order: own VM, own zone, other zones."""
    settings = ctx.settings
    local = f"ws://{settings.control.host}:{settings.control.port}"
    peers = sorted(settings.peers, key=lambda peer: peer.zone != settings.zone)
    return (local, *(peer.control_address for peer in peers))
