"""Compares the planner with simple baselines on seeded fault schedules.

The reducer and the planner run as in the control program, but with a simulated clock,
table and engines. Both measures are those that the system itself exports.
"""

import math
import random
import statistics
from collections.abc import Callable, Iterator, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from typing import Any, Final

import click

from gooseberryhall.config.models import AnyObject, GroupSpec, Policy, VmLabels
from gooseberryhall.groups.models import Vm, VmState
from gooseberryhall.groups.tuning import Tuning, tuning_for

from ..planner_simulation import SimEngine, SimNode, SimTable, probe_all

TICK_S: Final = 2.0
START_S: Final = 120.0
DURATION_S: Final = 1200.0
SETTLE_S: Final = 120.0
LOAD_S: Final = 40.0
STRAGGLER_FACTOR: Final = 3.0
WARM_LOAD_S: Final = 8.0
WORKERS: Final = 4

ZONES: Final = ("z1", "z2", "z3")
DOMAIN_SIZES: Final = (9, 8)

RESTARTS: Final = 5
PAUSES: Final = 5
STRAGGLERS: Final = 2
DOMAIN_OUTAGES: Final = 1


@dataclass(frozen=True, slots=True)
class Fault:
    """A change of the state of one engine, and when it happens."""

    at_s: float
    vm: str
    kind: str


@dataclass(frozen=True, slots=True)
class Weighting:
    """Weights that a deployment gives to the two measures."""

    name: str
    downtime: float
    stranded: float


@dataclass(frozen=True, slots=True)
class Score:
    """The two measures of one run."""

    downtime_s: float
    stranded_s: float

    def weighted(self, weighting: Weighting) -> float:
        """Return the weighted sum, which the planner should minimize."""
        return (
            weighting.downtime * self.downtime_s + weighting.stranded * self.stranded_s
        )


WEIGHTINGS: Final = (
    Weighting("Takeshima", 10, 1),
    Weighting("Cuotas Unidas", 1, 10),
)
FIRST_FIT: Final = Tuning(
    wait_with_replacement_s=0,
    wait_without_replacement_s=0,
    prefer_warm=False,
    preempt=False,
    replace_early=False,
)


def _planner_tuning(weighting: Weighting) -> Tuning:
    """Return the tuning that the planner derives from a weighting."""
    policy = Policy(
        name="default",
        downtime_weight=weighting.downtime,
        stranded_weight=weighting.stranded,
    )
    return tuning_for(policy)


def _variant(**changes: Any) -> Callable[[Weighting], Tuning]:
    """Return a function that gives the planner's tuning with some values replaced."""
    return lambda weighting: replace(_planner_tuning(weighting), **changes)


PLANNERS: Final[Mapping[str, Callable[[Weighting], Tuning]]] = {
    "planner": _planner_tuning,
    "first fit": lambda _: FIRST_FIT,
    "spare per domain": lambda _: replace(FIRST_FIT, spares=1),
}
VARIANTS: Final[Mapping[str, Callable[[Weighting], Tuning]]] = {
    "planner": _planner_tuning,
    "one spare per domain": _variant(spares=1),
    "replace at once": _variant(wait_with_replacement_s=0.0),
    "wait 10 s": _variant(wait_with_replacement_s=10.0),
    "wait 20 s": _variant(wait_with_replacement_s=20.0),
    "hold 30 s": _variant(wait_without_replacement_s=30.0),
    "hold 600 s": _variant(wait_without_replacement_s=600.0),
    "no early replacement": _variant(replace_early=False),
    "preemption": _variant(preempt=True),
    "no preemption": _variant(preempt=False),
    "weights in memory ignored": _variant(prefer_warm=False),
}


def create_vms() -> list[Vm]:
    """Return the VMs of three zones."""
    vms = []
    for zone in ZONES:
        for number, size in enumerate(DOMAIN_SIZES, 1):
            domain = f"{zone}-d{number}"
            for n in range(size):
                vm = f"{domain}-{n}"
                vms.append(Vm(vm, zone, domain, "http://sim", 1, VmState.LIVE))
    return vms


def create_specs() -> list[GroupSpec]:
    """Return the specs of a small and a large model that share the VMs."""
    common = {"vm_selector": "use", "team_selector": "use", "kind_selector": "use"}
    small = {"members": 4, "min_groups": 6, "max_groups": 9, "priority": 5}
    large = {"members": 8, "min_groups": 2, "max_groups": 2, "priority": 7}
    return [
        GroupSpec.model_validate(
            {"name": name, "model": name, "version": "1", **common, **sizes}
        )
        for name, sizes in (("assistant", small), ("summary", large))
    ]


