"""Metrics of the entry program."""

from functools import cache

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.collectors import REGISTRY

from ..core.state import State
from ..requests.effects import RequestEnded
from ..requests.gaps import GAP_BUCKETS_S
from ..requests.relay import CallRegistry

_FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.48, 0.75, 1.0, 2.0, 5.0, 10.0, 20.0)
_QUEUE_BUCKETS_S = (0.001, 0.01, 0.1, 0.5, 1.0, 2.0, 5.0, 10.0)
_INFINITY = float("inf")


class EntryMetrics:
    """Metric collectors of the entry program."""

    def __init__(self, registry: Registry = REGISTRY) -> None:
        """Create and register the collectors."""

        def histogram(name: str, doc: str, buckets: tuple[float, ...]) -> Histogram:
            limits = [*buckets, _INFINITY]
            return Histogram(name, doc, registry=registry, buckets=limits)

        self.requests = Counter(
            "gooseberryhall_requests_total",
            "Model requests by team, outcome and code",
            registry=registry,
        )
        self.first_token = histogram(
            "gooseberryhall_first_token_seconds",
            "Time from arrival to the first content",
            _FIRST_TOKEN_BUCKETS_S,
        )
        self.queue_wait = histogram(
            "gooseberryhall_queue_seconds",
            "Time from arrival to the first dispatch",
            _QUEUE_BUCKETS_S,
        )
        self.restarts = Counter(
            "gooseberryhall_restarts_total",
            "Attempts restarted on another group by reason",
            registry=registry,
        )
        self.resumes = Counter(
            "gooseberryhall_resumes_total", "Resumed streams", registry=registry
        )
        self.service_calls = Counter(
            "gooseberryhall_service_requests_total",
            "Requests to plain services by service and outcome",
            registry=registry,
        )
        self.service_retries = Counter(
            "gooseberryhall_service_retries_total",
            "Requests to plain services that needed another server",
            registry=registry,
        )
        self.gap_buckets = Counter(
            "gooseberryhall_token_gap_seconds_bucket",
            "Gaps between chunks up to a limit",
            registry=registry,
        )
        self.gap_count = Counter(
            "gooseberryhall_token_gap_seconds_count",
            "Gaps between chunks",
            registry=registry,
        )
        self.gap_sum = Counter(
            "gooseberryhall_token_gap_seconds_sum",
            "Sum of the gaps between chunks",
            registry=registry,
        )
        self.in_flight = Gauge(
            "gooseberryhall_in_flight",
            "Requests of this node in flight by group",
            registry=registry,
        )
        self.queued = Gauge(
            "gooseberryhall_queued", "Queued requests by team", registry=registry
        )

    def request_ended(self, effect: RequestEnded) -> None:
        """Record the outcome and the latencies of a request."""
        labels = {"team": effect.team, "outcome": effect.outcome.value}
        self.requests.inc({**labels, "code": effect.code})
        if effect.first_content_s is not None:
            self.first_token.observe({}, effect.first_content_s)
        if effect.queue_s is not None:
            self.queue_wait.observe({}, effect.queue_s)

    def collect(self, state: State, calls: CallRegistry) -> None:
        """Update the metrics that are derived from the state."""
        self.resumes.set({}, calls.resumes)
        for reason, restarts in calls.restarts.items():
            self.restarts.set({"reason": reason}, restarts)
        gaps = calls.gaps
        for group, load in state.routing.loads.items():
            self.in_flight.set({"group": group}, load.in_flight)
        waiting = [item.request.team for item in state.limits.queued.values()]
        for team in {labels["team"] for labels, _ in self.queued.get_all()} | set(
            waiting
        ):
            self.queued.set({"team": team}, waiting.count(team))
        total = 0
        for limit, count in zip((*GAP_BUCKETS_S, _INFINITY), gaps.buckets, strict=True):
            total += count
            label = "+Inf" if limit == _INFINITY else str(limit)
            self.gap_buckets.set({"le": label}, total)
        self.gap_count.set({}, total)
        self.gap_sum.set({}, gaps.total_s)


@cache
def entry_metrics() -> EntryMetrics:
    """Return the collectors of this process."""
    return EntryMetrics()
