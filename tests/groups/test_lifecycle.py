"""Tests of the steps of existing groups."""

from dataclasses import replace
from typing import Any

import pytest

from gooseberryhall.groups.const import (
    DRAIN_LIMIT_S,
    DRAIN_NOTICE_S,
    FAILED_LIMIT_S,
    LEASE_DURATION_S,
    ORDER_TIMEOUT_S,
)
from gooseberryhall.groups.controller import current_division
from gooseberryhall.groups.decisions import (
    Decision,
    FreeMembers,
    LoadAdapters,
    MarkAdapters,
    ReleaseGroup,
    ReleaseOrphan,
    SendGroupOrder,
)
from gooseberryhall.groups.effects import OrderOutcome
from gooseberryhall.groups.measures import LEASES, export
from gooseberryhall.groups.models import GroupPhase
from gooseberryhall.groups.planner import plan
from gooseberryhall.groups.state import OrderState
from gooseberryhall.groups.view import PlanView, phase_key
from gooseberryhall.membership.models import Evidence, MemberState

from .test_planner import NOW_S, ended, group_row, health, make_view, silence
from .world import World, make_spec, make_vms

SPEC = make_spec("a")
VMS = make_vms("z1", "d1", 2)


def view_in_phase(phase: GroupPhase, age_s: float, **changes: Any) -> PlanView:
    """Return a view of one group that has been in a phase for some time."""
    row = group_row(SPEC, "a-z1-1", VMS, phase)
    since_s = {phase_key(row): NOW_S - age_s}
    return make_view([SPEC], VMS, [row], phase_since_s=since_s, **changes)


def report(view: PlanView, vm: str, **changes: Any) -> PlanView:
    """Return the view with another health answer of a member."""
    serving = health(vm, group="a-z1-1", generation=7, state=MemberState.SERVING)
    evidence = Evidence(vm, replace(serving, **changes), NOW_S)
    return replace(view, evidence={**view.evidence, vm: evidence})


def of_type(view: PlanView, kind: type[Decision]) -> list[Decision]:
    """Return the decisions of one type."""
    return [item for item in plan(view) if isinstance(item, kind)]


def test_drain_waits_for_work_until_its_limit() -> None:
    """A planned stop must not cut off requests, and must end some day."""
    fresh = view_in_phase(GroupPhase.DRAINING, DRAIN_NOTICE_S - 1)
    assert not ended(fresh)
    notified = view_in_phase(GroupPhase.DRAINING, DRAIN_NOTICE_S + 1)
    assert ended(notified)
    assert not ended(report(notified, "d1-0", active=1))
    assert not ended(report(notified, "d1-1", queued=1))
    overdue = view_in_phase(GroupPhase.DRAINING, DRAIN_LIMIT_S + 1)
    assert ended(report(overdue, "d1-0", active=1))


@pytest.mark.parametrize("refuse_old_fence", [True, False])
def test_members_are_freed_after_read_back(refuse_old_fence: bool) -> None:
    """A VM that still runs its old group must not be assigned again."""
    ordered_s = NOW_S - ORDER_TIMEOUT_S - 1
    orders = {
        vm.vm: OrderState(7, ordered_s, False, OrderOutcome.ACCEPTED) for vm in VMS
    }
    changes = {"orders": orders, "refuse_old_fence": refuse_old_fence}
    view = view_in_phase(GroupPhase.RELEASING, ORDER_TIMEOUT_S + 1, **changes)
    assert not of_type(view, FreeMembers)
    assert len(of_type(view, SendGroupOrder)) == 2
    idle = report(view, "d1-0", group="", generation=0, state=MemberState.IDLE)
    assert of_type(idle, FreeMembers) == [FreeMembers("a-z1-1", ("d1-0",))]
    assert not of_type(silence(view, "d1-0", 30), FreeMembers)
    # An order that is still on its way could place the VM again.
    early = view_in_phase(GroupPhase.RELEASING, ORDER_TIMEOUT_S - 1, **changes)
    early = report(early, "d1-0", group="", generation=0, state=MemberState.IDLE)
    assert bool(of_type(early, FreeMembers)) is refuse_old_fence
    failed = {"d1-0": OrderState(7, ordered_s, False, OrderOutcome.UNAVAILABLE)}
    unsure = replace(idle, orders={**orders, **failed})
    assert not of_type(unsure, FreeMembers)
    assert SendGroupOrder("a-z1-1", "d1-0") in plan(unsure)
    before = {"d1-0": OrderState(7, NOW_S + 1, False, OrderOutcome.ACCEPTED)}
    assert not of_type(replace(idle, orders=before), FreeMembers)


