"""Distributes the list of live entry VMs to the entry programs.

Rates that are configured for the whole deployment are divided by the number of nodes,
and the regions of the nodes show which zones are near. During a network partition each
side counts only its own nodes, so both sides together can use twice the rate.
"""

from weakref import WeakKeyDictionary

from ..core.context import ProgramContext
from ..links.hub import LinkHub
from ..links.identity import Role
from ..links.link import Link
from ..links.messages import LiveNodes
from .const import LIVE_NODES_PERIOD_S
from .events import LiveNodesListed
from .heartbeats import describe_local_node
from .models import Node


def async_setup_control(ctx: ProgramContext, hub: LinkHub) -> None:
    """Send the live nodes to entry programs when a link opens and after changes."""
    membership = ctx.runtime.state.membership
    local_node = describe_local_node(ctx)
    last_sent: WeakKeyDictionary[Link, tuple[Node, ...]] = WeakKeyDictionary()

    def send_on(link: Link) -> None:
        # This node is included, because an entry program of another VM may have failed
        # over to this control process.
        nodes = (local_node, *(peer.node for peer in membership.peers.values()))
        if last_sent.get(link) == nodes:
            return
        last_sent[link] = nodes
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
    """Apply the lists of live nodes from the control process.

    Until the first list arrives, all configured nodes count as live, so that a node
    that has just started does not use the whole rate of a team.
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
