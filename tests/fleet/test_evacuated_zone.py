"""Tests of the owner of a zone that is evacuated."""

import asyncio
from collections import Counter

from gooseberryhall.core.clock import now_s
from gooseberryhall.fleet.const import DISSOLVE_WAIT_S
from gooseberryhall.fleet.controller import probe_group, reconcile
from gooseberryhall.fleet.guard import GuardedEngines
from gooseberryhall.fleet.models import BackendServer, Group
from gooseberryhall.fleet.orders import OrderOutcome
from gooseberryhall.fleet.zone import ZoneState
from tests.fleet.common import FakeEngines, FakeReport, FakeZone, server

RUN_S = 0.3


class CountingEngines(FakeEngines):
    """Fake servers that count the reports that they are asked for."""

    reports = 0

    async def async_fetch_report(self, server: BackendServer) -> FakeReport | None:
        """Count and return the report."""
        self.reports += 1
        return await super().async_fetch_report(server)

    def orders(self) -> list[str]:
        """Return the orders that the servers got."""
        return [order for fake in self.servers.values() for order in fake.orders]


def _zone() -> tuple[FakeZone, CountingEngines, ZoneState]:
    engines = CountingEngines(*(server(f"s{number}") for number in range(7)))
    zone = FakeZone(engines)
    zone.list_servers()
    return zone, engines, zone.create()


async def _async_reconcile(state: ZoneState) -> None:
    for _ in range(int(RUN_S / 0.01)):
        reconcile(state)
        await asyncio.sleep(0.01)


async def test_owner_of_an_evacuated_zone_forms_no_groups() -> None:
    """Guards against orders that make servers work which are taken down."""
    zone, engines, state = _zone()
    state.is_evacuated = lambda: True
    state.mark_unresponsive(server("s0"))
    state.unresponsive["s0"] = (1, 0.0)
    await _async_reconcile(state)
    assert engines.orders() == []
    assert engines.reports == 0
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
    orders, engines.reports = Counter(engines.orders()), 0
    for group in groups:
        probe_group(state, group.leader)
    await _async_reconcile(state)
    assert state.open_groups() == groups
    assert Counter(engines.orders()) == orders
    assert engines.reports == 0
    zone.list_servers(groups[0].members[1])
    await zone.async_run(state, lambda: len(state.groups) == 1)
    await asyncio.sleep(DISSOLVE_WAIT_S)
    await _async_reconcile(state)
    assert state.open_groups() == groups[1:]
    assert set(Counter(engines.orders()) - orders) == {"leave"}
    await zone.async_stop()


async def test_group_that_forms_when_the_evacuation_begins_is_not_opened() -> None:
    """Guards against a formation in progress that goes on in an evacuated zone."""
    zone, engines, state = _zone()
    state.is_evacuated = lambda: "join" in engines.orders()
    await _async_reconcile(state)
    orders = engines.orders()
    await _async_reconcile(state)
    assert engines.orders() == orders
    assert "open" not in orders
    assert "stage" not in orders
    assert state.groups == {}
    await zone.async_stop()


async def test_orders_that_were_held_back_find_the_zone_evacuated() -> None:
    """Guards against orders of an owner that learns of the evacuation after a pause."""
    engines = CountingEngines(server("s1"))
    guarded = GuardedEngines(engines, now_s, is_evacuated=lambda: True)
    group = Group("z-1", 1, "large", ("s1", "s2", "s3"))
    refused = [
        await guarded.async_join(server("s1"), group, 1),
        await guarded.async_open(server("s1"), group, 1),
        await guarded.async_stage(server("s1"), "large", 1),
    ]
    assert refused == [OrderOutcome.REFUSED] * 3
    assert engines.orders() == []
    await guarded.async_leave(server("s1"), group, 1)
    assert engines.orders() == ["leave"]
    assert await guarded.async_fetch_report(server("s1")) is not None
