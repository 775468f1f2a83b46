"""Converts decisions of the planner into transactions and orders."""

from dataclasses import replace
from typing import Any

from ..adapters.engine import Order, OrderKind
from ..adapters.table import Transaction
from ..core.effects import Effect
from ..telemetry.catalogue import LogEvent
from .decisions import (
    Decision,
    DrainGroup,
    FormGroup,
    FreeMembers,
    LoadAdapters,
    MarkAdaptersLoaded,
    MarkServing,
    ReleaseGroup,
    ReleaseOrphan,
    SendGroupOrder,
    WaitForMember,
)
from .effects import CommitDecision, RecordGroupEvent, SendOrder
from .models import Group, GroupPhase
from .rows import (
    GroupRow,
    assignment_transaction,
    removal_transaction,
    update_transaction,
    with_phase,
    without_members,
)
from .state import OrderState, PendingDecision, ZonePlan
from .view import PlanView

# Decisions that end a group come before those that free or use VMs.
_EXECUTION_ORDER = (
    WaitForMember,
    SendGroupOrder,
    LoadAdapters,
    ReleaseOrphan,
    ReleaseGroup,
    DrainGroup,
    MarkServing,
    FreeMembers,
    MarkAdaptersLoaded,
    FormGroup,
)

_EVENTS = {
    FormGroup: (LogEvent.GROUP_ASSIGNED, "group assigned"),
    MarkAdaptersLoaded: (LogEvent.ADAPTERS_LOADED, "adapters loaded"),
    MarkServing: (LogEvent.GROUP_SERVING, "group serving"),
    DrainGroup: (LogEvent.GROUP_DRAINING, "group draining"),
    ReleaseGroup: (LogEvent.GROUP_RELEASED, "group released"),
    FreeMembers: (LogEvent.MEMBERS_FREED, "members freed"),
}


def execution_rank(decision: Decision) -> int:
    """Return the position of a decision in the order of execution."""
    return _EXECUTION_ORDER.index(type(decision))


def prepare_order(
    plan_state: ZonePlan,
    view: PlanView,
    decision: SendGroupOrder | LoadAdapters | ReleaseOrphan,
) -> SendOrder:
    """Return the order for a decision and record it as in flight."""
    adapters = None
    match decision:
        case ReleaseOrphan():
            order = _orphan_order(view, decision)
        case LoadAdapters():
            adapters = decision.adapters
            order = replace(
                _group_order(view, decision),
                kind=OrderKind.LOAD_ADAPTER,
                adapters=adapters,
            )
        case SendGroupOrder():
            order = _group_order(view, decision)
    plan_state.orders[order.vm] = OrderState(order.fence, view.now_s, adapters=adapters)
    return SendOrder(view.zone, plan_state.epoch_version, order)


def _group_order(view: PlanView, decision: SendGroupOrder | LoadAdapters) -> Order:
    """Return the form or release order that the group's phase requires."""
    row = view.rows[decision.group]
    group = row.group
    rank, member = next(
        (rank, member)
        for rank, member in enumerate(group.members)
        if member.vm == decision.vm
    )
    releasing = row.phase is GroupPhase.RELEASING
    return Order(
        kind=OrderKind.RELEASE if releasing else OrderKind.FORM,
        vm=member.vm,
        address=member.address,
        fence=row.fence,
        group=group.group,
        generation=group.generation,
        rank=rank,
        members=group.members,
        model=group.model,
        version=group.model_version,
        adapters=row.adapters,
    )


def _orphan_order(view: PlanView, decision: ReleaseOrphan) -> Order:
    """Return a release order for a VM without a group.

    Its fencing token is the revision at which the VM was not assigned.
    """
    return Order(
        kind=OrderKind.RELEASE,
        vm=decision.vm,
        address=view.vms[decision.vm].address,
        fence=view.revision,
        group=decision.group,
        generation=decision.generation,
    )


def prepare_commit(
    plan_state: ZonePlan, view: PlanView, decision: Decision
) -> list[Effect]:
    """Return the transaction of a decision and record it as in flight."""
    pending, transaction = _transaction(plan_state, view, decision)
    plan_state.pending = pending
    return [CommitDecision(view.zone, plan_state.epoch_version, transaction)]


def _transaction(
    plan_state: ZonePlan, view: PlanView, decision: Decision
) -> tuple[PendingDecision, Transaction]:
    epoch_version = plan_state.epoch_version
    if isinstance(decision, FormGroup):
        formed = _new_row(view, decision)
        return PendingDecision(decision, None, formed), assignment_transaction(
            formed, epoch_version
        )
    old = view.rows[decision.group]
    if isinstance(decision, FreeMembers):
        remaining = without_members(old, frozenset(decision.vms))
        new = remaining if remaining.group.members else None
        return PendingDecision(decision, old, new), removal_transaction(
            old, decision.vms, epoch_version
        )
    match decision:
        case DrainGroup():
            new = with_phase(old, GroupPhase.DRAINING, decision.reason.value)
        case ReleaseGroup():
            new = with_phase(old, GroupPhase.RELEASING, decision.reason.value)
        case MarkAdaptersLoaded():
            new = replace(old, adapters=decision.adapters)
        case _:
            new = with_phase(old, GroupPhase.SERVING, "")
    return PendingDecision(decision, old, new), update_transaction(
        old, new, epoch_version
    )


def _new_row(view: PlanView, decision: FormGroup) -> GroupRow:
    spec = view.spec_by_name[decision.spec]
    group = Group(
        group=decision.group,
        spec=spec.name,
        zone=view.zone,
        fabric_domain=decision.fabric_domain,
        model=spec.model,
        model_version=spec.version,
        generation=0,
        phase=GroupPhase.LOADING,
        members=decision.members,
    )
    return GroupRow(group, adapters=spec.adapters)


def decision_event(
    zone: str, decision: Decision, row: GroupRow | None
) -> RecordGroupEvent:
    """Return the event for a confirmed decision.

    It contains the members, so that the time line can be filtered by VM.
    """
    name, message = _EVENTS[type(decision)]
    fields: list[tuple[str, Any]] = [("zone", zone), ("group", decision.group)]
    if row is not None:
        members = [member.vm for member in row.group.members]
        fields += [("generation", row.group.generation), ("members", members)]
    reason = getattr(decision, "reason", None)
    if reason is not None:
        fields.append(("reason", reason.value))
    return RecordGroupEvent(name, message, tuple(fields))
