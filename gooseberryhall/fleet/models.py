"""Models of the configuration, backend servers and groups."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from ..transport.address import Address

INCARNATION_TAGS: Final = 1 << 16


class MemberState(StrEnum):
    """Progress of a server's membership in a group, in this order."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


_MEMBER_STATE_ORDER = {state: index for index, state in enumerate(MemberState)}


@dataclass(frozen=True, slots=True)
class Membership:
    """Membership of a server in a group; rank 0 is the leader."""

    group: str
    epoch: int
    rank: int
    state: MemberState

    def progress(self) -> tuple[int, int]:
        """Return a key that grows within one incarnation of a server."""
        return (self.epoch, _MEMBER_STATE_ORDER[self.state])


@dataclass(frozen=True, slots=True)
class ColdGrant:
    """Permission of some nodes to send to a cold server, as its zone's owner gives it.

    A node of the zone may use it if its rank for the server is at most the threshold.
    """

    threshold: int
    # Requests that a node may send in a window.
    requests: int
    # Zone of the nodes; that of the owner.
    zone: str
    # Arrival on the clock of this node that counts suspended time.
    arrived_s: float = 0.0


@dataclass(frozen=True, slots=True)
class BackendServer:
    """State of one incarnation of a backend server, as it last reported it."""

    server_id: str
    service: str
    address: Address
    zone: str
    leaving: bool
    slots: int
    # Unix time at which this incarnation started; 0 if unknown.
    started_at_ms: int = 0
    # Fabric domain; empty for servers of plain services.
    domain: str = ""
    # Models whose weights are on the host.
    staged: frozenset[str] = frozenset()
    # Model of the server's last group since its start.
    last_model: str | None = None
    membership: Membership | None = None
    # Number of the heartbeat that wrote the record; grows within an incarnation.
    heartbeat: int = 0
    # Time for which the server was still cold when this state arrived; None if unknown.
    cold_remaining_s: float | None = None
    # Arrival on the clock of this node that counts suspended time.
    arrived_s: float = 0.0
    # Set if the server is cold and the owner of its zone lets nodes send to it.
    cold_grant: ColdGrant | None = None

    @property
    def incarnation_tag(self) -> int:
        """Return a short number that differs between incarnations.

        Datagrams hold it in place of the start time.
        """
        return self.started_at_ms % INCARNATION_TAGS


@dataclass(frozen=True, slots=True)
class Model:
    """A model whose replica is a group of `size` servers."""

    name: str
    size: int
    # Factor for all durations of a group of this model.
    time_factor: float
    # Share of all servers that the offered load needs at the start, from 0 to 1.
    share: float
    load_s: float
    warmup_s: float


@dataclass(frozen=True, slots=True)
class EngineTiming:
    """Times of an engine's passes; a model's `time_factor` multiplies all of them.

    All values are 0 if the configuration does not state them.
    """

    # Time of a token step, and what each running request adds to it.
    step_s: float = 0.0
    step_per_request_s: float = 0.0
    # Time that 1,000 tokens of context of a running request add to a step.
    step_per_context_s: float = 0.0
    # Prompt tokens read in a second.
    prompt_tokens_per_s: float = 0.0
    # Token steps in a pass, which are sent as one event.
    steps_per_pass: int = 1
    # Mean tokens of a prompt and of an answer.
    mean_prompt_tokens: float = 0.0
    mean_answer_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Properties of a service whose servers form groups."""

    slots: int
    models: tuple[Model, ...]
    formation_s: float
    # Number of concurrent loads of weights that do not slow each other down.
    loads_at_once: int
    timing: EngineTiming = EngineTiming()

    def model(self, name: str) -> Model | None:
        """Return a model by name."""
        return next((model for model in self.models if model.name == name), None)


@dataclass(frozen=True, slots=True)
class Service:
    """A target of routes; `engine` is set if its servers form groups."""

    name: str
    engine: EngineProfile | None = None
    # Time for which a server is cold after its start; 0 if servers are never cold.
    cold_start_s: float = 0.0
    # Requests that a cold server tolerates in a second.
    cold_requests_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Target:
    """A service that receives a weighted share of a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix."""

    name: str
    host: bytes
    prefix: bytes
    idempotent: bool
    streaming: bool
    resumable: bool
    anonymous: bool
    priority: int
    timeout_s: float
    latency_objective_s: float
    # Maximum number of servers that one request may run on.
    attempts: int
    targets: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class Team:
    """A team whose API keys authenticate callers."""

    name: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits for callers' requests and connections."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    teams_by_key: dict[bytes, Team] = field(default_factory=dict)
    has_teams: bool = False
    limits: Limits = Limits()

    def find_route(self, host: bytes, path: bytes) -> Route | None:
        """Return the route of the host whose prefix is the longest match for a path."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best


@dataclass(frozen=True, slots=True)
class Group:
    """A group of servers that serves a model, or is being formed to do so."""

    name: str
    epoch: int
    model: str
    # Server ids in rank order; the first is the leader.
    members: tuple[str, ...]

    @property
    def leader(self) -> str:
        """Return the server id of the leader."""
        return self.members[0]


@dataclass(frozen=True, slots=True)
class ServedGroup:
    """A group that takes requests, with the fields that the request path needs."""

    model: str
    leader: BackendServer
    # A member leaves soon, or the announcement that lists the group is outdated.
    leaving: bool = False
