"""State of the routing concern."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class GroupLoad:
    """Requests of this node in a group.

    `changes` holds the times and signs of the newest changes, by which a load report is
    corrected for what this node did after it. `last_start_s` is when this node last
    sent a request to the group.
    """

    in_flight: int = 0
    last_start_s: float = float("-inf")
    changes: deque[tuple[float, int]] = field(default_factory=deque)


@dataclass(slots=True)
class Average:
    """An exponentially weighted moving average."""

    value: float = 0.0
    samples: int = 0


@dataclass(slots=True)
class GroupLatency:
    """First token time and gap between tokens of a group, as this node sees them."""

    first_token: Average = field(default_factory=Average)
    gap: Average = field(default_factory=Average)
    last_sample_s: float = 0.0
    slow_since_s: float | None = None
    ejected_until_s: float = 0.0


@dataclass(slots=True)
class GroupPrefixes:
    """Blocks that a group's prefix cache holds as far as known, oldest use first.

    `generation` is the group's generation to which the knowledge belongs; `last_event`
    is the sequence number of the last cache event, None before the first one.
    """

    generation: int
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    last_event: int | None = None


@dataclass(slots=True)
class RoutingState:
    """Load, latency and prefix knowledge by group.

    `generations` holds the generations to which the latencies belong.
    `paused_servers` holds until when a server of a plain service is asked last.
    """

    loads: dict[str, GroupLoad] = field(default_factory=dict)
    latencies: dict[str, GroupLatency] = field(default_factory=dict)
    generations: dict[str, int] = field(default_factory=dict)
    prefixes: dict[str, GroupPrefixes] = field(default_factory=dict)
    paused_servers: dict[tuple[str, str], float] = field(default_factory=dict)
