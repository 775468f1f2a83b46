"""Decides whether and when a second copy of a request is sent to another server.

The load pattern that this addresses is a server that answers most requests in time and
a few of them late, while other servers have free slots. Under overload a second copy
would only add to the load, so none is sent. Pure functions and state, without input or
output.
"""

from collections import defaultdict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from ddsketch import DDSketch

from .budget import RetryBudget
from .const import (
    HEDGE_PERIOD_ANSWERS,
    HEDGE_PERIOD_S,
    HEDGE_REJECTION_S,
    HEDGE_SHARE_WINDOW_S,
    LATENCY_ACCURACY,
    MIN_HEDGE_ANSWERS,
    MIN_HEDGE_DELAY_S,
    MIN_REMAINING_S,
)
from .placement import Candidate

_MEDIAN = 0.5


class WithheldReason(StrEnum):
    """Why no second copy of a request is sent."""

    # Too few answers were seen on the route.
    NO_LATENCIES = "no_latencies"
    # A second answer is not expected before the deadline of the request.
    DEADLINE = "deadline"
    # This node stops.
    STOPPING = "stopping"
    # Servers crashed while they ran the request.
    CRASHES = "crashes"
    # The route allows no further server.
    ATTEMPTS = "attempts"
    # A server of the service rejected a request a moment ago.
    OVERLOAD = "overload"
    # No other server has a free slot.
    NO_SERVER = "no_server"
    # The operator's share of extra requests is used up.
    SHARE = "share"
    # The retry budget of the deployment is used up.
    BUDGET = "budget"


@dataclass(frozen=True, slots=True)
class LatencyEstimate:
    """Latencies of a route's answers, in seconds."""

    median_s: float
    # Quantile after which a second copy is worth its cost.
    late_s: float


@dataclass(slots=True)
class RouteLatencies:
    """Latencies of the last answers of one route.

    Each answer is added to two sketches, of which one began a period earlier. That one
    always covers one to two periods; at the end of a period it is dropped.
    """

    _older: DDSketch = field(default_factory=lambda: DDSketch(LATENCY_ACCURACY))
    _newer: DDSketch = field(default_factory=lambda: DDSketch(LATENCY_ACCURACY))
    _newer_since_s: float = float("-inf")

    def record(self, latency_s: float, now_s: float) -> None:
        """Add the latency of an answer."""
        self._rotate(now_s)
        self._older.add(latency_s)
        self._newer.add(latency_s)

    def estimate(self, quantile: float, now_s: float) -> LatencyEstimate | None:
        """Return the latencies to expect; None if too few answers were seen."""
        self._rotate(now_s)
        if self._older.count < MIN_HEDGE_ANSWERS:
            return None
        median_s = self._older.get_quantile_value(_MEDIAN)
        late_s = self._older.get_quantile_value(quantile)
        if median_s is None or late_s is None:
            return None
        return LatencyEstimate(median_s, late_s)

    def _rotate(self, now_s: float) -> None:
        """Begin a new period if the current one is over."""
        age_s = now_s - self._newer_since_s
        if age_s < HEDGE_PERIOD_S and self._newer.count < HEDGE_PERIOD_ANSWERS:
            return
        # Answers of a period that ended long ago say nothing about the next ones.
        is_recent = age_s < 2 * HEDGE_PERIOD_S
        self._older = self._newer if is_recent else DDSketch(LATENCY_ACCURACY)
        self._newer = DDSketch(LATENCY_ACCURACY)
        self._newer_since_s = now_s


@dataclass(slots=True)
class HedgeShare:
    """Limits second copies of one service to a share of its requests.

    The copies never exceed the share within any window of `HEDGE_SHARE_WINDOW_S`.
    """

    max_share: float
    _request_times_s: deque[float] = field(default_factory=deque)
    _copy_times_s: deque[float] = field(default_factory=deque)

    def record_request(self, now_s: float) -> None:
        """Count a request of the service."""
        self._request_times_s.append(now_s)
        self._remove_expired(now_s)

    def has_capacity(self, now_s: float) -> bool:
        """Return whether the share allows a copy."""
        self._remove_expired(now_s)
        allowed = self.max_share * len(self._request_times_s)
        return len(self._copy_times_s) + 1 <= allowed

    def _remove_expired(self, now_s: float) -> None:
        """Remove what happened before the window."""
        window_start_s = now_s - HEDGE_SHARE_WINDOW_S
        for times in (self._request_times_s, self._copy_times_s):
            while times and times[0] < window_start_s:
                times.popleft()

    def try_acquire(self, budget: RetryBudget, now_s: float) -> WithheldReason | None:
        """Count a copy here and in the retry budget, or return why it is withheld."""
        if not self.has_capacity(now_s):
            return WithheldReason.SHARE
        if not budget.try_acquire(now_s):
            return WithheldReason.BUDGET
        self._copy_times_s.append(now_s)
        return None


