"""Exchanges configuration on links."""

import random
from weakref import WeakKeyDictionary

from ..core.clock import now_s
from ..core.context import ProgramContext
from ..links.hub import LinkHub
from ..links.identity import Role
from ..links.link import Link
from ..links.messages import ConfigChanges, ConfigRequest, ConfigSnapshot, Heartbeat
from .const import ASK_PAUSE_S
from .effects import ConfigApplied, RequestConfig
from .events import ConfigChangesReceived
from .service import config_status, record_applied
from .transfer import (
    RecentChanges,
    SnapshotJoiner,
    change_messages,
    snapshot_messages,
)

_LOCAL = (Role.ENTRY, Role.ADMIN)


def async_setup_client(ctx: ProgramContext, hub: LinkHub) -> None:
    """Take the configuration from the linked control process."""
    _apply_received(ctx, hub)
    config = ctx.runtime.state.config

    def ask(after: int) -> None:
        hub.async_send(ConfigRequest(after=after), Role.CONTROL)

    ctx.runtime.register(RequestConfig, lambda effect: ask(effect.after))
    ctx.runtime.register(ConfigApplied, lambda effect: record_applied(ctx, effect))
    ctx.ops.add_status("config", lambda: config_status(ctx.runtime))
    hub.on_open(lambda _link: ask(config.revision))
    ctx.ops.add_status("config", lambda: config_status(ctx.runtime))


def async_setup_control(ctx: ProgramContext, hub: LinkHub) -> None:
    """Exchange configuration with peers and pass it to the programs of this VM.

    Only the change of an administration process is sent to peers. Peers that miss it
    see the higher revision in heartbeats and ask for it.
    """
    _apply_received(ctx, hub)
    _answer_requests(ctx, hub)
    _ask_when_behind(ctx, hub)


def ask_peer(hub: LinkHub, after: int) -> None:
    """Ask one control process for what follows a revision."""
    links = hub.links(Role.CONTROL)
    if links:
        random.choice(links).async_send(ConfigRequest(after=after))


def _apply_received(ctx: ProgramContext, hub: LinkHub) -> None:
    joiner = SnapshotJoiner()

    def on_changes(link: Link, message: ConfigChanges) -> None:
        if link.role is Role.ENTRY:
            return
        ctx.runtime.async_dispatch(ConfigChangesReceived(message.changes))
        if link.role is Role.ADMIN:
            hub.async_send(message, Role.CONTROL)

    def on_snapshot(link: Link, message: ConfigSnapshot) -> None:
        snapshot = joiner.add(link, message) if link.role is Role.CONTROL else None
        if snapshot is not None:
            ctx.runtime.async_dispatch(snapshot)

    hub.subscribe(ConfigChanges, on_changes)
    hub.subscribe(ConfigSnapshot, on_snapshot)


def _answer_requests(ctx: ProgramContext, hub: LinkHub) -> None:
    """Answer requests from memory and pass on what comes into force."""
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
            hub.async_send(message, *_LOCAL)

    hub.subscribe(ConfigRequest, on_request)
    ctx.runtime.register(ConfigApplied, on_applied)


def _ask_when_behind(ctx: ProgramContext, hub: LinkHub) -> None:
    asked_s: WeakKeyDictionary[Link, float] = WeakKeyDictionary()
    config = ctx.runtime.state.config

    def on_heartbeat(link: Link, heartbeat: Heartbeat) -> None:
        if heartbeat.config_revision <= config.revision:
            return
        if now_s() - asked_s.get(link, float("-inf")) < ASK_PAUSE_S:
            return
        asked_s[link] = now_s()
        link.async_send(ConfigRequest(after=config.revision))

    hub.subscribe(Heartbeat, on_heartbeat)
