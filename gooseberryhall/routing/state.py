"""State of the routing package."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class GroupLoad:
    """Load of a group by requests of this node.

    `changes` holds the times and signs (+1 or -1) of recent changes, by which a load
    report is corrected for later requests. `last_start_s` is when this node last sent a
    request to the group.
    """

    in_flight: int = 0
    last_start_s: float = float("-inf")
    changes: deque[tuple[float, int]] = field(default_factory=deque)


@dataclass(slots=True)
class MovingAverage:
    """An exponentially weighted moving average."""

    value: float = 0.0
    samples: int = 0


@dataclass(slots=True)
class GroupLatency:
    """Latency of a group: first token and gap between tokens, measured by this node.

    `slow_since_s` is when the group became slow, None while it is not.
    """

    first_token: MovingAverage = field(default_factory=MovingAverage)
    gap: MovingAverage = field(default_factory=MovingAverage)
    last_sample_s: float = 0.0
    slow_since_s: float | None = None
    ejected_until_s: float = 0.0


@dataclass(slots=True)
class GroupPrefixCache:
    """Index of the blocks in a group's prefix cache, least recently used first.

    `generation` is the group's generation to which the index belongs. `last_event` is
    the sequence number of the last cache event, None before the first one.
    """

    generation: int
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    last_event: int | None = None


@dataclass(slots=True)
class RoutingState:
    """Load, latency and prefix index by group.

    `generations` holds the generations to which the latencies belong.
    `server_cooldowns` holds the end of the cooldown by service and server.
    """

    loads: dict[str, GroupLoad] = field(default_factory=dict)
    latencies: dict[str, GroupLatency] = field(default_factory=dict)
    generations: dict[str, int] = field(default_factory=dict)
    prefixes: dict[str, GroupPrefixCache] = field(default_factory=dict)
    server_cooldowns: dict[tuple[str, str], float] = field(default_factory=dict)
