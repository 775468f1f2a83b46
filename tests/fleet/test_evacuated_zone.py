"""Tests of the owner of a zone that is evacuated."""

import asyncio
from collections import Counter

from gooseberryhall.core.clock import now_s
from gooseberryhall.fleet.controller import probe_group, reconcile
from gooseberryhall.fleet.guard import GuardedEngines
from gooseberryhall.fleet.models import BackendServer, Group
from gooseberryhall.fleet.zone import ZoneState
from tests.fleet.common import FakeEngines, FakeReport, FakeZone, server


class CountingEngines(FakeEngines):
    """Fake servers that count orders and the reports that they are asked for."""

    reports = 0

    async def async_fetch_report(self, server: BackendServer) -> FakeReport | None:
        """Count and return the report."""
        self.reports += 1
        return await super().async_fetch_report(server)

    def orders(self) -> Counter[str]:
        """Return the number of orders of each kind."""
        return Counter(order for fake in self.servers.values() for order in fake.orders)


def _zone() -> tuple[FakeZone, CountingEngines, ZoneState]:
    engines = CountingEngines(*(server(f"s{number}") for number in range(7)))
    zone = FakeZone(engines)
    zone.list_servers()
    return zone, engines, zone.create()


async def _async_reconcile(state: ZoneState) -> None:
    for _ in range(30):
        reconcile(state)
        await asyncio.sleep(0.01)


async def test_owner_of_an_evacuated_zone_gives_no_orders() -> None:
    """Guards against orders that make servers work which are taken down.

    Formations in progress are given up, and the zone is used when it is restored.
    """
    zone, engines, state = _zone()
    state.is_evacuated = lambda: True
    state.unresponsive["s0"] = (1, 0.0)
    await _async_reconcile(state)
    assert (engines.orders(), engines.reports) == (Counter(), 0)
    del state.unresponsive["s0"]
    state.is_evacuated = lambda: bool(engines.orders()["join"])
    await _async_reconcile(state)
    orders = engines.orders()
    await _async_reconcile(state)
    assert engines.orders() == orders
    assert set(orders) == {"join"}
    assert state.groups == {}
    state.is_evacuated = lambda: False
    await zone.async_run(state, lambda: len(state.open_groups()) == 2)
    await zone.async_stop()


async def test_open_groups_stay_open_and_failed_ones_are_dissolved() -> None:
    """Guards against a restored zone without groups, and against broken groups."""
    zone, engines, state = _zone()
    servers = engines.servers.values()
    await zone.async_run(state, lambda: all(fake.last_model for fake in servers))
    await zone.async_run(state, lambda: len(state.open_groups()) == 2)
    groups = state.open_groups()
    state.is_evacuated = lambda: True
    await asyncio.sleep(0.1)
    orders, engines.reports = engines.orders(), 0
    probe_group(state, groups[0].leader)
    await _async_reconcile(state)
    assert state.open_groups() == groups
    assert (engines.orders(), engines.reports) == (orders, 0)
    zone.list_servers(groups[0].members[1])
    await zone.async_run(state, lambda: len(state.groups) == 1)
    await _async_reconcile(state)
    assert state.open_groups() == groups[1:]
    assert set(engines.orders() - orders) == {"leave"}
    await zone.async_stop()


async def test_orders_that_were_held_back_find_the_zone_evacuated() -> None:
    """Guards against orders of an owner that learns of the evacuation after a pause."""
    engines = CountingEngines(server("s1"))
    guarded = GuardedEngines(engines, now_s, is_evacuated=lambda: True)
    group = Group("z-1", 1, "large", ("s1", "s2", "s3"))
    await guarded.async_join(server("s1"), group, 1)
    await guarded.async_open(server("s1"), group, 1)
    await guarded.async_stage(server("s1"), "large", 1)
    assert engines.orders() == Counter()
    await guarded.async_leave(server("s1"), group, 1)
    assert engines.orders() == Counter({"leave": 1})
