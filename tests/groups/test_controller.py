"""Tests of the controller over a simulated table and engines."""

from gooseberryhall.adapters.table import Row
from gooseberryhall.groups.models import GroupPhase
from gooseberryhall.telemetry.catalogue import LogEvent

from .world import World, make_spec, make_vms


def test_group_is_formed_and_serves_after_read_back() -> None:
    """A group must not be marked as serving before its members report it."""
    world = World([make_spec("a")], make_vms("z1", "d1", 3))
    world.run_for(10)
    assert world.phases() == {"a-z1-1": GroupPhase.LOADING}
    world.run_for(25)
    assert world.phases() == {"a-z1-1": GroupPhase.SERVING}
    group = world.node.state.groups.groups["a-z1-1"]
    for member in group.members:
        assert world.table.value(f"vm/{member.vm}")["group"] == "a-z1-1"
        assert world.engines[member.vm].generation == group.generation


def test_unknown_row_stops_planning_only() -> None:
    """A row of another version must not crash the program or free its VMs."""
    world = World([make_spec("a")], make_vms("z1", "d1", 4))
    world.run_for(40)
    world.table.rows["group/z1/new"] = Row("group/z1/new", 99, {"phase": "other"})
    world.run_for(20)
    assert world.phases() == {"a-z1-1": GroupPhase.SERVING}
    world.engines["d1-0"].restart()
    world.run_for(20)
    assert world.phases() == {"a-z1-1": GroupPhase.SERVING}
    del world.table.rows["group/z1/new"]
    world.run_for(60)
    assert world.phases() == {"a-z1-2": GroupPhase.SERVING}


def test_reports_name_the_members() -> None:
    """The time line of a VM must show the groups that it joined and left."""
    world = World([make_spec("a")], make_vms("z1", "d1", 2))
    world.run_for(5.0)
    assigned = next(
        dict(effect.fields)
        for effect in world.node.recorded_events
        if effect.event is LogEvent.GROUP_ASSIGNED
    )
    assert sorted(assigned["members"]) == ["d1-0", "d1-1"]
    assert assigned["generation"] > 0
