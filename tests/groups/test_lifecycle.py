"""Tests of the lifecycle steps of existing groups."""

from dataclasses import replace
from typing import Any

import pytest

from gooseberryhall.groups.const import (
    DRAIN_LIMIT_S,
    DRAIN_PROPAGATION_S,
    FAILURE_GRACE_S,
    LEASE_DURATION_S,
    ORDER_TIMEOUT_S,
)
from gooseberryhall.groups.controller import current_zone_shares
from gooseberryhall.groups.decisions import (
    Decision,
    FreeMembers,
    LoadAdapters,
    MarkAdaptersLoaded,
    ReleaseGroup,
    ReleaseOrphan,
    SendGroupOrder,
)
from gooseberryhall.groups.effects import OrderOutcome
from gooseberryhall.groups.measures import LEASES, export_metrics
from gooseberryhall.groups.models import GroupPhase
from gooseberryhall.groups.planner import plan
from gooseberryhall.groups.state import OrderState
from gooseberryhall.groups.view import PlanView, phase_key
from gooseberryhall.membership.models import Evidence, MemberState

from .simulated_zone import SimulatedZone, make_spec, make_vms
from .test_planner import (
    NOW_S,
    ended,
    group_row,
    health,
    make_view,
    with_unresponsive_vm,
)

SPEC = make_spec("a")
VMS = make_vms("z1", "d1", 2)


def view_in_phase(phase: GroupPhase, age_s: float, **changes: Any) -> PlanView:
    """Return the view of a group that has been in a phase for `age_s`."""
    row = group_row(SPEC, "a-z1-1", VMS, phase)
    since_s = {phase_key(row): NOW_S - age_s}
    return make_view([SPEC], VMS, [row], phase_since_s=since_s, **changes)


def with_health(view: PlanView, vm: str, **changes: Any) -> PlanView:
    """Return the view with changes to the health of a member."""
    serving = health(vm, group="a-z1-1", generation=7, state=MemberState.SERVING)
    evidence = Evidence(vm, replace(serving, **changes), NOW_S)
    return replace(view, evidence={**view.evidence, vm: evidence})


def decisions_of(view: PlanView, kind: type[Decision]) -> list[Decision]:
    """Return the decisions of one type."""
    return [item for item in plan(view) if isinstance(item, kind)]


def test_drain_waits_for_work_until_its_limit() -> None:
    """Guards against a drain that cuts off requests or never ends."""
    fresh = view_in_phase(GroupPhase.DRAINING, DRAIN_PROPAGATION_S - 1)
    assert not ended(fresh)
    notified = view_in_phase(GroupPhase.DRAINING, DRAIN_PROPAGATION_S + 1)
    assert ended(notified)
    assert not ended(with_health(notified, "d1-0", active=1))
    assert not ended(with_health(notified, "d1-1", queued=1))
    overdue = view_in_phase(GroupPhase.DRAINING, DRAIN_LIMIT_S + 1)
    assert ended(with_health(overdue, "d1-0", active=1))


@pytest.mark.parametrize("refuse_old_fence", [True, False])
def test_members_are_freed_after_read_back(refuse_old_fence: bool) -> None:
    """Guards against the assignment of a VM that still runs its old group."""
    sent_s = NOW_S - ORDER_TIMEOUT_S - 1
    orders = {vm.vm: OrderState(7, sent_s, False, OrderOutcome.ACCEPTED) for vm in VMS}
    changes = {"orders": orders, "refuse_old_fence": refuse_old_fence}
    view = view_in_phase(GroupPhase.RELEASING, ORDER_TIMEOUT_S + 1, **changes)
    assert not decisions_of(view, FreeMembers)
    assert len(decisions_of(view, SendGroupOrder)) == 2
    idle = with_health(view, "d1-0", group="", generation=0, state=MemberState.IDLE)
    assert decisions_of(idle, FreeMembers) == [FreeMembers("a-z1-1", ("d1-0",))]
    assert not decisions_of(with_unresponsive_vm(view, "d1-0", 30), FreeMembers)
    # An order that is still in flight could assign the VM again.
    early = view_in_phase(GroupPhase.RELEASING, ORDER_TIMEOUT_S - 1, **changes)
    early = with_health(early, "d1-0", group="", generation=0, state=MemberState.IDLE)
    assert bool(decisions_of(early, FreeMembers)) is refuse_old_fence
    failed = {"d1-0": OrderState(7, sent_s, False, OrderOutcome.UNAVAILABLE)}
    unsure = replace(idle, orders={**orders, **failed})
    assert not decisions_of(unsure, FreeMembers)
    assert SendGroupOrder("a-z1-1", "d1-0") in plan(unsure)
    before = {"d1-0": OrderState(7, NOW_S + 1, False, OrderOutcome.ACCEPTED)}
    assert not decisions_of(replace(idle, orders=before), FreeMembers)


