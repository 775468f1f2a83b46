"""Tests of group invariants under random faults of servers, records and owners."""

import asyncio
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberryhall.fleet.controller import probe_group, reconcile
from tests.fleet.common import FakeEngines, FakeZone, server

SERVERS = 8
TICKS_AFTER_FAULT = 8
TICK_S = 0.004

Fault = tuple[str, int]

FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "unreachable",
                "reachable",
                "restart",
                "lapse",
                "list",
                "owner",
                "lost",
                "leave",
                "late",
                "carry out",
            ]
        ),
        st.integers(0, SERVERS - 1),
    ),
    min_size=1,
    max_size=14,
)


def _apply_fault(zone: FakeZone, kind: str, number: int) -> None:
    """Apply a fault of a server, its record or its answers."""
    name = f"s{number}"
    fake = zone.engines.servers[name]
    if kind in {"unreachable", "reachable"}:
        fake.reachable = kind == "reachable"
    elif kind == "restart":
        fake.record = replace(fake.record, started_at_ms=fake.record.started_at_ms + 1)
        fake.membership = None
        fake.last_model = None
        fake.highest_epoch = fake.highest_fence = 0
    elif kind == "leave":
        fake.record = replace(fake.record, leaving=True)
    elif kind == "lost":
        zone.engines.lost_answers = 1 + number % 3
    elif kind == "late":
        zone.engines.late_orders = 1 + number % 4
    elif kind == "carry out":
        zone.engines.carry_out_late()
    elif kind == "lapse":
        zone.list_servers(name)
    elif kind == "list":
        zone.list_servers()


async def _async_run_faults(faults: list[Fault]) -> list[str]:
    """Apply the faults in order and return the violated invariants."""
    zone = FakeZone(FakeEngines(*(server(f"s{number}") for number in range(SERVERS))))
    zone.list_servers()
    state = zone.create()
    await zone.async_run(state, lambda: len(state.open_groups()) == 2)
    zone.traffic = True
    for term, (kind, number) in enumerate(faults, start=2):
        if kind == "owner":
            await zone.async_stop()
            state = zone.create(term=term)
        _apply_fault(zone, kind, number)
        for members in zone.engines.open_groups().values():
            probe_group(state, members[0])
        for _ in range(TICKS_AFTER_FAULT):
            reconcile(state)
            await asyncio.sleep(TICK_S)
    await zone.async_stop()
    return zone.engines.violations


@settings(max_examples=25)
@given(FAULTS)
def test_faults_do_not_break_group_invariants(faults: list[Fault]) -> None:
    """Guards against a join while the leader serves and a group without a member."""
    assert asyncio.run(_async_run_faults(faults)) == []
