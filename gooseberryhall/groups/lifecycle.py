"""Decides the next lifecycle step of each existing group."""

from collections.abc import Iterator

from ..membership.evidence import ClosedReason
from ..membership.models import MemberState
from .const import (
    DRAIN_LIMIT_S,
    DRAIN_PROPAGATION_S,
    FAILURE_GRACE_S,
    LOADING_LIMIT_S,
    ORDER_RETRY_S,
    ORDER_TIMEOUT_S,
    UNLISTED_VM_TIMEOUT_S,
)
from .decisions import (
    Decision,
    DrainGroup,
    FreeMembers,
    LoadAdapters,
    MarkAdaptersLoaded,
    MarkServing,
    Reason,
    ReleaseGroup,
    ReleaseOrphan,
    SendGroupOrder,
    WaitForMember,
)
from .effects import OrderOutcome
from .models import GroupPhase, Member, VmState
from .rows import GroupRow
from .shares import has_drain_label
from .view import PlanView
from .waiting import member_wait_limit_s

_UNRESPONSIVE = (
    ClosedReason.NO_EVIDENCE,
    ClosedReason.NOT_ANSWERING,
    ClosedReason.STALE,
)


def step_group(view: PlanView, row: GroupRow) -> list[Decision]:
    """Return the next decisions for one group."""
    match row.phase:
        case GroupPhase.LOADING:
            return _step_loading(view, row)
        case GroupPhase.SERVING:
            return _step_serving(view, row)
        case GroupPhase.DRAINING:
            return _step_draining(view, row)
        case GroupPhase.RELEASING:
            return _step_releasing(view, row)


def find_orphans(view: PlanView) -> list[Decision]:
    """Return release orders to VMs that run a group without being assigned to it.

    An order of an earlier lease holder can arrive late at an engine that ignores
    fencing tokens. Without a release the VM would stay unusable.
    """
    orphans: list[Decision] = []
    for vm in view.zone_vms:
        health = view.health(vm.vm)
        if health is None or not health.group or vm.vm in view.group_of_vm:
            continue
        if _is_order_due(view, vm.vm, fence=None):
            orphans.append(ReleaseOrphan(health.group, vm.vm, health.generation))
    return orphans


def _step_loading(view: PlanView, row: GroupRow) -> list[Decision]:
    broken = _broken_reason(view, row)
    if broken is not None:
        return [ReleaseGroup(row.name, broken)]
    stop = _stop_reason(view, row)
    if stop is not None:
        return [ReleaseGroup(row.name, stop)]
    if view.phase_age_s(row) > LOADING_LIMIT_S:
        return [ReleaseGroup(row.name, Reason.LOADING_LIMIT)]
    if all(view.closed_reason(row, member) is None for member in row.group.members):
        return [MarkServing(row.name)]
    return [*_form_orders(view, row), *_wait_decisions(view, row)]


def _step_serving(view: PlanView, row: GroupRow) -> list[Decision]:
    broken = _broken_reason(view, row)
    if broken is not None:
        return [ReleaseGroup(row.name, broken)]
    stop = _stop_reason(view, row)
    if stop is not None:
        return [DrainGroup(row.name, stop)]
    return [
        *_form_orders(view, row),
        *_adapter_steps(view, row),
        *_wait_decisions(view, row),
    ]


def _adapter_steps(view: PlanView, row: GroupRow) -> list[Decision]:
    """Return orders to load other adapters, then the decision that they are loaded.

    Health reports do not contain adapters, so an engine's acceptance is sufficient.
    """
    wanted = view.spec_by_name[row.group.spec].adapters
    if wanted == row.adapters or not view.is_serving(row):
        return []
    lacking = [
        member.vm
        for member in row.group.members
        if not _has_adapters(view, row, member.vm, wanted)
    ]
    if not lacking:
        return [MarkAdaptersLoaded(row.name, wanted)]
    return [
        LoadAdapters(row.name, vm, wanted)
        for vm in lacking
        if _is_adapter_order_due(view, vm, wanted)
    ]


def _has_adapters(
    view: PlanView, row: GroupRow, vm: str, wanted: tuple[str, ...]
) -> bool:
    order = view.orders.get(vm)
    return (
        order is not None
        and order.fence == row.fence
        and order.adapters == wanted
        and order.outcome is OrderOutcome.ACCEPTED
    )


def _is_adapter_order_due(view: PlanView, vm: str, wanted: tuple[str, ...]) -> bool:
    order = view.orders.get(vm)
    if order is None or order.adapters != wanted:
        return True
    return not order.in_flight and view.now_s - order.sent_s >= ORDER_RETRY_S


def _step_draining(view: PlanView, row: GroupRow) -> list[Decision]:
    broken = _broken_reason(view, row)
    if broken is not None:
        return [ReleaseGroup(row.name, broken)]
    age_s = view.phase_age_s(row)
    if age_s > DRAIN_LIMIT_S:
        return [ReleaseGroup(row.name, Reason.DRAIN_LIMIT)]
    notified_s = view.now_s - age_s + DRAIN_PROPAGATION_S
    if all(_has_no_work(view, member, notified_s) for member in row.group.members):
        return [ReleaseGroup(row.name, Reason.DRAINED)]
    return []


def _step_releasing(view: PlanView, row: GroupRow) -> list[Decision]:
    freed = tuple(
        member.vm for member in row.group.members if _is_released(view, row, member)
    )
    decisions: list[Decision] = [FreeMembers(row.name, freed)] if freed else []
    for member in row.group.members:
        health = view.health(member.vm)
        lacking = not _has_accepted(view, row, member) or (health and health.group)
        if member.vm not in freed and lacking:
            decisions += _order_if_due(view, row, member)
    return decisions


