"""Tests of the controller over a simulated table and engines."""

from gooseberryhall.config.models import AnyObject, GroupSpec, VmLabels
from gooseberryhall.groups.models import GroupPhase, Vm, VmState
from standins.planner_world import SimEngine, SimNode, SimTable


def make_spec(name: str, **fields: object) -> GroupSpec:
    """Return a spec whose VMs have the label use=<name>."""
    values: dict[str, object] = {
        "model": name,
        "version": "1",
        "members": 2,
        "vm_selector": "use",
        "team_selector": "a",
        "kind_selector": "a",
        **fields,
    }
    return GroupSpec.model_validate({"name": name, **values})


def make_vms(zone: str, domain: str, count: int) -> list[Vm]:
    """Return live VMs of one fabric domain."""
    return [
        Vm(f"{domain}-{n}", zone, domain, "http://127.0.0.1:1", 1, VmState.LIVE)
        for n in range(count)
    ]


class World:
    """One control process, the table and the engines of one zone."""

    def __init__(self, specs: list[GroupSpec], vms: list[Vm]) -> None:
        """Label all VMs so that the specs select them."""
        labels = [VmLabels(name=vm.vm, labels={"use": "yes"}) for vm in vms]
        objects: list[AnyObject] = [*specs, *labels]
        self.table = SimTable()
        self.engines = {vm.vm: SimEngine(vm) for vm in vms}
        self.node = SimNode.create("n1", vms[0].zone, objects, refuse_old_fence=True)

    def run_for(self, seconds: float) -> None:
        """Advance time in ticks."""
        for _ in range(int(seconds / 0.5)):
            self.node.now_s += 0.5
            vms = [engine.vm for engine in self.engines.values()]
            self.node.observe(vms, self.engines.values())
            self.node.tick()
            self.node.run_all(self.table, self.engines)

    def phases(self) -> dict[str, GroupPhase]:
        """Return the phase of each group."""
        groups = self.node.state.groups.groups
        return {name: group.phase for name, group in groups.items()}


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
