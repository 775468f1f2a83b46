"""Random faults of servers, entries, answers and owners against the rules of groups."""

import asyncio
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberryhall.fleet.controller import suspect, tick
from tests.fleet.common import FakeEngines, Zone, server

SERVERS = 8
TICKS_AFTER_FAULT = 8
TICK_S = 0.004

Fault = tuple[str, int]

FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["silent", "back", "restart", "lapse", "list", "owner", "lost", "leave"]
        ),
        st.integers(0, SERVERS - 1),
    ),
    min_size=1,
    max_size=14,
)


def _strike(zone: Zone, kind: str, number: int) -> None:
    """Apply a fault of a server, its entry or its answers."""
    name = f"s{number}"
    fake = zone.engines.servers[name]
    if kind in {"silent", "back"}:
        fake.reachable = kind == "back"
    elif kind == "restart":
        fake.record = replace(fake.record, started_at_ms=fake.record.started_at_ms + 1)
        fake.membership = None
        fake.last_model = None
        fake.highest_epoch = fake.highest_fence = 0
    elif kind == "leave":
        fake.record = replace(fake.record, leaving=True)
    elif kind == "lost":
        zone.engines.lost_answers = 1 + number % 3
    elif kind == "lapse":
        zone.list_servers(name)
    elif kind == "list":
        zone.list_servers()


async def _async_play(faults: list[Fault]) -> list[str]:
    """Play faults one after the other and return the rules that were broken."""
    zone = Zone(FakeEngines(*(server(f"s{number}") for number in range(SERVERS))))
    zone.list_servers()
    controller = zone.create()
    await zone.async_run(controller, lambda: len(controller.open_groups()) == 2)
    zone.traffic = True
    for term, (kind, number) in enumerate(faults, start=2):
        if kind == "owner":
            await zone.async_stop()
            controller = zone.create(term=term)
        _strike(zone, kind, number)
        for members in zone.engines.open_groups().values():
            suspect(controller, members[0])
        for _ in range(TICKS_AFTER_FAULT):
            tick(controller)
            await asyncio.sleep(TICK_S)
    await zone.async_stop()
    return zone.engines.violations


@settings(max_examples=25)
@given(FAULTS)
def test_no_fault_breaks_the_rules_of_groups(faults: list[Fault]) -> None:
    """No server joins while its head serves, no group opens without a member."""
    assert asyncio.run(_async_play(faults)) == []
