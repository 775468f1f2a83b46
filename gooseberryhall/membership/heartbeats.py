"""Sends and receives heartbeats between control processes."""

from weakref import WeakKeyDictionary

from ..core.clock import now_s
from ..core.context import ProgramContext
from ..links.exceptions import MalformedFrameError
from ..links.hub import LinkHub
from ..links.identity import Role
from ..links.link import Link
from ..links.messages import Heartbeat
from .const import CHECK_LATE_S, HEARTBEAT_PERIOD_S, PEER_CHECK_PERIOD_S
from .events import HeartbeatReceived, PeerLinkClosed, PeerLinkOpened, PeersChecked
from .models import Node
from .peers import PeerDialler


def async_setup(ctx: ProgramContext, hub: LinkHub, dialler: PeerDialler) -> None:
    """Exchange heartbeats and remove silent peers until the program stops."""
    _send_heartbeats(ctx, hub)
    _receive_heartbeats(ctx, hub, dialler)
    _report_links(ctx, hub)
    _check_peers(ctx)


def own_node(ctx: ProgramContext) -> Node:
    """Return this node as peers are to know it."""
    settings = ctx.settings
    address = f"ws://{settings.control.host}:{settings.control.port}"
    return Node(settings.node, settings.zone, settings.region, ctx.incarnation, address)


def _send_heartbeats(ctx: ProgramContext, hub: LinkHub) -> None:
    """Send a heartbeat each period and when a link opens.

    The nodes are left out while they are unchanged, which keeps heartbeats small.
    """
    this = own_node(ctx)
    state = ctx.runtime.state
    told: WeakKeyDictionary[Link, tuple[Node, ...]] = WeakKeyDictionary()
    seq = 0

    def send_on(links: tuple[Link, ...]) -> None:
        nonlocal seq
        seq += 1
        known = tuple(peer.node for peer in state.membership.peers.values())
        short = Heartbeat(seq=seq, config_revision=state.config.revision)
        full = short.model_copy(update={"node": this, "known": known})
        changed = tuple(link for link in links if told.get(link) != known)
        hub.async_send_on(changed, full)
        hub.async_send_on([link for link in links if link not in changed], short)
        told.update((link, known) for link in changed)

    def on_open(link: Link) -> None:
        if link.role is Role.CONTROL:
            send_on((link,))

    hub.on_open(on_open)
    ctx.stack.callback(
        ctx.timer.async_subscribe(
            HEARTBEAT_PERIOD_S, lambda: send_on(hub.links(Role.CONTROL))
        )
    )


def _receive_heartbeats(
    ctx: ProgramContext, hub: LinkHub, dialler: PeerDialler
) -> None:
    nodes: WeakKeyDictionary[Link, Node] = WeakKeyDictionary()

    def on_heartbeat(link: Link, heartbeat: Heartbeat) -> None:
        if link.role is not Role.CONTROL:
            return
        if heartbeat.node is not None:
            if not _is_of(link, heartbeat.node):
                link.async_abort(MalformedFrameError("heartbeat of another node"))
                return
            nodes[link] = heartbeat.node
            for node in (heartbeat.node, *heartbeat.known):
                dialler.async_learn(node)
        sender = nodes.get(link)
        if sender is not None:
            ctx.runtime.async_dispatch(HeartbeatReceived(sender))

    hub.subscribe(Heartbeat, on_heartbeat)


def _is_of(link: Link, node: Node) -> bool:
    """Return whether a node is the one that proved its identity on the link."""
    proved = (link.node, link.zone, link.incarnation)
    return (node.node, node.zone, node.incarnation) == proved


def _report_links(ctx: ProgramContext, hub: LinkHub) -> None:
    def on_open(link: Link) -> None:
        if link.role is Role.CONTROL:
            ctx.runtime.async_dispatch(PeerLinkOpened(link.node))

    def on_close(link: Link) -> None:
        if link.role is not Role.CONTROL or hub.peer(link.node) is not None:
            return
        ctx.runtime.async_dispatch(
            PeerLinkClosed(link.node, link.incarnation, link.ended_on_purpose)
        )

    hub.on_open(on_open)
    hub.on_close(on_close)


def _check_peers(ctx: ProgramContext) -> None:
    checked_s = now_s()

    def check() -> None:
        nonlocal checked_s
        late = now_s() - checked_s > PEER_CHECK_PERIOD_S + CHECK_LATE_S
        checked_s = now_s()
        # After a pause of this process, heartbeats that already arrived come first.
        if not late:
            ctx.runtime.async_dispatch(PeersChecked())

    ctx.stack.callback(ctx.timer.async_subscribe(PEER_CHECK_PERIOD_S, check))
