"""Metrics of the request path."""

from dataclasses import dataclass, field

from aioprometheus import Counter, Gauge, Histogram, Registry

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)
WAIT_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6)


@dataclass(slots=True)
class GatewayMetrics:
    """Metrics of the request path of one node."""

    registry: Registry = field(default_factory=Registry)
    requests: Counter = field(init=False)
    retries: Counter = field(init=False)
    stalls: Counter = field(init=False)
    crash_refusals: Counter = field(init=False)
    statements: Counter = field(init=False)
    latency: Histogram = field(init=False)
    evacuated_zones: Gauge = field(init=False)
    evacuation_redirects: Counter = field(init=False)
    held_bytes: Gauge = field(init=False)
    input_refusals: Counter = field(init=False)
    waiting: Gauge = field(init=False)
    waited: Histogram = field(init=False)
    refusals: Counter = field(init=False)
    hedges: Counter = field(init=False)
    hedges_withheld: Counter = field(init=False)
    cold_servers: Gauge = field(init=False)
    cold_withheld: Counter = field(init=False)
    relayed: Counter = field(init=False)
    partitioned: Gauge = field(init=False)

    def __post_init__(self) -> None:
        """Register the collectors."""
        self.relayed = Counter(
            "gooseberryhall_relayed_requests_total",
            "Requests sent by way of a peer, or passed on for one, by result.",
            registry=self.registry,
        )
        self.partitioned = Gauge(
            "gooseberryhall_partitioned_from_servers",
            "1 while this node reaches no server and peers pass its requests on.",
            registry=self.registry,
        )
        self.requests = Counter(
            "gooseberryhall_requests_total",
            "Requests by route and outcome.",
            registry=self.registry,
        )
        self.retries = Counter(
            "gooseberryhall_retries_total",
            "Requests sent again, by cause.",
            registry=self.registry,
        )
        self.stalls = Counter(
            "gooseberryhall_group_stalls_total",
            "Groups found silent.",
            registry=self.registry,
        )
        self.crash_refusals = Counter(
            "gooseberryhall_crash_refusals_total",
            "Requests refused because requests like them crash servers, by route.",
            registry=self.registry,
        )
        self.statements = Counter(
            "gooseberryhall_server_statements_total",
            "Answers in which a server said that it leaves or wants a pause, by kind.",
            registry=self.registry,
        )
        self.latency = Histogram(
            "gooseberryhall_first_answer_seconds",
            "Time to the first part of an answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.evacuated_zones = Gauge(
            "gooseberryhall_evacuated_zones",
            "Availability zones that are evacuated.",
            registry=self.registry,
        )
        self.evacuation_redirects = Counter(
            "gooseberryhall_evacuation_redirects_total",
            "Times that a server of another zone was chosen because a zone is "
            "evacuated, by route.",
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "gooseberryhall_held_bytes",
            "Bytes held for callers and servers, by kind.",
            registry=self.registry,
        )
        self.input_refusals = Counter(
            "gooseberryhall_input_refusals_total",
            "Requests and connections outside the limits, by reason.",
            registry=self.registry,
        )
        self.waiting = Gauge(
            "gooseberryhall_waiting_requests",
            "Requests that wait for a server.",
            registry=self.registry,
        )
        self.waited = Histogram(
            "gooseberryhall_waited_seconds",
            "Time for which requests waited for a server, by route.",
            buckets=WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.refusals = Counter(
            "gooseberryhall_refusals_total",
            "Requests refused with 503, by reason.",
            registry=self.registry,
        )
        self.hedges = Counter(
            "gooseberryhall_hedges_total",
            "Second copies of requests by route and event: sent, won, cancelled.",
            registry=self.registry,
        )
        self.hedges_withheld = Counter(
            "gooseberryhall_hedges_withheld_total",
            "Second copies that were not sent, by route and reason.",
            registry=self.registry,
        )
        self.cold_servers = Gauge(
            "gooseberryhall_cold_servers",
            "Servers that take requests and are cold, as this node knows.",
            registry=self.registry,
        )
        self.cold_withheld = Counter(
            "gooseberryhall_cold_withheld_total",
            "Requests that were not sent to a server because it is cold.",
            registry=self.registry,
        )
