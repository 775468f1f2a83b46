"""Runs the membership concern in the control program."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ..adapters.engine import async_fetch_health
from ..adapters.vms import HttpVmList, VmList
from ..core.clock import now_s
from ..core.context import ProgramContext
from ..exceptions import UnavailableError
from ..groups.events import VmsListed
from ..links.hub import LinkHub
from ..links.identity import Role
from ..links.link import Link
from ..links.messages import GroupView, MemberFailure, Ping, SuspectReport
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from . import heartbeats, receive
from .assignment import probe_targets
from .const import (
    LATE_ANSWER_S,
    PEER_CHECK_PERIOD_S,
    PROBE_TIMEOUT_S,
    UPKEEP_PERIOD_S,
    VM_LIST_JITTER,
    VM_LIST_PERIOD_S,
)
from .digest import DigestSender
from .effects import MemberChange, MemberChanged, PeerChanged
from .events import EvidenceReceived
from .models import Evidence
from .peers import PeerDialler
from .prober import Prober
from .records import add_collector, record_member, record_peer

_LOGGER = logging.getLogger(__name__)
_LOCAL = (Role.ENTRY, Role.ADMIN)


@dataclass(slots=True)
class _Service:
    """What the parts of the service share.

    `own_results` holds the last probe results of this node. Only these are sent to
    other control processes; evidence therefore never travels in circles.
    """

    ctx: ProgramContext
    hub: LinkHub
    digests: DigestSender = field(default_factory=DigestSender)
    own_results: dict[str, Evidence] = field(default_factory=dict)
    flush_due: bool = False


async def async_setup(
    ctx: ProgramContext, hub: LinkHub, vm_list: VmList | None = None
) -> None:
    """Probe VMs, exchange heartbeats and evidence until the program stops."""
    service = _Service(ctx, hub)
    prober = Prober(
        ctx,
        partial(async_fetch_health, ctx.session, timeout_s=PROBE_TIMEOUT_S),
        partial(_on_result, service),
    )
    assign = partial(_assign, service, prober)
    _register_effects(service, assign)
    on_digest = receive.subscribe(ctx, hub)
    _send_digests_on_pings(service)
    _subscribe_forwarding(service, prober)
    dialler = PeerDialler(ctx, hub)
    heartbeats.async_setup(
        ctx,
        hub,
        dialler,
        lambda link: service.digests.next_digest(link, service.own_results),
        on_digest,
    )
    _read_vms_periodically(
        ctx, vm_list or HttpVmList(ctx.session, ctx.settings.platform.vms_address)
    )

    def keep_up() -> None:
        assign()
        dialler.async_check()

    keep_up()
    for period_s, callback in (
        (PEER_CHECK_PERIOD_S, heartbeats.create_check(ctx, PEER_CHECK_PERIOD_S)),
        (UPKEEP_PERIOD_S, keep_up),
    ):
        ctx.stack.callback(ctx.timer.async_subscribe(period_s, callback))
    add_collector(ctx)
    ctx.ops.add_collector(prober.collect)
    ctx.ops.add_status("membership", partial(_status, service, prober))


def _register_effects(service: _Service, assign: Callable[[], None]) -> None:
    ctx = service.ctx

    def on_peer_changed(effect: PeerChanged) -> None:
        record_peer(ctx, effect)
        # Not inside the reducer's turn: new probes must see the state after it.
        asyncio.get_running_loop().call_soon(assign)

    def on_member_changed(effect: MemberChanged) -> None:
        record_member(ctx, effect)
        if effect.change is not MemberChange.UP:
            _send_digests_soon(service)

    ctx.runtime.register(PeerChanged, on_peer_changed)
    ctx.runtime.register(MemberChanged, on_member_changed)


def _assign(service: _Service, prober: Prober) -> None:
    # While this process stops, its links close, which looks like the end of all peers.
    if service.ctx.stopping.is_set():
        return
    targets = probe_targets(service.ctx.runtime.state)
    for vm in service.own_results.keys() - targets.keys():
        del service.own_results[vm]
    prober.async_set_targets(targets)


def _on_result(service: _Service, evidence: Evidence) -> None:
    service.own_results[evidence.vm] = evidence
    held = service.ctx.runtime.state.membership.evidence.get(evidence.vm)
    service.ctx.runtime.async_dispatch(EvidenceReceived((evidence,)))
    if held and evidence.observed_at_s - held.observed_at_s > LATE_ANSWER_S:
        _send_digests_soon(service)


def _send_digests_soon(service: _Service) -> None:
    """Send digests once after all events of this turn of the loop."""
    if not service.flush_due:
        service.flush_due = True
        asyncio.get_running_loop().call_soon(_send_digests, service)


def _send_digests(service: _Service) -> None:
    service.flush_due = False
    for link in service.hub.links():
        _send_digest(service, link)


def _send_digest(service: _Service, link: Link) -> None:
    """Send all evidence to the programs of this VM and own results to peers."""
    held = service.ctx.runtime.state.membership.evidence
    is_peer = link.role is Role.CONTROL
    service.digests.async_send(link, service.own_results if is_peer else held)


def _send_digests_on_pings(service: _Service) -> None:
    """Answer the pings of the programs of this VM with news.

    A digest that follows a ping at once is dated without a loss. Peers get the
    evidence with heartbeats.
    """

    def on_ping(link: Link, _ping: Ping) -> None:
        if link.role is not Role.CONTROL:
            _send_digest(service, link)

    service.hub.subscribe(Ping, on_ping)


def _subscribe_forwarding(service: _Service, prober: Prober) -> None:
    """Forward group views, suspects and failures; nothing between control processes.

    What arrives from a local program goes to all peers, and what arrives from a peer
    goes to the local programs only, so that no message is forwarded twice.
    """
    hub, state = service.hub, service.ctx.runtime.state

    def on_view(link: Link, view: GroupView) -> None:
        known = state.groups.views.get(view.zone)
        if link.role is Role.CONTROL and known and known.revision <= view.revision:
            hub.async_send(view, *_LOCAL)

    def on_suspect(link: Link, report: SuspectReport) -> None:
        roles = _LOCAL if link.role is Role.CONTROL else tuple(Role)
        receivers = [other for other in hub.links(*roles) if other is not link]
        hub.async_send_on(receivers, report)

    def on_failure(link: Link, failure: MemberFailure) -> None:
        prober.async_probe_now(failure.vm)
        if link.role is not Role.CONTROL:
            hub.async_send(failure, Role.CONTROL)

    def on_open(link: Link) -> None:
        for zone, view in state.groups.views.items():
            groups = [
                item for item in state.groups.groups.values() if item.zone == zone
            ]
            link.async_send(
                GroupView(zone=zone, revision=view.revision, groups=tuple(groups))
            )

    hub.subscribe(GroupView, on_view)
    hub.subscribe(SuspectReport, on_suspect)
    hub.subscribe(MemberFailure, on_failure)
    hub.on_open(on_open)


def _read_vms_periodically(ctx: ProgramContext, vm_list: VmList) -> None:
    reading = False
    reachable = True

    async def async_read() -> None:
        nonlocal reading, reachable
        try:
            vms = await vm_list.async_list()
        except UnavailableError as exc:
            if reachable:
                _log_list_failed(exc)
            reachable = False
        else:
            reachable = True
            ctx.runtime.async_dispatch(VmsListed(vms))
        finally:
            reading = False

    def read() -> None:
        nonlocal reading
        if not reading:
            reading = True
            ctx.async_create_task(async_read(), "VM list")

    read()
    ctx.stack.callback(
        ctx.timer.async_subscribe(VM_LIST_PERIOD_S, read, jitter=VM_LIST_JITTER)
    )


def _log_list_failed(exc: Exception) -> None:
    log_event(
        _LOGGER,
        LogEvent.VM_LIST_FAILED,
        "VM list cannot be read; the last list is kept",
        level=logging.WARNING,
        error=str(exc),
    )


def _status(service: _Service, prober: Prober) -> dict[str, object]:
    membership = service.ctx.runtime.state.membership
    time_s = now_s()
    return {
        "peers": sorted(membership.peers),
        "linked": sorted(membership.linked),
        "programs": [
            f"{link.node}/{link.role.value}" for link in service.hub.links(*_LOCAL)
        ],
        "probed_vms": len(prober),
        "evidence": {
            vm: {
                "age_s": round(time_s - item.observed_at_s, 3),
                "boot_id": None if item.health is None else item.health.boot_id,
                "state": None if item.health is None else item.health.state.value,
            }
            for vm, item in sorted(membership.evidence.items())
        },
    }
