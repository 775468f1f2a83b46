"""Tests of the limit on concurrent loads from the weight store."""

from gooseberryhall.fleet.const import SPARE_GROUP_PREFIX
from gooseberryhall.fleet.controller import reconcile
from gooseberryhall.fleet.loads import LoadCount, count_loads, free_load_slots
from gooseberryhall.fleet.models import BackendServer, Membership, MemberState

from .common import PROFILE, FakeEngines, FakeZone, server

# Number of loads that the weight store of the profile serves without delay.
LOADS_AT_ONCE = 6


def _loading(name: str, zone: str, model: str = "small") -> BackendServer:
    group = f"{SPARE_GROUP_PREFIX}{model}-7"
    return server(
        name, zone=zone, membership=Membership(group, 7, 0, MemberState.JOINING)
    )


def _zone(*servers: BackendServer) -> FakeZone:
    zone = FakeZone(FakeEngines(*servers))
    zone.traffic = True
    zone.view.apply_snapshot(servers, after_outage=False, now_s=0.0)
    return zone


async def test_loads_of_all_zones_are_counted() -> None:
    """Guards against owners that count only the loads of their own zone.

    Owners of three zones started 12 loads where the weight store serves 6: loads took
    up to twice as long, and hardly any group was formed for 10 s (inc-b5dd).
    """
    ready = Membership("g", 8, 0, MemberState.READY)
    warming = server(
        "w1",
        staged=frozenset({"small"}),
        membership=_loading("w1", "z").membership,
    )
    zone = _zone(
        _loading("s1", "z"),
        _loading("t1", "y"),
        _loading("t2", "x"),
        warming,
        server("s2", membership=ready, last_model="small"),
        server("p1", service="plain"),
    )
    state = zone.create()
    assert count_loads(state) == LoadCount(in_zone=1, total=3)
    # An order that no record shows yet, and a second model that is staged on a host.
    state.preparing["s9"] = "large"
    zone.view.apply_record(server("s9"), 0.0)
    state.staging.add("s2")
    assert count_loads(state) == LoadCount(in_zone=3, total=5)


def test_zone_uses_its_share_and_unused_slots_of_others() -> None:
    """Guards against load slots that stay unused, and against a zone without any.

    A zone that lost more servers than the others may use the whole weight store.
    """
    assert free_load_slots(PROFILE, LoadCount(0, 0), 3) == LOADS_AT_ONCE
    assert free_load_slots(PROFILE, LoadCount(3, 4), 3) == 2
    assert free_load_slots(PROFILE, LoadCount(4, 6), 3) == 0
    # Zones that started loads earlier do not keep another zone from its share.
    assert free_load_slots(PROFILE, LoadCount(0, 9), 3) == 2
    assert free_load_slots(PROFILE, LoadCount(1, 9), 3) == 1


async def test_owner_starts_no_load_while_the_weight_store_is_busy() -> None:
    """Guards against loads beyond the limit; the next one starts when one ends."""
    busy = [_loading(f"b{n}", "y") for n in range(LOADS_AT_ONCE)]
    zone = _zone(*busy, *(server(f"s{n}") for n in range(8)))
    state = zone.create()
    state.zone_count = 3
    reconcile(state)
    assert len(state.preparing) == 2
    for record in busy[:3]:
        zone.view.remove_server(record.server_id, 0.0)
    reconcile(state)
    assert len(state.preparing) == 3
    await zone.async_stop()
