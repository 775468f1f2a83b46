"""Tests of the controller with a simulated table and engines."""

from gooseberryhall.adapters.table import Row
from gooseberryhall.groups.models import GroupPhase
from gooseberryhall.telemetry.catalogue import LogEvent

from .simulated_zone import SimulatedZone, make_spec, make_vms


def test_group_is_formed_and_serves_after_read_back() -> None:
    """Guards against a group that is marked as serving before its members report it."""
    sim = SimulatedZone([make_spec("a")], make_vms("z1", "d1", 3))
    sim.run_for(10)
    assert sim.phases() == {"a-z1-1": GroupPhase.LOADING}
    sim.run_for(25)
    assert sim.phases() == {"a-z1-1": GroupPhase.SERVING}
    group = sim.node.state.groups.groups["a-z1-1"]
    for member in group.members:
        assert sim.table.value(f"vm/{member.vm}")["group"] == "a-z1-1"
        assert sim.engines[member.vm].generation == group.generation


def test_unknown_row_stops_planning_only() -> None:
    """Guards against a crash or freed VMs because of a row of another version."""
    sim = SimulatedZone([make_spec("a")], make_vms("z1", "d1", 4))
    sim.run_for(40)
    sim.table.rows["group/z1/new"] = Row("group/z1/new", 99, {"phase": "other"})
    sim.run_for(20)
    assert sim.phases() == {"a-z1-1": GroupPhase.SERVING}
    sim.engines["d1-0"].restart()
    sim.run_for(20)
    assert sim.phases() == {"a-z1-1": GroupPhase.SERVING}
    del sim.table.rows["group/z1/new"]
    sim.run_for(60)
    assert sim.phases() == {"a-z1-2": GroupPhase.SERVING}


def test_reports_name_the_members() -> None:
    """Guards against a VM's time line without the groups that it joined and left."""
    sim = SimulatedZone([make_spec("a")], make_vms("z1", "d1", 2))
    sim.run_for(5.0)
    assigned = next(
        dict(effect.fields)
        for effect in sim.node.recorded_events
        if effect.event is LogEvent.GROUP_ASSIGNED
    )
    assert sorted(assigned["members"]) == ["d1-0", "d1-1"]
    assert assigned["generation"] > 0
