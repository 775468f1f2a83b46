"""Tests of group formation with servers that are lost, cut off or taken over."""

import asyncio
from dataclasses import replace

from gooseberryhall.fleet.const import SPARE_GROUP_PREFIX
from gooseberryhall.fleet.controller import suspect, tick
from gooseberryhall.fleet.models import Group, Membership, MemberState
from gooseberryhall.fleet.zone import ZoneState
from tests.fleet.common import FakeEngines, Zone, server


def _zone(count: int = 7) -> Zone:
    return Zone(FakeEngines(*(server(f"s{number}") for number in range(count))))


async def _async_formed(zone: Zone) -> ZoneState:
    """Return a controller whose groups, one of each model, serve."""
    zone.list_servers()
    controller = zone.create()
    await zone.async_run(controller, lambda: len(controller.open_groups()) == 2)
    return controller


async def _async_formed_with_spares(zone: Zone) -> ZoneState:
    """Return a controller whose groups serve and whose spares are loaded."""
    controller = await _async_formed(zone)
    servers = zone.engines.servers.values()
    await zone.async_run(controller, lambda: all(fake.last_model for fake in servers))
    return controller


def _group_of(controller: ZoneState, model: str) -> Group:
    return next(group for group in controller.open_groups() if group.model == model)


async def test_domain_forms_one_group_of_each_model() -> None:
    """Both models serve, and the servers left over are prepared as spares."""
    zone = _zone()
    controller = await _async_formed_with_spares(zone)
    models = sorted(group.model for group in controller.open_groups())
    assert models == ["large", "small"]
    await zone.async_stop()
    assert zone.engines.violations == []


async def test_lost_member_is_replaced_by_a_prepared_spare() -> None:
    """A group that lost a member closes, and its servers serve again at once."""
    zone = _zone()
    controller = await _async_formed_with_spares(zone)
    zone.traffic = True
    large = _group_of(controller, "large")
    lost = large.members[1]
    zone.engines.servers[lost].reachable = False
    suspect(controller, large.leader)
    await zone.async_run(
        controller,
        lambda: any(
            group.model == "large" and lost not in group.members
            for group in controller.open_groups()
        ),
    )
    await zone.async_stop()
    assert zone.engines.violations == []


async def test_members_of_an_unreachable_head_leave_before_they_join() -> None:
    """An unreachable head may still serve, so its members must leave first."""
    zone = _zone()
    controller = await _async_formed_with_spares(zone)
    zone.traffic = True
    large = _group_of(controller, "large")
    zone.engines.servers[large.leader].reachable = False
    zone.list_servers(large.leader)
    await zone.async_run(
        controller,
        lambda: any(
            group.model == "large" and large.leader not in group.members
            for group in controller.open_groups()
        ),
    )
    assert "leave" in zone.engines.servers[large.members[1]].orders
    zone.engines.servers[large.leader].reachable = True
    zone.list_servers()
    await zone.async_run(
        controller,
        lambda: (
            zone.engines.servers[large.leader].membership is None
            or large.leader not in zone.engines.open_groups()
        ),
    )
    await zone.async_stop()
    assert zone.engines.violations == []


async def test_new_owner_keeps_whole_groups() -> None:
    """A change of owner must not interrupt groups that serve."""
    zone = _zone(5)
    await _async_formed(zone)
    await zone.async_stop()
    before = zone.engines.open_groups()
    zone.list_servers()
    zone.traffic = True
    second = zone.create(term=2)
    await zone.async_run(second, lambda: len(second.open_groups()) == 2)
    await zone.async_stop()
    assert zone.engines.open_groups() == before
    assert zone.engines.violations == []


async def test_new_owner_waits_for_lapsed_entries() -> None:
    """Entries that lapsed with the store return; their group must not be closed."""
    zone = _zone(5)
    first = await _async_formed(zone)
    await zone.async_stop()
    large = _group_of(first, "large")
    zone.list_servers(large.members[2])
    zone.traffic = True
    second = zone.create(term=2)
    for _ in range(20):
        tick(second)
        await asyncio.sleep(0.01)
    zone.list_servers()
    await zone.async_run(second, lambda: len(second.open_groups()) == 2)
    await zone.async_stop()
    assert large.name in zone.engines.open_groups()


async def test_new_owner_frees_members_whose_head_is_unknown() -> None:
    """The head's entry may be missing although it serves (TWO on trouble-1)."""
    zone = _zone(5)
    first = await _async_formed(zone)
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


async def test_stale_entry_does_not_free_a_member() -> None:
    """An entry that was written before a join must not undo what was reported."""
    zone = _zone(5)
    controller = await _async_formed(zone)
    large = _group_of(controller, "large")
    member = large.members[1]
    stale = replace(zone.view.servers[member], membership=None)
    now_s = asyncio.get_running_loop().time()
    zone.view.apply_record(stale, now_s)
    tick(controller)
    assert large in controller.open_groups()
    await zone.async_stop()


async def test_lost_answer_of_an_open_order_does_not_leave_a_group_open() -> None:
    """An order without an answer may have been carried out."""
    zone = _zone(5)
    zone.engines.lost_answers = 3
    controller = await _async_formed(zone)
    await zone.async_stop()
    opened = zone.engines.open_groups()
    assert set(opened) == {group.name for group in controller.open_groups()}
    assert zone.engines.violations == []


async def test_group_of_a_leaving_member_is_closed_after_its_streams() -> None:
    """A member that leaves takes its group with it, but streams may end first."""
    zone = _zone(5)
    controller = await _async_formed(zone)
    zone.traffic = True
    large = _group_of(controller, "large")
    fake = zone.engines.servers[large.members[1]]
    fake.record = replace(fake.record, leaving=True)
    zone.list_servers()
    tick(controller)
    assert large in controller.open_groups()
    await zone.async_run(controller, lambda: large not in controller.open_groups())
    await zone.async_stop()
    leader = zone.engines.servers[large.leader]
    assert leader.membership is None or leader.membership.state is not MemberState.OPEN


async def test_new_owner_lets_spares_go_on_loading() -> None:
    """A second join starts the load of the weights again (trouble-1, tks-aeration)."""
    zone = _zone(1)
    zone.traffic = True
    fake = zone.engines.servers["s0"]
    name = f"{SPARE_GROUP_PREFIX}small-1000004"
    fake.membership = Membership(name, 1000004, 0, MemberState.JOINING)
    zone.list_servers()
    controller = zone.create(term=2)
    for _ in range(10):
        tick(controller)
        await asyncio.sleep(0.01)
    await zone.async_stop()
    assert "join" not in fake.orders