def _broken_reason(view: PlanView, row: GroupRow) -> Reason | None:
    """Return why the group cannot serve again with its members."""
    closed = {
        member.vm: view.closed_reason(row, member) for member in row.group.members
    }
    if ClosedReason.RESTARTED in closed.values():
        return Reason.MEMBER_RESTARTED
    unresponsive_s = max(
        (
            view.unresponsive_s(vm)
            for vm, reason in closed.items()
            if reason in _UNRESPONSIVE
        ),
        default=0.0,
    )
    if unresponsive_s and unresponsive_s > member_wait_limit_s(view, row):
        return Reason.MEMBER_LOST
    return Reason.MEMBER_FAILED if _has_failed(view, row) else None


def _has_failed(view: PlanView, row: GroupRow) -> bool:
    """Return whether a member keeps failing although all members respond.

    A leader reports a failure while a member is missing and recovers when a paused
    member returns, so a failure counts only while all members respond.
    """
    healths = [view.health(member.vm) for member in row.group.members]
    if any(health is None for health in healths):
        return False
    failed = any(health and health.state is MemberState.FAILED for health in healths)
    return failed and view.failed_s(row) > FAILURE_GRACE_S


def _stop_reason(view: PlanView, row: GroupRow) -> Reason | None:
    """Return why the group should end although its members are healthy."""
    spec = view.spec_by_name.get(row.group.spec)
    if spec is None:
        return Reason.SPEC_REMOVED
    for member in row.group.members:
        health = view.health(member.vm)
        vm = view.vms.get(member.vm)
        if (health and health.leaving) or (vm and vm.state is VmState.LEAVING):
            return Reason.MEMBER_LEAVING
        if has_drain_label(view.labels.get(member.vm, {})):
            return Reason.DRAIN_LABEL
        if vm is not None and vm.vm not in view.selected[spec.name]:
            return Reason.SELECTOR_CHANGED
    return None


def _wait_decisions(view: PlanView, row: GroupRow) -> Iterator[Decision]:
    for member in row.group.members:
        if view.closed_reason(row, member) in _UNRESPONSIVE:
            since_s = view.now_s - view.unresponsive_s(member.vm)
            yield WaitForMember(
                row.name, member.vm, since_s + member_wait_limit_s(view, row)
            )


def _form_orders(view: PlanView, row: GroupRow) -> list[Decision]:
    """Return orders to members without the current order or in another group."""
    decisions: list[Decision] = []
    for member in row.group.members:
        closed = view.closed_reason(row, member)
        is_first_order = row.phase is GroupPhase.LOADING and not _was_ordered(
            view, row, member
        )
        if is_first_order or closed is ClosedReason.OTHER_GROUP:
            decisions += _order_if_due(view, row, member)
    return decisions


def _order_if_due(view: PlanView, row: GroupRow, member: Member) -> list[Decision]:
    if not _is_order_due(view, member.vm, row.fence):
        return []
    return [SendGroupOrder(row.name, member.vm)]


def _was_ordered(view: PlanView, row: GroupRow, member: Member) -> bool:
    order = view.orders.get(member.vm)
    return order is not None and order.fence == row.fence


def _is_order_due(view: PlanView, vm: str, fence: int | None) -> bool:
    """Return whether an order may be sent.

    A resend requires evidence that is newer than the last order.
    """
    order = view.orders.get(vm)
    if order is None or (fence is not None and order.fence != fence):
        return True
    evidence = view.evidence.get(vm)
    return (
        not order.in_flight
        and view.now_s - order.sent_s >= ORDER_RETRY_S
        and evidence is not None
        and evidence.observed_at_s > order.sent_s
    )


def _has_no_work(view: PlanView, member: Member, notified_s: float) -> bool:
    evidence = view.evidence.get(member.vm)
    health = view.health(member.vm)
    if evidence is None or health is None or evidence.observed_at_s < notified_s:
        return False
    return health.active == 0 and health.queued == 0


def _is_released(view: PlanView, row: GroupRow, member: Member) -> bool:
    age_s = view.phase_age_s(row)
    if not view.refuse_old_fence and age_s < ORDER_TIMEOUT_S:
        return False
    if (
        member.vm not in view.vms
        and view.unresponsive_s(member.vm) > UNLISTED_VM_TIMEOUT_S
    ):
        return True
    health = view.health(member.vm)
    evidence = view.evidence.get(member.vm)
    if health is None or evidence is None:
        return False
    if health.group or health.state is not MemberState.IDLE:
        return False
    if health.boot_id != member.boot_id:
        return True
    # An idle report from before the release order does not show its effect, and until
    # the release is accepted an earlier order may still assign the VM.
    order = view.orders.get(member.vm)
    accepted = _has_accepted(view, row, member)
    return accepted and order is not None and evidence.observed_at_s > order.sent_s


def _has_accepted(view: PlanView, row: GroupRow, member: Member) -> bool:
    """Return whether the member has accepted the row's fencing token or a newer one.

    An engine that checks fencing tokens then refuses all older orders.
    """
    order = view.orders.get(member.vm)
    return (
        order is not None
        and order.fence == row.fence
        and order.outcome in (OrderOutcome.ACCEPTED, OrderOutcome.STALE_FENCE)
    )