def test_failure_without_silent_member_releases_the_group() -> None:
    """A lead also fails while a member is paused, which must not cost a regroup."""
    key = ("a-z1-1", 7)
    failed_since_s = {key: NOW_S - FAILED_LIMIT_S - 1}
    view = view_in_phase(GroupPhase.SERVING, 60, failed_since_s=failed_since_s)
    failed = report(view, "d1-0", state=MemberState.FAILED)
    assert of_type(failed, ReleaseGroup)
    assert not of_type(silence(failed, "d1-1", 5), ReleaseGroup)


def test_order_is_sent_again_when_evidence_disagrees() -> None:
    """An old order to an engine that ignores fencing has to be undone."""
    view = view_in_phase(GroupPhase.SERVING, 60)
    other = report(view, "d1-1", generation=3)
    assert of_type(other, SendGroupOrder) == [SendGroupOrder("a-z1-1", "d1-1")]
    in_flight = {"d1-1": OrderState(7, NOW_S - 0.5)}
    assert not of_type(replace(other, orders=in_flight), SendGroupOrder)


def test_orphan_is_released() -> None:
    """A VM that runs a group without being assigned would stay unusable."""
    view = make_view([SPEC], VMS, [])
    orphan = report(view, "d1-0", group="gone", generation=3)
    assert of_type(orphan, ReleaseOrphan) == [ReleaseOrphan("gone", "d1-0", 3)]


def test_adapters_are_loaded_without_a_regroup() -> None:
    """A regroup for an adapter would take the group down for a whole load."""
    spec = SPEC.model_copy(update={"adapters": ("lora",)})
    view = replace(view_in_phase(GroupPhase.SERVING, 60), specs=(spec,))
    wanted = [LoadAdapters("a-z1-1", vm.vm, ("lora",)) for vm in VMS]
    assert of_type(view, LoadAdapters) == wanted
    loaded = OrderState(7, NOW_S, False, OrderOutcome.ACCEPTED, ("lora",))
    refused = replace(loaded, outcome=OrderOutcome.REFUSED)
    one = replace(view, orders={"d1-0": loaded, "d1-1": refused})
    assert not of_type(one, MarkAdapters)
    both = replace(view, orders={"d1-0": loaded, "d1-1": loaded})
    assert of_type(both, MarkAdapters) == [MarkAdapters("a-z1-1", ("lora",))]


def test_downtime_and_stranded_time_are_counted() -> None:
    """Wrong measures would hide an outage or blame the planner for a dead VM."""
    world = World([make_spec("a")], make_vms("z1", "d1", 3))
    world.run_for(60)
    measures = world.node.state.groups.measures
    downtime_s = sum(measures.downtime_s.values())
    stranded_s = dict(measures.stranded_s)
    assert 15 < downtime_s < 30
    assert stranded_s["z1", "spare"] > 50
    world.engines["d1-0"].alive = False
    world.run_for(8)
    assert 4 < sum(measures.downtime_s.values()) - downtime_s <= 8
    assert 4 < measures.stranded_s["z1", "group_closed"] <= 8


def test_all_groups_move_to_a_new_version() -> None:
    """A roll-out that stops half-way would leave two versions in service for good."""
    spec = make_spec("a", min_groups=2, max_groups=3)
    world = World([spec], make_vms("z1", "d1", 6))
    world.run_for(60)
    world.declare(spec.model_copy(update={"version": "2"}))
    measures = world.node.state.groups.measures
    before_s = sum(measures.downtime_s.values())
    world.run_for(200)
    groups = world.node.state.groups.groups.values()
    assert [(item.model_version, item.phase) for item in groups] == [
        ("2", GroupPhase.SERVING)
    ] * 3
    assert sum(measures.downtime_s.values()) == before_s


def test_share_of_a_leaving_vm_moves_to_another_zone() -> None:
    """A VM that leaves by its own word must not hold a zone's share of the groups."""
    spec = make_spec("a", min_groups=2, max_groups=2)
    vms = [*make_vms("z1", "d1", 2), *make_vms("z2", "d2", 4)]
    world = World([spec], vms)
    world.run_for(5.0)
    state, now_s = world.node.state, world.node.now_s
    before = current_division(state, now_s).shares
    assert before["a", "z1"].min_groups == 1
    world.engines["d1-0"].leaving = True
    world.run_for(2.0)
    after = current_division(state, world.node.now_s).shares
    assert after["a", "z2"].min_groups == 2


def test_lease_is_exported_only_while_it_is_held() -> None:
    """An operator must not see a planner in a zone whose lease has lapsed."""
    world = World([make_spec("a")], make_vms("z1", "d1", 2))
    world.run_for(3.0)
    export(world.node.state, world.node.now_s)
    assert LEASES.get({"zone": "z1"}) == 1
    export(world.node.state, world.node.now_s + LEASE_DURATION_S)
    assert LEASES.get({"zone": "z1"}) == 0
