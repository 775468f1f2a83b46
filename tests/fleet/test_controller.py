"""Tests of group formation with lost and unreachable servers and new owners."""

import asyncio
from dataclasses import replace

import pytest

from gooseberryhall.fleet.const import SPARE_GROUP_PREFIX
from gooseberryhall.fleet.controller import probe_group, reconcile
from gooseberryhall.fleet.lifecycle import dissolve_group
from gooseberryhall.fleet.models import Group, Membership, MemberState
from gooseberryhall.fleet.statements import ServerStatement
from gooseberryhall.fleet.view import REPORT_PRECEDENCE_S
from gooseberryhall.fleet.zone import ZoneState
from tests.fleet.common import FakeEngines, FakeZone, server


def _zone(count: int = 7) -> FakeZone:
    return FakeZone(FakeEngines(*(server(f"s{number}") for number in range(count))))


async def _async_form_groups(zone: FakeZone) -> ZoneState:
    """Return a zone state in which one group of each model serves."""
    zone.list_servers()
    state = zone.create()
    await zone.async_run(state, lambda: len(state.open_groups()) == 2)
    return state


async def _async_form_groups_with_spares(zone: FakeZone) -> ZoneState:
    """Return a zone state in which groups serve and spares have loaded a model."""
    state = await _async_form_groups(zone)
    servers = zone.engines.servers.values()
    await zone.async_run(state, lambda: all(fake.last_model for fake in servers))
    return state


def _group_of(state: ZoneState, model: str) -> Group:
    return next(group for group in state.open_groups() if group.model == model)


async def test_domain_forms_one_group_of_each_model() -> None:
    """Guards against a model without a group and unused servers that load nothing."""
    zone = _zone()
    state = await _async_form_groups_with_spares(zone)
    models = sorted(group.model for group in state.open_groups())
    assert models == ["large", "small"]
    await zone.async_stop()
    assert zone.engines.violations == []


async def test_lost_member_is_replaced_by_a_prepared_spare() -> None:
    """Guards against a group that serves without a member, or that is not replaced."""
    zone = _zone()
    state = await _async_form_groups_with_spares(zone)
    zone.traffic = True
    large = _group_of(state, "large")
    lost = large.members[1]
    zone.engines.servers[lost].reachable = False
    probe_group(state, large.leader)
    await zone.async_run(
        state,
        lambda: any(
            group.model == "large" and lost not in group.members
            for group in state.open_groups()
        ),
    )
    await zone.async_stop()
    assert zone.engines.violations == []


async def test_groups_outlive_a_pause_of_all_servers() -> None:
    """Guards against dissolving sound groups when this VM stands still (issue 35).

    The servers end the streams of a group that is dissolved.
    """
    zone = _zone()
    state = await _async_form_groups_with_spares(zone)
    zone.traffic = True
    groups = state.open_groups()
    for fake in zone.engines.servers.values():
        fake.reachable = False
    for group in groups:
        probe_group(state, group.leader)
    for _ in range(50):
        reconcile(state)
        await asyncio.sleep(0.002)
    assert state.open_groups() == groups
    assert not state.unresponsive
    await zone.async_stop()
    assert zone.engines.violations == []


async def test_members_of_an_unreachable_leader_leave_before_they_join() -> None:
    """Guards against members that join another group while their leader may serve.

    An unreachable leader may still take requests.
    """
    zone = _zone()
    state = await _async_form_groups_with_spares(zone)
    zone.traffic = True
    large = _group_of(state, "large")
    zone.engines.servers[large.leader].reachable = False
    zone.list_servers(large.leader)
    await zone.async_run(
        state,
        lambda: any(
            group.model == "large" and large.leader not in group.members
            for group in state.open_groups()
        ),
    )
    assert "leave" in zone.engines.servers[large.members[1]].orders
    zone.engines.servers[large.leader].reachable = True
    zone.list_servers()
    await zone.async_run(
        state,
        lambda: (
            zone.engines.servers[large.leader].membership is None
            or large.leader not in zone.engines.open_groups()
        ),
    )
    await zone.async_stop()
    assert zone.engines.violations == []


@pytest.mark.parametrize("rank", [0, 1])
async def test_group_whose_member_cannot_reach_the_store_serves_on(rank: int) -> None:
    """Guards against streams that all move at once when many records lapse.

    26 of 222 servers lost the store during a burst: the groups of all of them were
    dissolved within a second, and 197 streams had to start elsewhere.
    """
    zone = _zone()
    state = await _async_form_groups_with_spares(zone)
    zone.traffic = True
    large = _group_of(state, "large")
    zone.list_servers(large.members[rank])
    for _ in range(20):
        reconcile(state)
        await asyncio.sleep(0.01)
    assert large in state.open_groups()
    zone.list_servers()
    reconcile(state)
    assert large in state.open_groups()
    await zone.async_stop()


async def test_group_whose_unlisted_member_restarted_is_replaced() -> None:
    """Guards against a group that is kept with a member that forgot it."""
    zone = _zone()
    state = await _async_form_groups_with_spares(zone)
    zone.traffic = True
    large = _group_of(state, "large")
    member = large.members[1]
    zone.engines.servers[member].membership = None
    zone.list_servers(member)
    await zone.async_run(state, lambda: large not in state.open_groups())
    await zone.async_stop()