@dataclass(frozen=True, slots=True)
class HedgeTiming:
    """Times of a request on the clock of the event loop, in seconds."""

    # When the first copy was started.
    started_s: float
    # Until when an answer meets the objective of the route.
    objective_s: float
    deadline_s: float


@dataclass(frozen=True, slots=True)
class HedgePlan:
    """When a second copy is due, and how long its answer is expected to take."""

    due_s: float
    answer_s: float


@dataclass(frozen=True, slots=True)
class HedgeConditions:
    """What else decides on a second copy at the time at which it is due."""

    stopping: bool
    crashes_servers: bool
    # Whether the route allows another server for this request.
    attempt_left: bool
    # Whether requests wait or a server rejected one a moment ago.
    overloaded: bool
    server_free: bool


def plan_hedge(
    timing: HedgeTiming, estimate: LatencyEstimate | None
) -> HedgePlan | WithheldReason:
    """Return until when to wait for the first copy, or why there is no second one.

    A second copy is sent when an answer is later than most. If that is too late for the
    objective, the copy is sent so that its answer is expected just in time.
    """
    if estimate is None:
        return WithheldReason.NO_LATENCIES
    due_s = timing.started_s + max(estimate.late_s, MIN_HEDGE_DELAY_S)
    if due_s + estimate.median_s > timing.objective_s:
        in_time_s = timing.objective_s - estimate.median_s
        if in_time_s > timing.started_s:
            due_s = max(in_time_s, timing.started_s + MIN_HEDGE_DELAY_S)
    plan = HedgePlan(due_s, max(estimate.median_s, MIN_REMAINING_S))
    return plan if _leaves_time(due_s, timing, plan) else WithheldReason.DEADLINE


def decide_hedge(
    now_s: float,
    timing: HedgeTiming,
    plan: HedgePlan,
    conditions: HedgeConditions,
) -> WithheldReason | None:
    """Return why a second copy that is due is withheld; None if it may be sent now."""
    if conditions.stopping:
        return WithheldReason.STOPPING
    if conditions.crashes_servers:
        return WithheldReason.CRASHES
    if not conditions.attempt_left:
        return WithheldReason.ATTEMPTS
    if not _leaves_time(now_s, timing, plan):
        return WithheldReason.DEADLINE
    if conditions.overloaded:
        return WithheldReason.OVERLOAD
    return None if conditions.server_free else WithheldReason.NO_SERVER


def _leaves_time(sent_s: float, timing: HedgeTiming, plan: HedgePlan) -> bool:
    """Return whether a copy that is sent then is expected to answer in time."""
    return sent_s + plan.answer_s <= timing.deadline_s


def free_candidates(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the servers that can begin a second copy at once."""
    return [
        candidate
        for candidate in candidates
        if not candidate.suspected
        and not candidate.leaving
        and not candidate.cold
        and candidate.zone_share >= 1
        and candidate.in_flight < candidate.slots
    ]


@dataclass(slots=True)
class Hedging:
    """Latencies, shares and rejections that this node has seen."""

    # The share is above 0.
    max_share: float
    quantile: float
    # By route.
    latencies: defaultdict[str, RouteLatencies] = field(
        default_factory=lambda: defaultdict(RouteLatencies)
    )
    # By service.
    _shares: dict[str, HedgeShare] = field(default_factory=dict)
    _rejected_s: dict[str, float] = field(default_factory=dict)

    def share(self, service: str) -> HedgeShare:
        """Return the share of a service."""
        return self._shares.setdefault(service, HedgeShare(self.max_share))

    def record_rejection(self, service: str, now_s: float) -> None:
        """Record that a server did not run a request because it is full."""
        self._rejected_s[service] = now_s

    def was_rejected(self, service: str, now_s: float) -> bool:
        """Return whether a server of the service rejected a request a moment ago."""
        rejected_s = self._rejected_s.get(service)
        return rejected_s is not None and now_s - rejected_s < HEDGE_REJECTION_S


def create_hedging(max_share: float, quantile: float) -> Hedging | None:
    """Return the state of hedging, or None if it is switched off."""
    return Hedging(max_share, quantile) if max_share > 0 else None
