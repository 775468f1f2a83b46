"""Exchanges heartbeats between control processes."""

from collections.abc import Callable
from weakref import WeakKeyDictionary

from ..core.clock import now_s
from ..core.context import ProgramContext
from ..links.exceptions import MalformedFrameError
from ..links.hub import LinkHub
from ..links.identity import Role
from ..links.link import Link
from ..links.messages import EvidenceDigest, Heartbeat
from .const import CHECK_DELAY_TOLERANCE_S, HEARTBEAT_PERIOD_S
from .events import HeartbeatReceived, PeerCheckDue, PeerLinkClosed, PeerLinkOpened
from .models import Node
from .peers import PeerDialler

NextDigest = Callable[[Link], EvidenceDigest | None]
OnDigest = Callable[[Link, EvidenceDigest], None]


def async_setup(
    ctx: ProgramContext,
    hub: LinkHub,
    dialler: PeerDialler,
    next_digest: NextDigest,
    on_digest: OnDigest,
) -> None:
    """Exchange heartbeats, which carry evidence, and report opened and closed links."""
    _send_heartbeats(ctx, hub, next_digest)
    _receive_heartbeats(ctx, hub, dialler, on_digest)
    _report_links(ctx, hub)


def describe_local_node(ctx: ProgramContext) -> Node:
    """Return the description of this node that is sent to peers."""
    settings = ctx.settings
    address = f"ws://{settings.control.host}:{settings.control.port}"
    return Node(settings.node, settings.zone, settings.region, ctx.incarnation, address)


def _send_heartbeats(
    ctx: ProgramContext, hub: LinkHub, next_digest: NextDigest
) -> None:
    """Send a heartbeat in each period and when a link opens.

    Nodes are included only when they changed, which keeps heartbeats small.
    """
    local_node = describe_local_node(ctx)
    state = ctx.runtime.state
    last_sent: WeakKeyDictionary[Link, tuple[Node, ...]] = WeakKeyDictionary()

    def send_on(link: Link) -> None:
        known_nodes = tuple(peer.node for peer in state.membership.peers.values())
        changed = last_sent.get(link) != known_nodes
        last_sent[link] = known_nodes
        link.async_send(
            Heartbeat(
                node=local_node if changed else None,
                seq=link.async_next_ping(),
                config_revision=state.config.revision,
                known=known_nodes if changed else (),
                evidence=next_digest(link),
            )
        )

    def on_open(link: Link) -> None:
        if link.role is Role.CONTROL:
            send_on(link)

    def send_on_all() -> None:
        for link in hub.links(Role.CONTROL):
            send_on(link)

    hub.on_open(on_open)
    ctx.stack.callback(ctx.timer.async_subscribe(HEARTBEAT_PERIOD_S, send_on_all))


def _receive_heartbeats(
    ctx: ProgramContext, hub: LinkHub, dialler: PeerDialler, on_digest: OnDigest
) -> None:
    nodes: WeakKeyDictionary[Link, Node] = WeakKeyDictionary()

    def on_heartbeat(link: Link, heartbeat: Heartbeat) -> None:
        if link.role is not Role.CONTROL:
            return
        if heartbeat.node is not None:
            if not _matches_identity(link, heartbeat.node):
                link.async_abort(MalformedFrameError("heartbeat of another node"))
                return
            nodes[link] = heartbeat.node
            for node in (heartbeat.node, *heartbeat.known):
                dialler.async_add_node(node)
        sender = nodes.get(link)
        if sender is not None:
            ctx.runtime.async_dispatch(HeartbeatReceived(sender))
        if heartbeat.evidence is not None:
            on_digest(link, heartbeat.evidence)

    hub.subscribe(Heartbeat, on_heartbeat)


def _matches_identity(link: Link, node: Node) -> bool:
    """Return whether a node is the one that authenticated itself on the link."""
    authenticated = (link.node, link.zone, link.incarnation)
    return (node.node, node.zone, node.incarnation) == authenticated


def _report_links(ctx: ProgramContext, hub: LinkHub) -> None:
    def on_open(link: Link) -> None:
        if link.role is Role.CONTROL:
            ctx.runtime.async_dispatch(PeerLinkOpened(link.node))

    def on_close(link: Link) -> None:
        if link.role is not Role.CONTROL or hub.peer_link(link.node) is not None:
            return
        ctx.runtime.async_dispatch(PeerLinkClosed(link.node, link.incarnation))

    hub.on_open(on_open)
    hub.on_close(on_close)


def create_peer_check(ctx: ProgramContext, period_s: float) -> Callable[[], None]:
    """Return a function to call in each period that removes unresponsive peers."""
    last_check_s = now_s()

    def check() -> None:
        nonlocal last_check_s
        delayed = now_s() - last_check_s > period_s + CHECK_DELAY_TOLERANCE_S
        last_check_s = now_s()
        # After a pause of this process, heartbeats that have arrived meanwhile must be
        # handled before peers are removed.
        if not delayed:
            ctx.runtime.async_dispatch(PeerCheckDue())

    return check
