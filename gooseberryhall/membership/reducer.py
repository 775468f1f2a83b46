"""Event handlers of the membership package.

Evidence from another process is dated by a lower bound of the time at which the member
responded (see `Link.evidence_time_s`), so the order of two reports can be ambiguous.
Ambiguous evidence closes the group; only a report that is certainly newer opens it.
"""

from collections.abc import Mapping
from dataclasses import replace
from typing import TYPE_CHECKING

from ..const import EVIDENCE_MAX_AGE_S
from ..core.effects import Effect
from ..core.events import Event
from ..groups.events import VmsListed
from .const import PEER_TIMEOUT_S
from .effects import MemberChange, MemberChanged, PeerChange, PeerChanged
from .events import (
    EvidenceReceived,
    HeartbeatReceived,
    LiveNodesListed,
    PeerCheckDue,
    PeerLinkClosed,
    PeerLinkOpened,
)
from .models import Evidence, MemberHealth, MemberState
from .state import EvidenceOrder, MembershipState, PeerState

if TYPE_CHECKING:
    from ..core.reducer import Handler
    from ..core.state import State

# Ambiguous evidence keeps its boot id, but its date is too old to open a group.
_AMBIGUOUS_AGE_S = 2 * EVIDENCE_MAX_AGE_S
_NO_ORDER = EvidenceOrder(
    newest_observed_s=float("-inf"), boot_id_received_s=float("-inf"), boot_id=""
)


def _reduce_heartbeat(
    state: "State", event: HeartbeatReceived, now_s: float
) -> list[Effect]:
    node = event.node
    previous = state.membership.peers.get(node.node)
    state.membership.peers[node.node] = PeerState(node, now_s)
    if previous is not None and previous.node.incarnation == node.incarnation:
        return []
    return [PeerChanged(node.node, node.incarnation, PeerChange.UP)]


def _reduce_link_opened(
    state: "State", event: PeerLinkOpened, _now_s: float
) -> list[Effect]:
    state.membership.linked.add(event.node)
    return []


def _reduce_link_closed(
    state: "State", event: PeerLinkClosed, _now_s: float
) -> list[Effect]:
    """Remove the peer before its heartbeats time out.

    A process that stops closes its links at once. If it has not stopped, its VMs are
    probed twice for a moment, which costs less than stale evidence.
    """
    state.membership.linked.discard(event.node)
    peer = state.membership.peers.get(event.node)
    if peer is None or peer.node.incarnation != event.incarnation:
        return []
    return [_remove_peer(state.membership, event.node)]


def _reduce_peer_check(
    state: "State", _event: PeerCheckDue, now_s: float
) -> list[Effect]:
    peers = state.membership.peers
    expired = [
        name
        for name, peer in peers.items()
        if now_s - peer.last_heartbeat_s > PEER_TIMEOUT_S
    ]
    return [_remove_peer(state.membership, name) for name in expired]


def _remove_peer(membership: MembershipState, name: str) -> Effect:
    peer = membership.peers.pop(name)
    return PeerChanged(name, peer.node.incarnation, PeerChange.DOWN)


def _reduce_evidence(
    state: "State", event: EvidenceReceived, now_s: float
) -> list[Effect]:
    effects: list[Effect] = []
    for evidence in event.evidence:
        before = state.membership.evidence.get(evidence.vm)
        if evidence.health is None:
            _apply_failure(state.membership, evidence)
        else:
            _apply_health(state.membership, evidence, evidence.health, now_s)
        after = state.membership.evidence.get(evidence.vm)
        if after is not None and after is not before:
            effects.extend(_member_changes(before, after))
    return effects


def _apply_failure(membership: MembershipState, evidence: Evidence) -> None:
    """Store a failed probe, even if it may be older than the stored evidence."""
    order = membership.evidence_order.get(evidence.vm, _NO_ORDER)
    if evidence.observed_at_s < order.newest_observed_s - EVIDENCE_MAX_AGE_S:
        return
    newest_observed_s = max(order.newest_observed_s, evidence.observed_at_s)
    # A copy of the last response must not override the failed probe, so the probe is
    # dated no earlier than that response.
    membership.evidence[evidence.vm] = replace(
        evidence, observed_at_s=newest_observed_s
    )
    membership.evidence_order[evidence.vm] = replace(
        order, newest_observed_s=newest_observed_s
    )


def _apply_health(
    membership: MembershipState, evidence: Evidence, health: MemberHealth, now_s: float
) -> None:
    order = membership.evidence_order.get(evidence.vm, _NO_ORDER)
    other_boot = order.boot_id not in ("", health.boot_id)
    if other_boot and evidence.observed_at_s <= order.boot_id_received_s:
        # The member restarted, but either boot may be the later one. Neither counts
        # until a response that was certainly sent after now.
        ambiguous_s = min(evidence.observed_at_s, now_s - _AMBIGUOUS_AGE_S)
        membership.evidence[evidence.vm] = replace(evidence, observed_at_s=ambiguous_s)
        membership.evidence_order[evidence.vm] = EvidenceOrder(
            now_s, now_s, health.boot_id
        )
        return
    if evidence.observed_at_s <= order.newest_observed_s:
        return
    membership.evidence[evidence.vm] = evidence
    membership.evidence_order[evidence.vm] = EvidenceOrder(
        evidence.observed_at_s, now_s, health.boot_id
    )


def _member_changes(before: Evidence | None, after: Evidence) -> list[Effect]:
    old = None if before is None else before.health
    new = after.health
    if new is None:
        if old is None and before is not None:
            return []
        boot_id = "" if old is None else old.boot_id
        return [MemberChanged(after.vm, boot_id, MemberChange.DOWN)]
    if old is None:
        return [MemberChanged(after.vm, new.boot_id, MemberChange.UP)]
    if old.boot_id != new.boot_id:
        return [MemberChanged(after.vm, new.boot_id, MemberChange.RESTARTED)]
    if _is_withdrawn(old, new):
        return [MemberChanged(after.vm, new.boot_id, MemberChange.WITHDRAWN)]
    return []


def _is_withdrawn(old: MemberHealth, new: MemberHealth) -> bool:
    if old.state is not MemberState.SERVING:
        return new.leaving and not old.leaving
    return (
        new.state is not MemberState.SERVING
        or (new.leaving and not old.leaving)
        or (new.group, new.generation) != (old.group, old.generation)
    )


def _reduce_vms_listed(state: "State", event: VmsListed, _now_s: float) -> list[Effect]:
    """Remove the evidence about VMs that are neither listed nor in a group."""
    retained = {vm.vm for vm in event.vms}
    for group in state.groups.groups.values():
        retained.update(member.vm for member in group.members)
    membership = state.membership
    for vm in [vm for vm in membership.evidence if vm not in retained]:
        del membership.evidence[vm]
        membership.evidence_order.pop(vm, None)
    return []


def _reduce_live_nodes(
    state: "State", event: LiveNodesListed, now_s: float
) -> list[Effect]:
    others = (node for node in event.nodes if node.node != state.identity.node)
    state.membership.peers = {node.node: PeerState(node, now_s) for node in others}
    return []


HANDLERS: "Mapping[type[Event], Handler]" = {
    HeartbeatReceived: _reduce_heartbeat,
    PeerLinkOpened: _reduce_link_opened,
    PeerLinkClosed: _reduce_link_closed,
    LiveNodesListed: _reduce_live_nodes,
    PeerCheckDue: _reduce_peer_check,
    EvidenceReceived: _reduce_evidence,
    VmsListed: _reduce_vms_listed,
}
