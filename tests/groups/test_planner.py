"""Tests of the planner's constraints and objectives."""

from dataclasses import replace
from typing import Any

import pytest

from gooseberryhall.config.models import GroupSpec, Policy
from gooseberryhall.groups.const import SERVING_PROPAGATION_S
from gooseberryhall.groups.decisions import DrainGroup, FormGroup, Reason, ReleaseGroup
from gooseberryhall.groups.models import Group, GroupPhase, Member, Vm, VmState
from gooseberryhall.groups.planner import plan
from gooseberryhall.groups.rows import GroupRow
from gooseberryhall.groups.shares import Share, divide_groups
from gooseberryhall.groups.state import LoadedModel
from gooseberryhall.groups.tuning import (
    WAIT_WITH_REPLACEMENT_S,
    WAIT_WITHOUT_REPLACEMENT_S,
    Tuning,
)
from gooseberryhall.groups.view import PlanView, phase_key
from gooseberryhall.membership.models import Evidence, MemberHealth, MemberState

from .simulated_zone import make_spec, make_vms

NOW_S = 1000.0


def health(vm: str, **changes: Any) -> MemberHealth:
    """Return the health of an idle VM, with changes."""
    idle = MemberHealth(vm, f"boot-{vm}", "", 0, MemberState.IDLE, False, 0, 0)
    return replace(idle, **changes)


def group_row(
    spec: GroupSpec, name: str, vms: list[Vm], phase: GroupPhase = GroupPhase.SERVING
) -> GroupRow:
    """Return a group of these VMs with generation 7."""
    members = tuple(Member(vm.vm, f"boot-{vm.vm}", vm.address) for vm in vms)
    group = Group(
        name, spec.name, "z1", vms[0].fabric_domain, spec.model, spec.version, 7,
        phase, members, 7,
    )  # fmt: skip
    return GroupRow(group, spec.adapters, 7)


def make_view(
    specs: list[GroupSpec], vms: list[Vm], rows: list[GroupRow], **changes: Any
) -> PlanView:
    """Return a view in which all VMs are healthy and all groups serve."""
    evidence = {vm.vm: Evidence(vm.vm, health(vm.vm), NOW_S) for vm in vms}
    for row in rows:
        for member in row.group.members:
            serving = health(
                member.vm, group=row.name, generation=7, state=MemberState.SERVING
            )
            evidence[member.vm] = Evidence(member.vm, serving, NOW_S)
    names = frozenset(vm.vm for vm in vms)
    values: dict[str, Any] = {
        "zone": "z1",
        "now_s": NOW_S,
        "specs": tuple(specs),
        "policy": Policy(name="default"),
        "labels": {},
        "vms": {vm.vm: vm for vm in vms},
        "evidence": evidence,
        "rows": {row.name: row for row in rows},
        "shares": {
            (spec.name, "z1"): Share(spec.min_groups, spec.max_groups) for spec in specs
        },
        "selected": {spec.name: names for spec in specs},
        "tuning": Tuning(),
        **changes,
    }
    return PlanView(**values)


def with_unresponsive_vm(view: PlanView, vm: str, seconds: float) -> PlanView:
    """Return the view with a VM that has been unresponsive for some seconds."""
    evidence = {**view.evidence, vm: Evidence(vm, None, NOW_S)}
    since_s = {**view.unresponsive_since_s, vm: NOW_S - seconds}
    return replace(view, evidence=evidence, unresponsive_since_s=since_s)


def formed(view: PlanView) -> list[FormGroup]:
    """Return the groups that the planner forms."""
    return [item for item in plan(view) if isinstance(item, FormGroup)]


def ended(view: PlanView) -> dict[str, Reason]:
    """Return the groups that the planner drains or releases."""
    return {
        item.group: item.reason
        for item in plan(view)
        if isinstance(item, DrainGroup | ReleaseGroup)
    }


@pytest.mark.parametrize(
    "changes",
    [
        {"leaving": True},
        {"group": "other", "generation": 3},
        {"state": MemberState.FAILED},
    ],
)
def test_only_healthy_idle_vms_are_used(changes: dict[str, Any]) -> None:
    """Guards against a group on a VM that is leaving, failed or in another group."""
    vms = make_vms("z1", "d1", 2)
    view = make_view([make_spec("a")], vms, [])
    evidence = {
        **view.evidence,
        vms[0].vm: Evidence(vms[0].vm, health(vms[0].vm, **changes), NOW_S),
    }
    assert formed(view)
    assert not formed(replace(view, evidence=evidence))
    stale = {**view.evidence, vms[0].vm: Evidence(vms[0].vm, health("x"), NOW_S - 4)}
    assert not formed(replace(view, evidence=stale))
    drained = {vms[0].vm: {"gooseberryhall.io/drain": "true"}}
    assert not formed(replace(view, labels=drained))


