"""Shared builders and a simulated zone for the tests of this folder."""

from collections.abc import Iterable

from gooseberryhall.config.models import AnyObject, GroupSpec, VmLabels
from gooseberryhall.groups.models import GroupPhase, Vm, VmState
from standins.planner_simulation import SimEngine, SimNode, SimTable, probe_all


def make_spec(name: str, **fields: object) -> GroupSpec:
    """Return a spec that selects all VMs with the label `use`; fields override."""
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


def labelled(specs: Iterable[GroupSpec], vms: Iterable[Vm]) -> list[AnyObject]:
    """Return the specs and the labels that make them select all VMs."""
    return [*specs, *(VmLabels(name=vm.vm, labels={"use": "yes"}) for vm in vms)]


class SimulatedZone:
    """A control process with the table and the engines of one zone."""

    def __init__(
        self, specs: list[GroupSpec], vms: list[Vm], others: Iterable[AnyObject] = ()
    ) -> None:
        """Start a process that holds no lease yet."""
        self.table = SimTable()
        self.engines = {vm.vm: SimEngine(vm) for vm in vms}
        objects = [*labelled(specs, vms), *others]
        self.node = SimNode.create("n1", vms[0].zone, objects, refuse_old_fence=True)

    def run_for(self, seconds: float) -> None:
        """Advance the simulated time in ticks."""
        for _ in range(int(seconds / 0.5)):
            self.node.now_s += 0.5
            vms = [engine.vm for engine in self.engines.values()]
            self.node.observe(vms, probe_all(self.engines.values(), self.node.now_s))
            self.node.tick()
            self.node.run_effects(self.table, self.engines)

    def declare(self, item: AnyObject) -> None:
        """Apply a configuration object."""
        config = self.node.state.config
        config.objects[item.kind, item.name] = item
        config.revision += 1

    def phases(self) -> dict[str, GroupPhase]:
        """Return the phase of each group."""
        groups = self.node.state.groups.groups
        return {name: group.phase for name, group in groups.items()}
