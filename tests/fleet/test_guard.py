"""Tests of orders of an owner that was paused."""

import asyncio

from gooseberryhall.core.clock import now_s
from gooseberryhall.fleet.const import HOLD_AFTER_PAUSE_S, PAUSE_LIMIT_S
from gooseberryhall.fleet.guard import GuardedEngines
from gooseberryhall.fleet.models import Group
from tests.fleet.common import FakeEngines, server

GROUP = Group("z-1", 1, "large", ("s1", "s2", "s3"))


async def test_owner_that_was_replaced_during_a_pause_sends_no_order() -> None:
    """Guards against two owners that act at the same time.

    The task of a paused owner went on before the owner read that a peer had acquired
    the zone. Servers that do not check fencing tokens carried out both orders.
    """
    engines = FakeEngines(server("s1"))
    paused_s = PAUSE_LIMIT_S + 1
    guarded = GuardedEngines(engines, lambda: now_s() - paused_s)
    order = asyncio.create_task(guarded.async_join(server("s1"), GROUP, 1))
    await asyncio.sleep(HOLD_AFTER_PAUSE_S / 2)
    # The peer's announcement of a later term releases the zone and its tasks.
    order.cancel()
    await asyncio.gather(order, return_exceptions=True)
    assert engines.servers["s1"].orders == []


async def test_orders_are_not_delayed_without_a_pause() -> None:
    """Guards against slow formation of groups, which are down meanwhile."""
    engines = FakeEngines(server("s1"))
    guarded = GuardedEngines(engines, now_s)
    join = guarded.async_join(server("s1"), GROUP, 1)
    await asyncio.wait_for(join, HOLD_AFTER_PAUSE_S / 2)
    assert len(engines.servers["s1"].orders) == 1
