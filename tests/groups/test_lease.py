"""Tests of the zone leases with a simulated table."""

from dataclasses import replace

from result import Err, Ok

from gooseberryhall.groups.const import (
    LEASE_DURATION_S,
    LEASE_TAKEOVER_DELAY_OTHER_ZONE_S,
    LEASE_TAKEOVER_DELAY_S,
)
from gooseberryhall.groups.events import GroupViewReceived, PlanningStopped
from gooseberryhall.groups.lease import Holder, Lease, takeover_transaction
from gooseberryhall.groups.rows import assignment_transaction, parse_rows
from standins.planner_simulation import SimEngine, SimNode, SimTable

from .simulated_zone import SimulatedZone, make_spec, make_vms

ZONE = "z1"
TICK_S = 0.5


def make_node(name: str, zone: str = ZONE) -> SimNode:
    """Return a control process without declared groups."""
    return SimNode.create(name, zone, [], refuse_old_fence=True)


def run_until_held(node: SimNode, table: SimTable, limit_s: float) -> float:
    """Run a contender until it holds the lease; return the elapsed seconds."""
    started_s = node.now_s
    engines: dict[str, SimEngine] = {}
    while node.now_s - started_s < limit_s:
        node.now_s += TICK_S
        node.observe(make_vms(ZONE, "d1", 1), {})
        node.tick()
        node.run_effects(table, engines)
        lease = node.state.groups.leases[ZONE]
        if lease.is_held(node.now_s):
            return node.now_s - started_s
    raise AssertionError("the lease was not acquired in time")


def test_successor_waits_after_last_renewal() -> None:
    """Guards against a successor that acts while the previous holder still may."""
    for zone, wait_s in (
        (ZONE, LEASE_TAKEOVER_DELAY_S),
        ("z2", LEASE_TAKEOVER_DELAY_OTHER_ZONE_S),
    ):
        table = SimTable()
        run_until_held(make_node("n1"), table, 5)
        elapsed_s = run_until_held(make_node("n2", zone), table, 30)
        assert LEASE_DURATION_S < wait_s <= elapsed_s <= wait_s + 2


def test_released_lease_is_taken_at_once() -> None:
    """Guards against a planned stop that leaves a zone without a holder for seconds."""
    table = SimTable()
    first = make_node("n1")
    run_until_held(first, table, 5)
    first.dispatch(PlanningStopped())
    first.run_effects(table, {})
    assert run_until_held(make_node("n2"), table, 30) <= 2


def test_release_follows_renewal_in_flight() -> None:
    """Guards against a release that conflicts with a renewal in flight.

    The lease would then stay held after the stop.
    """
    table = SimTable()
    node = make_node("n1")
    run_until_held(node, table, 5)
    node.now_s += 2
    node.tick()
    node.dispatch(PlanningStopped())
    node.run_effects(table, {})
    assert table.value(f"lease/{ZONE}")["released"] is True


def test_unconfirmed_takeover_is_renewed_before_acting() -> None:
    """Guards against acting on a takeover whose response was lost.

    The time of the write is unknown, so the end of its lease is unknown too.
    """
    table = SimTable()
    node = make_node("n1")
    table.lose_answers = 1
    node.now_s = 1.0
    node.tick()
    node.run_effects(table, {})
    assert not node.state.groups.leases[ZONE].is_held(node.now_s)
    run_until_held(node, table, 5)
    assert node.state.groups.leases[ZONE].epoch == 1


def test_paused_holder_finds_its_lease_lapsed() -> None:
    """Guards against a resumed holder that acts on decisions from before its pause."""
    table = SimTable()
    node = make_node("n1")
    run_until_held(node, table, 5)
    lease: Lease = node.state.groups.leases[ZONE]
    node.now_s += LEASE_DURATION_S
    assert not node.may_act(ZONE, lease.epoch_version)


def test_lapsed_holder_yields_to_announced_successor() -> None:
    """Guards against two nodes that report the downtime of the same zone."""
    table = SimTable()
    node = make_node("n1")
    run_until_held(node, table, 5)
    newer = GroupViewReceived(ZONE, 99, ())
    node.dispatch(newer)
    assert node.state.groups.leases[ZONE].owned
    node.now_s += LEASE_DURATION_S
    node.dispatch(newer)
    assert not node.state.groups.leases[ZONE].owned


def test_assigned_vm_is_not_assigned_again() -> None:
    """Guards against a second group on a VM, whatever the state of the holder."""
    sim = SimulatedZone([make_spec("a")], make_vms("z1", "d1", 2))
    sim.run_for(2)
    row = parse_rows(sim.table.read_prefix("group/z1/").rows)["a-z1-1"]
    other = replace(row, group=replace(row.group, group="b"))
    epoch_version = sim.node.state.groups.leases[ZONE].epoch_version
    assert isinstance(
        sim.table.commit(assignment_transaction(other, epoch_version)), Err
    )


def test_earlier_holder_fails_at_the_table() -> None:
    """Guards against a late transaction of an earlier holder on unchanged rows.

    The check of the epoch row has to fail it.
    """
    vms = make_vms(ZONE, "d1", 2)
    sim = SimulatedZone([make_spec("a")], vms)
    sim.run_for(2)
    epoch_version = sim.node.state.groups.leases[ZONE].epoch_version
    late = parse_rows(sim.table.read_prefix("group/z1/").rows)["a-z1-1"]
    table = SimTable()
    holder = Holder("n1", ZONE, "n1-1")
    assert isinstance(table.commit(takeover_transaction(ZONE, holder, None, None)), Ok)
    assert epoch_version == 1
    lease_row, epoch_row = table.read("lease/z1"), table.read("epoch/z1")
    other = Holder("n2", ZONE, "n2-1")
    table.commit(takeover_transaction(ZONE, other, lease_row, epoch_row))
    assert isinstance(table.commit(assignment_transaction(late, epoch_version)), Err)
