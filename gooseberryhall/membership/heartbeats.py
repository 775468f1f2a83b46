"""Sends and receives heartbeats between control processes."""

from collections.abc import Callable
from weakref import WeakKeyDictionary

from ..core.clock import now_s
from ..core.context import ProgramContext
from ..links.exceptions import MalformedFrameError
from ..links.hub import LinkHub
from ..links.identity import Role
from ..links.link import Link
from ..links.messages import EvidenceDigest, Heartbeat
from .const import CHECK_LATE_S, HEARTBEAT_PERIOD_S
from .events import HeartbeatReceived, PeerLinkClosed, PeerLinkOpened, PeersChecked
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
    """Exchange heartbeats with evidence and remove silent peers."""
    _send_heartbeats(ctx, hub, next_digest)
    _receive_heartbeats(ctx, hub, dialler, on_digest)
    _report_links(ctx, hub)


def own_node(ctx: ProgramContext) -> Node:
    """Return this node as peers are to know it."""
    settings = ctx.settings
    address = f"ws://{settings.control.host}:{settings.control.port}"
    return Node(settings.node, settings.zone, settings.region, ctx.incarnation, address)


def _send_heartbeats(
    ctx: ProgramContext, hub: LinkHub, next_digest: NextDigest
) -> None:
    """Send a heartbeat each period and when a link opens.

    The nodes are left out while they are unchanged, which keeps heartbeats small.
    """
    this = own_node(ctx)
    state = ctx.runtime.state
    told: WeakKeyDictionary[Link, tuple[Node, ...]] = WeakKeyDictionary()

    def send_on(link: Link) -> None:
        known = tuple(peer.node for peer in state.membership.peers.values())
        changed = told.get(link) != known
        told[link] = known
        link.async_send(
            Heartbeat(
                node=this if changed else None,
                seq=link.async_next_ping(),
                config_revision=state.config.revision,
                known=known if changed else (),
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
            if not _is_of(link, heartbeat.node):
                link.async_abort(MalformedFrameError("heartbeat of another node"))
                return
            nodes[link] = heartbeat.node
            for node in (heartbeat.node, *heartbeat.known):
                dialler.async_learn(node)
        sender = nodes.get(link)
        if sender is not None:
            ctx.runtime.async_dispatch(HeartbeatReceived(sender))
        if heartbeat.evidence is not None:
            on_digest(link, heartbeat.evidence)

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
        if link.role is not Role.CONTROL or hub.peer_link(link.node) is not None:
            return
        ctx.runtime.async_dispatch(PeerLinkClosed(link.node, link.incarnation))

    hub.on_open(on_open)
    hub.on_close(on_close)


def create_check(ctx: ProgramContext, period_s: float) -> Callable[[], None]:
    """Return a function, to be called each period, that removes silent peers."""
    checked_s = now_s()

    def check() -> None:
        nonlocal checked_s
        late = now_s() - checked_s > period_s + CHECK_LATE_S
        checked_s = now_s()
        # After a pause of this process, heartbeats that already arrived come first.
        if not late:
            ctx.runtime.async_dispatch(PeersChecked())

    return check