def test_members_share_a_fabric_domain() -> None:
    """Guards against a replica across fabric domains, which would be slow."""
    vms = [*make_vms("z1", "d1", 2), *make_vms("z1", "d2", 3)]
    view = make_view([make_spec("a", members=3)], vms, [])
    (group,) = formed(view)
    assert {member.vm for member in group.members} == {"d2-0", "d2-1", "d2-2"}
    split = [*make_vms("z1", "d1", 2), *make_vms("z1", "d2", 2)]
    assert not formed(make_view([make_spec("a", members=3)], split, []))


def test_vms_with_the_weights_are_preferred() -> None:
    """Guards against cold loads on VMs while other VMs have the weights in memory.

    A cold load takes many times longer.
    """
    vms = make_vms("z1", "d1", 4)
    loaded = {vm.vm: LoadedModel(f"boot-{vm.vm}", "a", "1") for vm in vms[2:]}
    view = make_view([make_spec("a")], vms, [], loaded=loaded)
    assert [item.vm for item in formed(view)[0].members] == ["d1-2", "d1-3"]
    restarted = {vm.vm: LoadedModel("earlier", "a", "1") for vm in vms[2:]}
    view = make_view([make_spec("a")], vms, [], loaded=restarted)
    assert [item.vm for item in formed(view)[0].members] == ["d1-0", "d1-1"]


def test_minimum_of_all_specs_comes_first() -> None:
    """Guards against an extra group of high priority while another spec has none."""
    first = make_spec("a", priority=9, max_groups=2)
    second = make_spec("b", priority=1)
    vms = make_vms("z1", "d1", 4)
    view = make_view([first, second], vms, [group_row(first, "a-z1-1", vms[:2])])
    assert [item.spec for item in formed(view)] == ["b"]


def test_group_waits_for_a_paused_member() -> None:
    """Guards against a load of a whole group because of a short pause."""
    spec = make_spec("a")
    vms = make_vms("z1", "d1", 3)
    view = make_view([spec], vms, [group_row(spec, "a-z1-1", vms[:2])])
    assert not ended(with_unresponsive_vm(view, "d1-0", WAIT_WITH_REPLACEMENT_S - 1))
    late = with_unresponsive_vm(view, "d1-0", WAIT_WITH_REPLACEMENT_S + 1)
    assert ended(late) == {"a-z1-1": Reason.MEMBER_LOST}


def test_group_without_replacement_is_held_longer() -> None:
    """Guards against a release without replacement, which only adds downtime."""
    spec = make_spec("a")
    vms = make_vms("z1", "d1", 2)
    view = make_view([spec], vms, [group_row(spec, "a-z1-1", vms)])
    assert not ended(with_unresponsive_vm(view, "d1-0", WAIT_WITHOUT_REPLACEMENT_S - 1))
    assert ended(with_unresponsive_vm(view, "d1-0", WAIT_WITHOUT_REPLACEMENT_S + 1))


def test_nothing_is_released_when_no_vm_responds() -> None:
    """Guards against a partitioned holder that releases working groups."""
    spec = make_spec("a")
    vms = make_vms("z1", "d1", 2)
    view = make_view([spec], vms, [group_row(spec, "a-z1-1", vms)])
    for vm in vms:
        view = with_unresponsive_vm(view, vm.vm, 10 * WAIT_WITHOUT_REPLACEMENT_S)
    assert not ended(view)


def test_restarted_member_replaces_the_group() -> None:
    """Guards against a group that waits for a restarted member with empty memory."""
    spec = make_spec("a")
    vms = make_vms("z1", "d1", 2)
    view = make_view([spec], vms, [group_row(spec, "a-z1-1", vms)])
    restarted = Evidence("d1-0", health("d1-0", boot_id="new"), NOW_S)
    view = replace(view, evidence={**view.evidence, "d1-0": restarted})
    assert ended(view) == {"a-z1-1": Reason.MEMBER_RESTARTED}


def test_lower_priority_group_gives_way() -> None:
    """Guards against a spec below its minimum while lower priorities use the VMs."""
    low, high = make_spec("a", priority=1, min_groups=2, max_groups=2), make_spec("b")
    vms = make_vms("z1", "d1", 5)
    rows = [group_row(low, "a-z1-1", vms[:2]), group_row(low, "a-z1-2", vms[2:4])]
    assert ended(make_view([low, high], vms, rows)) == {"a-z1-1": Reason.PREEMPTED}
    same = low.model_copy(update={"priority": high.priority})
    assert not ended(make_view([same, high], vms, rows))
    # While a group is ending, its VMs are awaited and no other group is ended.
    rows[0] = group_row(low, "a-z1-1", vms[:2], GroupPhase.DRAINING)
    assert not ended(make_view([low, high], vms, rows))


def test_freed_vms_are_kept_for_the_higher_priority() -> None:
    """Guards against a preempted group that reuses its VMs and is preempted again."""
    low = make_spec("a", priority=1, min_groups=2, max_groups=2)
    high = make_spec("b", members=4)
    vms = make_vms("z1", "d1", 4)
    ending = group_row(low, "a-z1-2", vms[2:], GroupPhase.DRAINING)
    assert not formed(make_view([low, high], vms, [ending]))
    assert formed(make_view([low], vms, [ending]))


