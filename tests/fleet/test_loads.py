"""Tests of the limit of loads that share the weight store."""

from gooseberryhall.fleet.const import SPARE_GROUP_PREFIX
from gooseberryhall.fleet.controller import tick
from gooseberryhall.fleet.loads import LoadCount, count_loads, free_load_slots
from gooseberryhall.fleet.models import BackendServer, Membership, MemberState

from .common import PROFILE, FakeEngines, Zone, server

# Loads that the weight store of the profile serves without delay.
LOADS_AT_ONCE = 6


def _loading(name: str, zone: str, model: str = "small") -> BackendServer:
    group = f"{SPARE_GROUP_PREFIX}{model}-7"
    return server(
        name, zone=zone, membership=Membership(group, 7, 0, MemberState.JOINING)
    )


def _zone(*servers: BackendServer) -> Zone:
    zone = Zone(FakeEngines(*servers))
    zone.traffic = True
    zone.view.apply_snapshot(servers, after_outage=False, now_s=0.0)
    return zone


async def test_loads_of_all_zones_are_counted() -> None:
    """Owners of three zones allowed 12 loads where the store serves 6 (inc-b5dd).

    Loads took up to twice as long, and hardly a group was formed for 10 s.
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
    controller = zone.create()
    assert count_loads(controller) == LoadCount(own=1, total=3)
    # An order whose effect the store does not tell yet, and a second model on a host.
    controller.preparing["s9"] = "large"
    zone.view.apply_record(server("s9"), 0.0)
    controller.staging.add("s2")
    assert count_loads(controller) == LoadCount(own=3, total=5)


def test_zone_uses_its_share_and_what_the_others_leave() -> None:
    """A zone that lost more servers than the others may use the whole store."""
    assert free_load_slots(PROFILE, LoadCount(0, 0), 3) == LOADS_AT_ONCE
    assert free_load_slots(PROFILE, LoadCount(3, 4), 3) == 2
    assert free_load_slots(PROFILE, LoadCount(4, 6), 3) == 0
    # Zones that were first do not keep a later one from its share.
    assert free_load_slots(PROFILE, LoadCount(0, 9), 3) == 2
    assert free_load_slots(PROFILE, LoadCount(1, 9), 3) == 1


async def test_owner_starts_no_load_while_the_store_is_busy() -> None:
    """The next load starts when one ends, for what is lacking then."""
    busy = [_loading(f"b{n}", "y") for n in range(LOADS_AT_ONCE)]
    zone = _zone(*busy, *(server(f"s{n}") for n in range(8)))
    controller = zone.create()
    controller.zones = 3
    tick(controller)
    assert len(controller.preparing) == 2
    for record in busy[:3]:
        zone.view.remove_server(record.server_id)
    tick(controller)
    assert len(controller.preparing) == 3
    await zone.async_stop()
