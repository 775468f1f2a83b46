"""Sets up the membership package in the control program."""

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
    EVIDENCE_GAP_S,
    MAINTENANCE_PERIOD_S,
    PEER_CHECK_PERIOD_S,
    PROBE_TIMEOUT_S,
    VM_LIST_JITTER,
    VM_LIST_PERIOD_S,
)
from .digest import DigestSender
from .effects import MemberChange, MemberChanged, PeerChanged
from .events import EvidenceReceived
from .models import Evidence
from .peers import PeerDialler
from .prober import Prober
from .records import add_collector, record_member_change, record_peer_change

_LOGGER = logging.getLogger(__name__)
_LOCAL_ROLES = (Role.ENTRY, Role.ADMIN)


@dataclass(slots=True)
class _MembershipService:
    """State shared by the callbacks of the service.

    `local_results` holds the last probe results of this node. Only these are sent to
    other control processes, so evidence is never sent in circles.
    """

    ctx: ProgramContext
    hub: LinkHub
    digests: DigestSender = field(default_factory=DigestSender)
    local_results: dict[str, Evidence] = field(default_factory=dict)
    digests_scheduled: bool = False


async def async_setup(
    ctx: ProgramContext, hub: LinkHub, vm_list: VmList | None = None
) -> None:
    """Probe VMs, exchange heartbeats and evidence until the program stops."""
    service = _MembershipService(ctx, hub)
    prober = Prober(
        ctx,
        partial(async_fetch_health, ctx.session, timeout_s=PROBE_TIMEOUT_S),
        partial(_on_result, service),
    )
    update_targets = partial(_update_probe_targets, service, prober)
    _register_effects(service, update_targets)
    on_digest = receive.subscribe(ctx, hub)
    _send_digests_on_pings(service)
    _subscribe_forwarding(service, prober)
    dialler = PeerDialler(ctx, hub)
    heartbeats.async_setup(
        ctx,
        hub,
        dialler,
        lambda link: service.digests.next_digest(link, service.local_results),
        on_digest,
    )
    _poll_vm_list(
        ctx, vm_list or HttpVmList(ctx.session, ctx.settings.platform.vms_address)
    )

    def maintain() -> None:
        update_targets()
        dialler.async_check()

    maintain()
    for period_s, callback in (
        (PEER_CHECK_PERIOD_S, heartbeats.create_peer_check(ctx, PEER_CHECK_PERIOD_S)),
        (MAINTENANCE_PERIOD_S, maintain),
    ):
        ctx.stack.callback(ctx.timer.async_subscribe(period_s, callback))
    add_collector(ctx)
    ctx.ops.add_collector(prober.collect)
    ctx.ops.add_status("membership", partial(_status, service, prober))


def _register_effects(
    service: _MembershipService, update_targets: Callable[[], None]
) -> None:
    ctx = service.ctx

    def on_peer_changed(effect: PeerChanged) -> None:
        record_peer_change(ctx, effect)
        # Deferred until the reducer has returned, because new probes must use the state
        # after it.
        asyncio.get_running_loop().call_soon(update_targets)

    def on_member_changed(effect: MemberChanged) -> None:
        record_member_change(ctx, effect)
        if effect.change is not MemberChange.UP:
            _send_digests_soon(service)

    ctx.runtime.register(PeerChanged, on_peer_changed)
    ctx.runtime.register(MemberChanged, on_member_changed)


def _update_probe_targets(service: _MembershipService, prober: Prober) -> None:
    # While this process stops, its links close, so all peers appear to be down.
    if service.ctx.stopping.is_set():
        return
    targets = probe_targets(service.ctx.runtime.state)
    for vm in service.local_results.keys() - targets.keys():
        del service.local_results[vm]
    prober.async_set_targets(targets)


def _on_result(service: _MembershipService, evidence: Evidence) -> None:
    service.local_results[evidence.vm] = evidence
    previous = service.ctx.runtime.state.membership.evidence.get(evidence.vm)
    service.ctx.runtime.async_dispatch(EvidenceReceived((evidence,)))
    if previous and evidence.observed_at_s - previous.observed_at_s > EVIDENCE_GAP_S:
        _send_digests_soon(service)


def _send_digests_soon(service: _MembershipService) -> None:
    """Send digests once, after the events of this iteration of the event loop."""
    if not service.digests_scheduled:
        service.digests_scheduled = True
        asyncio.get_running_loop().call_soon(_send_digests, service)


def _send_digests(service: _MembershipService) -> None:
    service.digests_scheduled = False
    for link in service.hub.links():
        _send_digest(service, link)


def _send_digest(service: _MembershipService, link: Link) -> None:
    """Send all evidence to the programs of this VM, and local results to peers."""
    all_evidence = service.ctx.runtime.state.membership.evidence
    is_peer = link.role is Role.CONTROL
    service.digests.async_send(link, service.local_results if is_peer else all_evidence)


def _send_digests_on_pings(service: _MembershipService) -> None:
    """Respond to pings of the programs of this VM with changed evidence.

    The date of evidence loses no precision when its digest follows a ping at once.
    Peers get evidence with heartbeats.
    """

    def on_ping(link: Link, _ping: Ping) -> None:
        if link.role is not Role.CONTROL:
            _send_digest(service, link)

    service.hub.subscribe(Ping, on_ping)


def _subscribe_forwarding(service: _MembershipService, prober: Prober) -> None:
    """Forward group views, suspect reports and member failures.

    Messages of local programs are forwarded to all peers, and messages of peers to the
    local programs only, so that no message is forwarded twice.
    """
    hub, state = service.hub, service.ctx.runtime.state

    def on_view(link: Link, view: GroupView) -> None:
        current = state.groups.views.get(view.zone)
        if link.role is Role.CONTROL and current and current.revision <= view.revision:
            hub.async_send(view, *_LOCAL_ROLES)

    def on_suspect(link: Link, report: SuspectReport) -> None:
        roles = _LOCAL_ROLES if link.role is Role.CONTROL else tuple(Role)
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


def _poll_vm_list(ctx: ProgramContext, vm_list: VmList) -> None:
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
        "VM list cannot be read; keeping the last one",
        level=logging.WARNING,
        error=str(exc),
    )


def _status(service: _MembershipService, prober: Prober) -> dict[str, object]:
    membership = service.ctx.runtime.state.membership
    time_s = now_s()
    return {
        "peers": sorted(membership.peers),
        "linked": sorted(membership.linked),
        "programs": [
            f"{link.node}/{link.role.value}"
            for link in service.hub.links(*_LOCAL_ROLES)
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