def test_preemption_ends_as_few_groups_as_possible() -> None:
    """Guards against preemption of more groups than necessary.

    Each of them loses its weights and its requests.
    """
    small = make_spec("a", priority=1, min_groups=2, max_groups=2)
    medium = make_spec("c", priority=1, members=4)
    large = make_spec("b", members=4)
    vms = [*make_vms("z1", "d1", 4), *make_vms("z1", "d2", 4)]
    rows = [
        group_row(small, "a-z1-1", vms[:2]),
        group_row(small, "a-z1-2", vms[2:4]),
        group_row(medium, "c-z1-1", vms[4:]),
    ]
    view = make_view([small, medium, large], vms, rows)
    assert ended(view) == {"c-z1-1": Reason.PREEMPTED}


def test_loads_are_limited() -> None:
    """Guards against more concurrent loads than the weight store can serve.

    All of them would be slow.
    """
    spec = make_spec("a", min_groups=4, max_groups=4)
    vms = make_vms("z1", "d1", 8)
    loading = [
        group_row(spec, f"a-z1-{n}", vms[2 * n - 2 : 2 * n], GroupPhase.LOADING)
        for n in (1, 2)
    ]
    policy = Policy(name="default", max_concurrent_loads=2)
    assert formed(make_view([spec], vms, loading))
    assert not formed(make_view([spec], vms, loading, policy=policy))


@pytest.mark.parametrize(("serving", "drained"), [(3, 1), (2, 0)])
def test_rollout_keeps_the_minimum(serving: int, drained: int) -> None:
    """Guards against a rollout with fewer serving groups than the minimum."""
    spec = make_spec("a", min_groups=2, max_groups=3)
    vms = make_vms("z1", "d1", 2 * serving)
    rows = [
        group_row(spec, f"a-z1-{n}", vms[2 * n : 2 * n + 2]) for n in range(serving)
    ]
    newer = spec.model_copy(update={"version": "2"})
    served = {phase_key(row): NOW_S - SERVING_PROPAGATION_S for row in rows}
    view = make_view([newer], vms, rows, phase_since_s=served)
    assert len(ended(view)) == drained
    # A group does not count while other nodes may not know yet that it serves.
    recent = {phase_key(row): NOW_S - SERVING_PROPAGATION_S / 2 for row in rows[1:]}
    assert not ended(replace(view, phase_since_s={**served, **recent}))
    # A group that does not serve by evidence does not count and is drained first.
    broken = with_unresponsive_vm(view, "d1-5" if serving == 3 else "d1-3", 1)
    assert set(ended(broken)) == ({"a-z1-2"} if drained else set())
    assert not ended(with_unresponsive_vm(broken, "d1-0", 1))


def test_rollout_forms_first_when_there_is_no_surplus() -> None:
    """Guards against a drain before an extra group serves when there is no surplus."""
    spec = make_spec("a", min_groups=2, max_groups=2)
    vms = make_vms("z1", "d1", 6)
    rows = [group_row(spec, f"a-z1-{n}", vms[2 * n - 2 : 2 * n]) for n in (1, 2)]
    newer = spec.model_copy(update={"version": "2"})
    view = make_view([newer], vms, rows)
    assert not ended(view)
    assert len(formed(view)) == 1


def test_declared_groups_are_spread_over_zones() -> None:
    """Guards against groups that share one zone and are lost together."""
    spec = make_spec("a", min_groups=3, max_groups=5)
    vms = [vm for zone in ("z1", "z2", "z3") for vm in make_vms(zone, f"{zone}-d", 5)]
    labels = {vm.vm: {"use": "yes"} for vm in vms}
    shares = divide_groups([spec], vms, labels, unresponsive=())
    assert {key[1]: share.min_groups for key, share in shares.items()} == {
        "z1": 1,
        "z2": 1,
        "z3": 1,
    }
    assert sum(share.max_groups for share in shares.values()) == 5
    zone_down = {vm.vm for vm in vms if vm.zone == "z1"}
    moved = divide_groups([spec], vms, labels, unresponsive=zone_down)
    assert sorted(key[1] for key in moved) == ["z2", "z3"]
    assert sum(share.min_groups for share in moved.values()) == 3


def test_share_that_fits_nowhere_is_still_declared() -> None:
    """Guards against groups without VMs that count as missing in no zone."""
    spec = make_spec("a", min_groups=4, max_groups=4)
    vms = [*make_vms("z1", "d1", 3), *make_vms("z2", "d2", 2)]
    labels = {vm.vm: {"use": "yes"} for vm in vms}
    shares = divide_groups([spec], vms, labels, unresponsive=())
    assert sum(share.min_groups for share in shares.values()) == 4


def test_leaving_member_drains_its_group() -> None:
    """Guards against new requests, or cut off requests, on a VM that is leaving."""
    spec = make_spec("a")
    vms = make_vms("z1", "d1", 2)
    view = make_view([spec], vms, [group_row(spec, "a-z1-1", vms)])
    listed = {**view.vms, "d1-1": replace(vms[1], state=VmState.LEAVING)}
    assert ended(replace(view, vms=listed)) == {"a-z1-1": Reason.MEMBER_LEAVING}
