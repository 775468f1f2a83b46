"""Observations of a soak run, and the promises that were broken."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

from .const import LAG_LIMIT_S, LAG_PERIOD_S, STABILITY_WINDOW_S

STORE = "store"


class Promise(StrEnum):
    """A promise to callers, servers and operators, which the soak checks."""

    WHOLE_GROUP = "a request runs only in a whole group"
    ONE_GROUP = "a server leaves its group before it joins another"
    AT_MOST_ONCE = "a command runs at most once"
    NOT_RUN = "a request that is answered as not run has not run"
    OWN_RESPONSE = "a caller gets the whole answer to its own request"
    ALLOWED = "a proper request is not rejected"
    TEAM = "a server sees the team and not the key"
    DRAIN = "a leaving server gets no new work"
    PAUSE = "a server that asked for a pause gets no requests"
    CONFIG = "an accepted configuration is in force everywhere"
    IN_TIME = "a request has its final answer at its route's timeout"
    PLANNED_STOP = "a planned stop cuts off no request"
    SLOW_GROUP = "a stream whose group is slow is not cut"
    PROMPT_CRASHES = "a prompt part that crashes servers is refused after a few crashes"
    SOUND_PROMPTS = "sound requests are served beside those that crash servers"
    EVACUATION = "an evacuated zone gets no requests"
    ZONE_RESTORED = "a restored zone gets requests"
    COLD = "a cold server gets few requests"
    CROWD = "callers outside the limits neither end a node nor stop its answers"
    MEMORY = "a node stays within its memory"
    LAPSE = "a stream is not cut because the record of a server lapses"
    RECOVERY = "all nodes serve again after the faults"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise."""

    promise: Promise
    at_s: float
    text: str


@dataclass(slots=True)
class Records:
    """Runs and outcomes of caller attempts, and when each part was last disturbed.

    `started_s` is on the clock of the event loop; other times are seconds since then.
    """

    started_s: float = field(default_factory=lambda: asyncio.get_running_loop().time())
    runs: defaultdict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    # Name of the node to which an attempt was sent.
    node_by_attempt: dict[str, str] = field(default_factory=dict)
    # When the caller began each attempt.
    begun_s: dict[str, float] = field(default_factory=dict)
    not_run: dict[str, int] = field(default_factory=dict)
    outcomes: Counter[str] = field(default_factory=Counter)
    # Servers that crashed as they began to answer a prompt.
    prompt_crashes: int = 0
    # When the store acknowledged the evacuation of each evacuated zone.
    evacuated_s: dict[str, float] = field(default_factory=dict)
    # Zones and services whose servers got requests since they were last restored.
    used: set[tuple[str, str]] = field(default_factory=set)
    violations: list[Violation] = field(default_factory=list)
    # Time until which each part is, or last was, disturbed.
    disturbed_until_s: dict[str, float] = field(default_factory=dict)

    def now_s(self) -> float:
        """Return the time since the start of the run."""
        return asyncio.get_running_loop().time() - self.started_s

    def mark_disturbed(self, part: str, for_s: float = 0.0) -> None:
        """Record that a part is disturbed for the next `for_s` seconds."""
        until_s = self.now_s() + for_s
        self.disturbed_until_s[part] = max(
            until_s, self.disturbed_until_s.get(part, until_s)
        )

    def is_undisturbed(self, *parts: str, for_s: float = STABILITY_WINDOW_S) -> bool:
        """Return whether neither the parts nor this process were disturbed recently."""
        since_s = self.now_s() - for_s
        return all(
            self.disturbed_until_s.get(part, -STABILITY_WINDOW_S) < since_s
            for part in (*parts, "soak")
        )

    def record_violation(self, promise: Promise, text: str) -> None:
        """Record a broken promise."""
        self.violations.append(Violation(promise, round(self.now_s(), 3), text))

    def record_run(self, attempt_id: str, server_id: str, *, command: bool) -> None:
        """Record that a server began to run a request."""
        runs = self.runs[attempt_id]
        runs.append(server_id)
        if command and len(runs) > 1:
            self.record_violation(Promise.AT_MOST_ONCE, f"{attempt_id} ran at {runs}")

    def record_peak(
        self, name: str, value: int, limit: float, promise: Promise
    ) -> None:
        """Record the highest value, which breaks a promise if it is over the limit."""
        if value <= self.outcomes[name]:
            return
        self.outcomes[name] = value
        if value > limit:
            self.record_violation(promise, f"{name}: {value}")

    def check_not_run(self) -> None:
        """Check that no request ran whose response states that it did not run."""
        for attempt_id, status in self.not_run.items():
            if self.runs.get(attempt_id):
                text = f"{attempt_id} was answered {status} and ran"
                self.record_violation(Promise.NOT_RUN, text)

    async def async_watch_lag(self) -> None:
        """Record when this process is too late for its measured times to count."""
        while True:
            before_s = self.now_s()
            await asyncio.sleep(LAG_PERIOD_S)
            if self.now_s() - before_s > LAG_PERIOD_S + LAG_LIMIT_S:
                self.mark_disturbed("soak")
                self.outcomes["soak process was late"] += 1
