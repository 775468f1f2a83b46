"""Deterministic replay of one pattern: nodes, groups and figures that are late."""

import random
from collections import Counter
from dataclasses import dataclass, field

from gooseberryhall.admission.estimate import SlotTimes, estimate_capacity
from gooseberryhall.admission.share import Allowance
from gooseberryhall.gateway.placement import Candidate, choose_group, measure_supply

SLOTS = 15
QUEUE = 4
TIMES = SlotTimes(slot_s=1.0, first_event_s=0.06)
AGE_STEPS = 30
WAIT_STEPS = 4


@dataclass
class Replay:
    """Steps of 10 ms; all nodes see the load of the groups as it was 0.3 s ago.

    With `old` the choice is that of unknown times, without allowances.
    """

    loads: list[int]
    nodes: int
    old: bool
    objective_s: float = 0.3
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    now: int = 0
    received: Counter[int] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Spread the ends of the requests that run at the start."""
        self.ends = [
            [self.rng.randrange(100) for _ in range(min(load, SLOTS))]
            for load in self.loads
        ]
        self.queues = [[0] * max(0, load - SLOTS) for load in self.loads]
        self.seen: list[list[int]] = []
        self.sent: list[tuple[int, int, int]] = []
        self.waiting: list[tuple[int, int]] = []
        self.allowances = [Allowance(self.rng.random(), 0.0) for _ in range(self.nodes)]

    def step(self, arrivals: int) -> None:
        """Let 10 ms pass."""
        for group, ends in enumerate(self.ends):
            ends[:] = [end for end in ends if end > self.now]
            while self.queues[group] and len(ends) < SLOTS:
                self._start(group, self.queues[group].pop(0))
        pairs = zip(self.ends, self.queues, strict=True)
        self.seen.append([len(ends) + len(queue) for ends, queue in pairs])
        self.sent = [item for item in self.sent if item[0] >= self.now - AGE_STEPS]
        new = [(self.now, self.rng.randrange(self.nodes)) for _ in range(arrivals)]
        waiting, self.waiting = self.waiting + new, []
        for arrived, node in waiting:
            group = self._choose(node, arrived)
            if group is not None:
                self._send(node, group, arrived)
            elif self.now - arrived >= WAIT_STEPS:
                self.outcomes["refused"] += 1
            else:
                self.waiting.append((arrived, node))
        self.now += 1

    def _choose(self, node: int, arrived: int) -> int | None:
        left_s = self.objective_s - (self.now - arrived) / 100
        recent = Counter(group for _, sender, group in self.sent if sender == node)
        candidates = []
        for group, peers in enumerate(self.seen[max(0, self.now - AGE_STEPS)]):
            load = recent[group] + peers
            limit, places = estimate_capacity(load, peers, SLOTS, TIMES, left_s)
            # A part of the load that was seen is of this node.
            own = recent[group] + ((17 * group + node) % self.nodes < peers)
            item = Candidate(str(group), load, SLOTS, True, own=own)
            if not self.old:
                item.limit, item.places = limit, places
            candidates.append(item)
        chosen = choose_group(candidates, self.rng)
        supply = measure_supply(candidates)
        if supply is not None and chosen is not None:
            allowance = self.allowances[node]
            places = supply.node_places(self.nodes)
            allowance.refill(places, self.now / 100)
            if supply.is_scarce(self.nodes) and allowance.delay_s(places) != 0.0:
                return None
            allowance.spend()
        return None if chosen is None else int(chosen.server_id)

    def _send(self, node: int, group: int, arrived: int) -> None:
        self.received[group] += 1
        self.sent.append((self.now, node, group))
        if len(self.ends[group]) < SLOTS:
            self._start(group, arrived)
        elif len(self.queues[group]) < QUEUE:
            self.queues[group].append(arrived)
        else:
            self.outcomes["rejected"] += 1

    def _start(self, group: int, arrived: int) -> None:
        self.ends[group].append(self.now + round(TIMES.slot_s * 100))
        late = (self.now - arrived) / 100 + TIMES.first_event_s > self.objective_s
        self.outcomes["late" if late else "in_time"] += 1