def create_schedule(seed: int, vms: Sequence[Vm]) -> list[Fault]:
    """Return a random schedule of faults, ordered by time."""
    rng = random.Random(seed)
    faults: list[Fault] = []

    def add(
        vm: str, start_kind: str, end_kind: str, min_s: float, max_s: float
    ) -> None:
        at_s = START_S + rng.uniform(0, DURATION_S - max_s)
        faults.append(Fault(at_s, vm, start_kind))
        faults.append(Fault(at_s + draw_s(min_s, max_s), vm, end_kind))

    def draw_s(min_s: float, max_s: float) -> float:
        # Short faults are far more frequent than long ones.
        return math.exp(rng.uniform(math.log(min_s), math.log(max_s)))

    for _ in range(RESTARTS):
        add(rng.choice(vms).vm, "silent", "restart", 20, 600)
    for _ in range(PAUSES):
        add(rng.choice(vms).vm, "silent", "answer", 2, 60)
    for _ in range(STRAGGLERS):
        add(rng.choice(vms).vm, "straggle", "recover", 60, 600)
    for _ in range(DOMAIN_OUTAGES):
        domain = rng.choice(sorted({vm.fabric_domain for vm in vms}))
        at_s = START_S + rng.uniform(0, DURATION_S - 900)
        length_s = draw_s(120, 900)
        for vm in vms:
            if vm.fabric_domain == domain:
                faults.append(Fault(at_s, vm.vm, "silent"))
                faults.append(Fault(at_s + length_s, vm.vm, "restart"))
    return sorted(faults, key=lambda fault: fault.at_s)


def apply_fault(engine: SimEngine, kind: str) -> None:
    """Apply the change of a fault to an engine."""
    match kind:
        case "silent":
            engine.responsive = False
        case "answer":
            engine.responsive = True
        case "restart":
            engine.restart()
        case "straggle":
            engine.load_s = LOAD_S * STRAGGLER_FACTOR
        case "recover":
            engine.load_s = LOAD_S


def run_once(seed: int, tuning: Tuning) -> Score:
    """Run one schedule and return its score."""
    vms = create_vms()
    engines = {
        vm.vm: SimEngine(vm, load_s=LOAD_S, warm_load_s=WARM_LOAD_S) for vm in vms
    }
    labels = [VmLabels(name=vm.vm, labels={"use": "yes"}) for vm in vms]
    objects: list[AnyObject] = [*create_specs(), *labels]
    table = SimTable()
    nodes = [SimNode.create(f"n-{zone}", zone, objects, True) for zone in ZONES]
    for node in nodes:
        node.state.groups.tuning = tuning
    faults = create_schedule(seed, vms)
    now_s = 0.0
    start = Score(0, 0)
    while now_s < START_S + DURATION_S + SETTLE_S:
        now_s += TICK_S
        while faults and faults[0].at_s <= now_s:
            fault = faults.pop(0)
            apply_fault(engines[fault.vm], fault.kind)
        _step(nodes, now_s, vms, engines, table)
        if now_s == START_S:
            start = _totals(nodes)
    end = _totals(nodes)
    return Score(end.downtime_s - start.downtime_s, end.stranded_s - start.stranded_s)


def _step(
    nodes: Sequence[SimNode],
    now_s: float,
    vms: Sequence[Vm],
    engines: dict[str, SimEngine],
    table: SimTable,
) -> None:
    evidence = probe_all(engines.values(), now_s)
    for node in nodes:
        node.now_s = now_s
        node.observe(vms, evidence)
        node.tick()
        node.run_effects(table, engines)
        for view in node.views:
            for other in nodes:
                if other is not node:
                    other.dispatch(view)
        node.views.clear()


def _totals(nodes: Sequence[SimNode]) -> Score:
    measures = [node.state.groups.measures for node in nodes]
    return Score(
        sum(sum(item.downtime_s.values()) for item in measures),
        sum(sum(item.stranded_s.values()) for item in measures),
    )


def _run_job(job: tuple[int, Tuning]) -> Score:
    return run_once(*job)


def _row(planner: str, weighting: Weighting, scores: Sequence[Score]) -> str:
    cells = [weighting.name, planner]
    for values in (
        [score.downtime_s for score in scores],
        [score.stranded_s for score in scores],
        [score.weighted(weighting) for score in scores],
    ):
        low, median, high = statistics.quantiles(values, n=4)
        cells.append(f"{median:,.0f} ({low:,.0f} to {high:,.0f})")
    return "| " + " | ".join(cells) + " |"


def compare(
    planners: Mapping[str, Callable[[Weighting], Tuning]], seeds: range, workers: int
) -> Iterator[str]:
    """Yield the lines of the table; planners with equal tunings run only once."""
    yield "| weighting | planner | downtime, group-s | stranded, VM-s | weighted sum |"
    yield "|---|---|---|---|---|"
    cases = [
        (weighting, name, create_tuning(weighting))
        for weighting in WEIGHTINGS
        for name, create_tuning in planners.items()
    ]
    distinct_tunings = list(dict.fromkeys(tuning for _, _, tuning in cases))
    jobs = [(seed, tuning) for tuning in distinct_tunings for seed in seeds]
    with ProcessPoolExecutor(workers) as pool:
        scores = dict(zip(jobs, pool.map(_run_job, jobs), strict=True))
    for weighting, name, tuning in cases:
        yield _row(name, weighting, [scores[seed, tuning] for seed in seeds])


@click.command()
@click.option("--seeds", default=20, show_default=True, help="Number of schedules.")
@click.option("--first-seed", default=0, show_default=True)
@click.option("--workers", default=WORKERS, show_default=True)
@click.option("--variants", is_flag=True, help="Compare variants of the planner.")
def main(seeds: int, first_seed: int, workers: int, variants: bool) -> None:
    """Print both measures of the planner and the baselines as a table."""
    planners = VARIANTS if variants else PLANNERS
    for line in compare(planners, range(first_seed, first_seed + seeds), workers):
        click.echo(line)


if __name__ == "__main__":
    main()