async def test_group_is_replaced_if_a_leaving_member_is_unlisted() -> None:
    """Guards against a member that leaves, removes its record and counts as staying."""
    zone = _zone()
    state = await _async_form_groups_with_spares(zone)
    zone.traffic = True
    large = _group_of(state, "large")
    fake = zone.engines.servers[large.members[1]]
    fake.record = replace(fake.record, leaving=True)
    zone.list_servers()
    reconcile(state)
    zone.list_servers(large.members[1])
    reconcile(state)
    assert state.groups[large.name, large.epoch].leaving_since_s is not None
    await zone.async_stop()


async def test_paused_member_without_a_record_keeps_its_group() -> None:
    """Guards against a member that is lost because it may not be asked."""
    zone = _zone()
    state = await _async_form_groups_with_spares(zone)
    zone.traffic = True
    large = _group_of(state, "large")
    member = large.members[1]
    record = state.view.servers[member]
    now_s = asyncio.get_running_loop().time()
    state.statements.record(record, ServerStatement(pause_s=30.0), now_s)
    # The guard of the engine client sends no requests to a paused server.
    zone.engines.servers[member].reachable = False
    zone.list_servers(member)
    for _ in range(20):
        reconcile(state)
        await asyncio.sleep(0.01)
    assert large in state.open_groups()
    await zone.async_stop()


async def test_new_owner_keeps_complete_groups() -> None:
    """Guards against a change of owner that interrupts groups that serve."""
    zone = _zone(5)
    await _async_form_groups(zone)
    await zone.async_stop()
    before = zone.engines.open_groups()
    zone.list_servers()
    zone.traffic = True
    second = zone.create(term=2)
    await zone.async_run(second, lambda: len(second.open_groups()) == 2)
    await zone.async_stop()
    assert zone.engines.open_groups() == before
    assert zone.engines.violations == []


async def test_new_owner_waits_for_lapsed_records() -> None:
    """Guards against closing a group whose records lapsed during a store outage.

    Such records return.
    """
    zone = _zone(5)
    first = await _async_form_groups(zone)
    await zone.async_stop()
    large = _group_of(first, "large")
    zone.list_servers(large.members[2])
    zone.traffic = True
    second = zone.create(term=2)
    for _ in range(20):
        reconcile(second)
        await asyncio.sleep(0.01)
    zone.list_servers()
    await zone.async_run(second, lambda: len(second.open_groups()) == 2)
    await zone.async_stop()
    assert large.name in zone.engines.open_groups()


async def test_new_owner_releases_members_whose_leader_is_not_listed() -> None:
    """Guards against a member in two groups when the record of its leader is missing.

    The leader may still serve (TWO on trouble-1).
    """
    zone = _zone(5)
    first = await _async_form_groups(zone)
    await zone.async_stop()
    large = _group_of(first, "large")
    zone.engines.servers["s9"] = type(zone.engines.servers["s0"])(server("s9"))
    zone.list_servers(large.leader)
    zone.traffic = True
    second = zone.create(term=2)
    zone.engines.servers["s9"].staged = frozenset({"large"})
    zone.list_servers(large.leader)
    await zone.async_run(
        second,
        lambda: any("s9" in group.members for group in second.open_groups()),
    )
    await zone.async_stop()
    assert zone.engines.violations == []


async def test_stale_record_does_not_release_a_member() -> None:
    """Guards against a record from before a join that undoes a newer report."""
    zone = _zone(5)
    state = await _async_form_groups(zone)
    large = _group_of(state, "large")
    member = large.members[1]
    stale = replace(zone.view.servers[member], membership=None)
    now_s = asyncio.get_running_loop().time()
    zone.view.apply_record(stale, now_s)
    reconcile(state)
    assert large in state.open_groups()
    await zone.async_stop()


async def test_lost_answer_of_an_open_order_does_not_leave_a_group_open() -> None:
    """Guards against an open group that its owner does not manage.

    An order without an answer may have been carried out.
    """
    zone = _zone(5)
    zone.engines.lost_answers = 3
    state = await _async_form_groups(zone)
    await zone.async_stop()
    opened = zone.engines.open_groups()
    assert set(opened) == {group.name for group in state.open_groups()}
    assert zone.engines.violations == []


async def _async_dissolve_group_with_late_orders(
    zone: FakeZone, leaving_rank: int
) -> tuple[ZoneState, Group]:
    """Let a member of the group of s0 leave, and s0 carry out late orders then.

    These are its first order to join the group and the first one to open it; both were
    repeated. Returns the zone and the dissolved group, whose leader is open again.
    """
    zone.engines.late_kinds = {("s0", "join"), ("s0", "open")}
    state = await _async_form_groups(zone)
    group = next(group for group in state.open_groups() if group.leader == "s0")
    leaving = zone.engines.servers[group.members[leaving_rank]]
    leaving.record = replace(leaving.record, leaving=True)
    zone.list_servers()
    await zone.async_run(state, lambda: len(state.groups) == 1)
    zone.engines.carry_out_late()
    assert group.name in zone.engines.open_groups()
    return state, group


