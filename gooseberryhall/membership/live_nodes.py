"""Tells the entry programs which other entry VMs are alive.

Rates that hold for the whole deployment are divided by their number, and their regions
tell which zones are near. During a partition each side counts only its own nodes, so
that together they can use twice the rate.
"""

from weakref import WeakKeyDictionary

from ..core.context import ProgramContext
from ..links.hub import LinkHub
from ..links.identity import Role
from ..links.link import Link
from ..links.messages import LiveNodes
from .const import LIVE_NODES_PERIOD_S
from .events import LiveNodesListed
from .heartbeats import own_node
from .models import Node


def async_setup_control(ctx: ProgramContext, hub: LinkHub) -> None:
    """Send the live peers to the entry program, on opening and after changes."""
    membership = ctx.runtime.state.membership
    this = own_node(ctx)
    told: WeakKeyDictionary[Link, tuple[Node, ...]] = WeakKeyDictionary()

    def send_on(link: Link) -> None:
        # An entry program that fails over is on another VM than this control process.
        nodes = (this, *(peer.node for peer in membership.peers.values()))
        if told.get(link) == nodes:
            return
        told[link] = nodes
        link.async_send(LiveNodes(nodes=nodes))

    def on_open(link: Link) -> None:
        if link.role is Role.ENTRY:
            send_on(link)

    def send_changes() -> None:
        for link in hub.links(Role.ENTRY):
            send_on(link)

    hub.on_open(on_open)
    ctx.stack.callback(ctx.timer.async_subscribe(LIVE_NODES_PERIOD_S, send_changes))


def async_setup_client(ctx: ProgramContext, hub: LinkHub) -> None:
    """Take the live peers from the control process.

    Until the first message all configured nodes count, so that a node that has just
    started does not use the whole rate of a team.
    """
    configured = tuple(
        Node(peer.node, peer.zone, "", "", peer.control_address)
        for peer in ctx.settings.peers
    )
    ctx.runtime.async_dispatch(LiveNodesListed(configured))

    def on_nodes(link: Link, message: LiveNodes) -> None:
        if link.role is Role.CONTROL:
            ctx.runtime.async_dispatch(LiveNodesListed(message.nodes))

    hub.subscribe(LiveNodes, on_nodes)
    membership = ctx.runtime.state.membership
    ctx.ops.add_status("live_nodes", lambda: {"others": sorted(membership.peers)})
