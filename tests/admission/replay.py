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


@dataclass
class Replay:
    """Steps of 10 ms; every node sees the load as it was `age_steps` steps ago.

    A group starts a waiting request when a slot is free, and each takes it for
    `TIMES.slot_s`. With `old` the choice is that of unknown times and no allowances.
    """

    loads: list[int]
    nodes: int
    old: bool
    age_steps: int = 30
    wait_steps: int = 4
    objective_s: float = 0.3
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    now: int = 0
    ends: list[list[int]] = field(init=False)
    queues: list[list[float]] = field(init=False)
    seen: list[list[int]] = field(default_factory=list)
    received: Counter[int] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    waiting: list[tuple[int, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Spread the ends of the requests that run at the start."""
        self.ends = [
            [self.rng.randrange(100) for _ in range(min(load, SLOTS))]
            for load in self.loads
        ]
        self.queues = [[0.0] * max(0, load - SLOTS) for load in self.loads]
        self.own: list[Counter[int]] = [Counter() for _ in range(self.nodes)]
        self.sent: list[tuple[int, int, int]] = []
        self.allowances = [Allowance(self.rng.random(), 0.0) for _ in range(self.nodes)]

    def step(self, arrivals: int) -> None:
        """Let 10 ms pass."""
        for group, ends in enumerate(self.ends):
            ends[:] = [end for end in ends if end > self.now]
            while self.queues[group] and len(ends) < SLOTS:
                self._start(group, self.queues[group].pop(0))
        self.seen.append(
            [len(a) + len(b) for a, b in zip(self.ends, self.queues, strict=True)]
        )
        recent = self.now - self.age_steps
        while self.sent and self.sent[0][0] < recent:
            _, node, group = self.sent.pop(0)
            self.own[node][group] -= 1
        new = [(self.now, self.rng.randrange(self.nodes)) for _ in range(arrivals)]
        waiting, self.waiting = self.waiting + new, []
        for arrived, node in waiting:
            group = self._choose(node, arrived)
            if group is not None:
                self._send(node, group, arrived)
            elif self.now - arrived >= self.wait_steps:
                self.outcomes["refused"] += 1
            else:
                self.waiting.append((arrived, node))
        self.now += 1

    def _choose(self, node: int, arrived: int) -> int | None:
        seen = self.seen[max(0, self.now - self.age_steps)]
        left_s = self.objective_s - (self.now - arrived) / 100
        candidates = []
        for group, peers in enumerate(seen):
            own = self.own[node][group]
            capacity = estimate_capacity(own + peers, peers, SLOTS, TIMES, left_s)
            old = Candidate(str(group), own + peers, SLOTS, True)
            candidates.append(
                old
                if self.old
                else Candidate(
                    str(group),
                    own + peers,
                    SLOTS,
                    True,
                    limit=capacity.limit,
                    places=capacity.places,
                    own=own + ((17 * group + node) % self.nodes < peers),
                )
            )
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
        self.own[node][group] += 1
        self.sent.append((self.now, node, group))
        if len(self.ends[group]) < SLOTS:
            self._start(group, arrived)
        elif len(self.queues[group]) < QUEUE:
            self.queues[group].append(arrived)
        else:
            self.outcomes["rejected"] += 1

    def _start(self, group: int, arrived: float) -> None:
        self.ends[group].append(self.now + round(TIMES.slot_s * 100))
        late = (self.now - arrived) / 100 + TIMES.first_event_s > self.objective_s
        self.outcomes["late" if late else "in_time"] += 1