def test_failure_without_unresponsive_member_releases_the_group() -> None:
    """Guards against a new group because of a paused member.

    The leader reports a failure in that case too, and recovers with the member.
    """
    key = ("a-z1-1", 7)
    failed_since_s = {key: NOW_S - FAILURE_GRACE_S - 1}
    view = view_in_phase(GroupPhase.SERVING, 60, failed_since_s=failed_since_s)
    failed = with_health(view, "d1-0", state=MemberState.FAILED)
    assert decisions_of(failed, ReleaseGroup)
    assert not decisions_of(with_unresponsive_vm(failed, "d1-1", 5), ReleaseGroup)


def test_order_is_sent_again_when_evidence_disagrees() -> None:
    """Guards against a late order that takes effect at an engine without fencing."""
    view = view_in_phase(GroupPhase.SERVING, 60)
    other = with_health(view, "d1-1", generation=3)
    assert decisions_of(other, SendGroupOrder) == [SendGroupOrder("a-z1-1", "d1-1")]
    in_flight = {"d1-1": OrderState(7, NOW_S - 0.5)}
    assert not decisions_of(replace(other, orders=in_flight), SendGroupOrder)


def test_orphan_is_released() -> None:
    """Guards against an unassigned VM that stays unusable because it runs a group."""
    view = make_view([SPEC], VMS, [])
    orphan = with_health(view, "d1-0", group="gone", generation=3)
    assert decisions_of(orphan, ReleaseOrphan) == [ReleaseOrphan("gone", "d1-0", 3)]


def test_adapters_are_loaded_without_a_regroup() -> None:
    """Guards against downtime for a load of the weights because of an adapter."""
    spec = SPEC.model_copy(update={"adapters": ("lora",)})
    view = replace(view_in_phase(GroupPhase.SERVING, 60), specs=(spec,))
    wanted = [LoadAdapters("a-z1-1", vm.vm, ("lora",)) for vm in VMS]
    assert decisions_of(view, LoadAdapters) == wanted
    loaded = OrderState(7, NOW_S, False, OrderOutcome.ACCEPTED, ("lora",))
    refused = replace(loaded, outcome=OrderOutcome.REFUSED)
    one = replace(view, orders={"d1-0": loaded, "d1-1": refused})
    assert not decisions_of(one, MarkAdaptersLoaded)
    both = replace(view, orders={"d1-0": loaded, "d1-1": loaded})
    assert decisions_of(both, MarkAdaptersLoaded) == [
        MarkAdaptersLoaded("a-z1-1", ("lora",))
    ]


def test_downtime_and_stranded_time_are_counted() -> None:
    """Guards against measures that hide an outage or count a failed VM as stranded."""
    sim = SimulatedZone([make_spec("a")], make_vms("z1", "d1", 3))
    sim.run_for(60)
    measures = sim.node.state.groups.measures
    downtime_s = sum(measures.downtime_s.values())
    stranded_s = dict(measures.stranded_s)
    assert 15 < downtime_s < 30
    assert stranded_s["z1", "spare"] > 50
    sim.engines["d1-0"].responsive = False
    sim.run_for(8)
    assert 4 < sum(measures.downtime_s.values()) - downtime_s <= 8
    assert 4 < measures.stranded_s["z1", "group_closed"] <= 8


def test_all_groups_move_to_a_new_version() -> None:
    """Guards against a rollout that stops halfway and leaves two versions serving."""
    spec = make_spec("a", min_groups=2, max_groups=3)
    sim = SimulatedZone([spec], make_vms("z1", "d1", 6))
    sim.run_for(60)
    sim.declare(spec.model_copy(update={"version": "2"}))
    measures = sim.node.state.groups.measures
    before_s = sum(measures.downtime_s.values())
    sim.run_for(200)
    groups = sim.node.state.groups.groups.values()
    assert [(item.model_version, item.phase) for item in groups] == [
        ("2", GroupPhase.SERVING)
    ] * 3
    assert sum(measures.downtime_s.values()) == before_s


def test_share_of_a_leaving_vm_moves_to_another_zone() -> None:
    """Guards against a share that stays in a zone whose VM reports that it leaves."""
    spec = make_spec("a", min_groups=2, max_groups=2)
    vms = [*make_vms("z1", "d1", 2), *make_vms("z2", "d2", 4)]
    sim = SimulatedZone([spec], vms)
    sim.run_for(5.0)
    state, now_s = sim.node.state, sim.node.now_s
    before = current_zone_shares(state, now_s).shares
    assert before["a", "z1"].min_groups == 1
    sim.engines["d1-0"].leaving = True
    sim.run_for(2.0)
    after = current_zone_shares(state, sim.node.now_s).shares
    assert after["a", "z2"].min_groups == 2


def test_lease_is_exported_only_while_it_is_held() -> None:
    """Guards against a metric that shows a lease as held after it has lapsed."""
    sim = SimulatedZone([make_spec("a")], make_vms("z1", "d1", 2))
    sim.run_for(3.0)
    export_metrics(sim.node.state, sim.node.now_s)
    assert LEASES.get({"zone": "z1"}) == 1
    export_metrics(sim.node.state, sim.node.now_s + LEASE_DURATION_S)
    assert LEASES.get({"zone": "z1"}) == 0
