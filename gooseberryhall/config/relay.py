"""Exchanges configuration over links."""

import random
from weakref import WeakKeyDictionary

from ..core.clock import now_s
from ..core.context import ProgramContext
from ..links.hub import LinkHub
from ..links.identity import Role
from ..links.link import Link
from ..links.messages import ConfigChanges, ConfigRequest, ConfigSnapshot, Heartbeat
from .const import MIN_REQUEST_INTERVAL_S
from .effects import ConfigApplied, RequestConfig
from .events import ConfigChangesReceived
from .service import config_status, record_applied
from .transfer import (
    RecentChanges,
    SnapshotAssembler,
    change_messages,
    snapshot_messages,
)

_LOCAL_ROLES = (Role.ENTRY, Role.ADMIN)


def async_setup_client(ctx: ProgramContext, hub: LinkHub) -> None:
    """Receive the configuration from the linked control process."""
    _apply_received(ctx, hub)
    config = ctx.runtime.state.config

    def request_changes(after: int) -> None:
        hub.async_send(ConfigRequest(after=after), Role.CONTROL)

    ctx.runtime.register(RequestConfig, lambda effect: request_changes(effect.after))
    ctx.runtime.register(ConfigApplied, lambda effect: record_applied(ctx, effect))
    ctx.ops.add_status("config", lambda: config_status(ctx.runtime))
    hub.on_open(lambda _link: request_changes(config.revision))
    ctx.ops.add_status("config", lambda: config_status(ctx.runtime))


def async_setup_control(ctx: ProgramContext, hub: LinkHub) -> None:
    """Exchange configuration with peers and send it to the programs of this VM.

    Only changes received from an administration process are forwarded to peers. Peers
    that miss a change see the higher revision in heartbeats and request it.
    """
    _apply_received(ctx, hub)
    _serve_requests(ctx, hub)
    _request_when_behind(ctx, hub)


def request_from_peer(hub: LinkHub, after: int) -> None:
    """Request the changes after a revision from a random control process."""
    links = hub.links(Role.CONTROL)
    if links:
        random.choice(links).async_send(ConfigRequest(after=after))


def _apply_received(ctx: ProgramContext, hub: LinkHub) -> None:
    assembler = SnapshotAssembler()

    def on_changes(link: Link, message: ConfigChanges) -> None:
        if link.role is Role.ENTRY:
            return
        ctx.runtime.async_dispatch(ConfigChangesReceived(message.changes))
        if link.role is Role.ADMIN:
            hub.async_send(message, Role.CONTROL)

    def on_snapshot(link: Link, message: ConfigSnapshot) -> None:
        snapshot = assembler.add(link, message) if link.role is Role.CONTROL else None
        if snapshot is not None:
            ctx.runtime.async_dispatch(snapshot)

    hub.subscribe(ConfigChanges, on_changes)
    hub.subscribe(ConfigSnapshot, on_snapshot)


def _serve_requests(ctx: ProgramContext, hub: LinkHub) -> None:
    """Serve requests from memory and send applied changes to local programs."""
    recent = RecentChanges()
    config = ctx.runtime.state.config

    def on_request(link: Link, request: ConfigRequest) -> None:
        if config.revision <= request.after:
            return
        changes = recent.after(request.after)
        messages = (
            snapshot_messages(config) if changes is None else change_messages(changes)
        )
        for message in messages:
            link.async_send(message)

    def on_applied(effect: ConfigApplied) -> None:
        record_applied(ctx, effect)
        recent.add(effect.changes)
        messages = (
            change_messages(effect.changes)
            if effect.changes
            else snapshot_messages(config)
        )
        for message in messages:
            hub.async_send(message, *_LOCAL_ROLES)

    hub.subscribe(ConfigRequest, on_request)
    ctx.runtime.register(ConfigApplied, on_applied)


def _request_when_behind(ctx: ProgramContext, hub: LinkHub) -> None:
    requested_at_s: WeakKeyDictionary[Link, float] = WeakKeyDictionary()
    config = ctx.runtime.state.config

    def on_heartbeat(link: Link, heartbeat: Heartbeat) -> None:
        if heartbeat.config_revision <= config.revision:
            return
        if now_s() - requested_at_s.get(link, float("-inf")) < MIN_REQUEST_INTERVAL_S:
            return
        requested_at_s[link] = now_s()
        link.async_send(ConfigRequest(after=config.revision))

    hub.subscribe(Heartbeat, on_heartbeat)