async def test_late_orders_do_not_revive_a_dissolved_group() -> None:
    """Guards against a leader that is open again and joins another group (review/4)."""
    zone = _zone(5)
    state, group = await _async_dissolve_group_with_late_orders(zone, leaving_rank=1)
    # A record that differs from a report counts only after this time.
    await asyncio.sleep(REPORT_PRECEDENCE_S + 0.1)
    zone.list_servers()
    await zone.async_run(state, lambda: group.name not in zone.engines.open_groups())
    zone.engines.add(server("s9"))
    zone.list_servers()
    await zone.async_run(state, lambda: len(state.open_groups()) == 2)
    await zone.async_stop()
    assert zone.engines.violations == []


async def test_old_report_does_not_revive_a_dissolved_group() -> None:
    """Guards against a group that counts as open after its leader left it.

    Reports are some hundred milliseconds old. The owner announced such a group for
    seconds, and requests to it were rejected (trouble-3 of cuotas-unidas).
    """
    zone = _zone(7)
    state = await _async_form_groups(zone)
    group = _group_of(state, "large")
    state.revivable_groups.add((group.name, group.epoch))
    leader = zone.engines.servers[group.leader]
    assert leader.membership is not None
    zone.engines.stale_reports[group.leader] = leader.membership
    dissolve_group(state, state.groups[group.name, group.epoch], "test")
    await zone.async_run(state, lambda: (group.name, group.epoch) not in state.groups)
    for _ in range(20):
        reconcile(state)
        await asyncio.sleep(0.01)
        assert group not in state.open_groups()
    await zone.async_stop()
    assert zone.engines.violations == []


async def test_revived_leader_leaves_before_it_joins() -> None:
    """Guards against a join of a revived leader whose record has not changed yet."""
    zone = _zone(5)
    state, group = await _async_dissolve_group_with_late_orders(zone, leaving_rank=1)
    zone.engines.add(server("s9"))
    _list_without_membership(zone, "s0")
    await zone.async_run(state, lambda: len(state.open_groups()) == 2)
    await zone.async_stop()
    assert group.name not in zone.engines.open_groups()
    assert zone.engines.violations == []


async def test_members_of_a_revived_leader_leave_before_they_join() -> None:
    """Guards against a member that joins another group while its leader is open again.

    Members stay in a dissolved group after its leader left, until another group needs
    them; the record of the leader has not changed yet.
    """
    zone = _zone(5)
    state, _ = await _async_dissolve_group_with_late_orders(zone, leaving_rank=0)
    zone.engines.add(server("s9"))
    _list_without_membership(zone, "s0")
    await zone.async_run(state, lambda: len(state.open_groups()) == 2)
    await zone.async_stop()
    assert zone.engines.violations == []


def _list_without_membership(zone: FakeZone, server_id: str) -> None:
    """List all servers, one of them with a record from before it joined a group."""
    fake = zone.engines.servers[server_id]
    membership, fake.membership = fake.membership, None
    zone.list_servers()
    fake.membership = membership


async def test_leader_that_refuses_to_leave_is_asked_again() -> None:
    """Guards against members that join another group while their leader serves.

    A server that sheds work refuses orders, too.
    """
    zone = _zone(5)
    state = await _async_form_groups(zone)
    zone.engines.refused_leaves = 2
    leaving = zone.engines.servers["s2"]
    leaving.record = replace(leaving.record, leaving=True)
    zone.engines.add(server("s9"))
    zone.list_servers()
    await zone.async_run(
        state, lambda: any("s9" in group.members for group in state.open_groups())
    )
    await zone.async_stop()
    assert zone.engines.refused_leaves == 0
    assert zone.engines.violations == []


async def test_group_of_a_leaving_member_is_closed_after_its_streams() -> None:
    """Guards against aborted streams and a group that outlives a leaving member."""
    zone = _zone(5)
    state = await _async_form_groups(zone)
    zone.traffic = True
    large = _group_of(state, "large")
    fake = zone.engines.servers[large.members[1]]
    fake.record = replace(fake.record, leaving=True)
    zone.list_servers()
    reconcile(state)
    assert large in state.open_groups()
    await zone.async_run(state, lambda: large not in state.open_groups())
    await zone.async_stop()
    leader = zone.engines.servers[large.leader]
    assert leader.membership is None or leader.membership.state is not MemberState.OPEN


async def test_new_owner_lets_spares_continue_loading() -> None:
    """Guards against a second join, which restarts the load of the weights.

    Seen on trouble-1 of tks-aeration.
    """
    zone = _zone(1)
    zone.traffic = True
    fake = zone.engines.servers["s0"]
    name = f"{SPARE_GROUP_PREFIX}small-1000004"
    fake.membership = Membership(name, 1000004, 0, MemberState.JOINING)
    zone.list_servers()
    state = zone.create(term=2)
    for _ in range(10):
        reconcile(state)
        await asyncio.sleep(0.01)
    await zone.async_stop()
    assert "join" not in fake.orders
