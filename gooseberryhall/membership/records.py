"""Log lines, timeline events and metrics of the membership package."""

import logging

from ..core.clock import now_s
from ..core.context import ProgramContext
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .effects import MemberChange, MemberChanged, PeerChange, PeerChanged
from .metrics import EVIDENCE_AGE, PEERS

_LOGGER = logging.getLogger(__name__)

_MEMBER_EVENTS = {
    MemberChange.UP: LogEvent.MEMBER_UP,
    MemberChange.DOWN: LogEvent.MEMBER_DOWN,
    MemberChange.RESTARTED: LogEvent.MEMBER_RESTARTED,
    MemberChange.WITHDRAWN: LogEvent.MEMBER_WITHDRAWN,
}
_PEER_EVENTS = {
    PeerChange.UP: LogEvent.PEER_UP,
    PeerChange.DOWN: LogEvent.PEER_DOWN,
}


def record_member_change(ctx: ProgramContext, effect: MemberChanged) -> None:
    """Record a change of a member in the log and the timeline."""
    kind = f"member_{effect.change.value}"
    ctx.ops.timeline.record(kind, vm=effect.vm, boot_id=effect.boot_id)
    log_event(
        _LOGGER,
        _MEMBER_EVENTS[effect.change],
        kind.replace("_", " "),
        vm=effect.vm,
        boot_id=effect.boot_id,
    )


def record_peer_change(ctx: ProgramContext, effect: PeerChanged) -> None:
    """Record a change of a peer in the log and the timeline."""
    kind = f"peer_{effect.change.value}"
    ctx.ops.timeline.record(kind, peer=effect.node, incarnation=effect.incarnation)
    log_event(
        _LOGGER,
        _PEER_EVENTS[effect.change],
        kind.replace("_", " "),
        peer=effect.node,
        incarnation=effect.incarnation,
    )


def add_collector(ctx: ProgramContext) -> None:
    """Export the number of peers and the age of the evidence."""

    def collect() -> None:
        membership = ctx.runtime.state.membership
        PEERS.set({}, len(membership.peers))
        answered_s = [
            item.observed_at_s
            for item in membership.evidence.values()
            if item.health is not None
        ]
        EVIDENCE_AGE.set({}, now_s() - min(answered_s) if answered_s else 0.0)

    ctx.ops.add_collector(collect)
