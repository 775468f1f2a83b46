"""Configuration, backend servers and groups as the request path sees them."""

from dataclasses import dataclass, field
from enum import StrEnum

from ..transport.pool import Address


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
    """Membership of a server in a group; rank 0 is the head."""

    group: str
    epoch: int
    rank: int
    state: MemberState

    def progress(self) -> tuple[int, int]:
        """Return a key that grows within one life of a server."""
        return (self.epoch, _MEMBER_STATE_ORDER[self.state])


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One life of a backend server, as it last described itself."""

    server_id: str
    service: str
    address: Address
    zone: str
    leaving: bool
    slots: int
    # Unix time in milliseconds at which this life started; 0 if unknown.
    started_at_ms: int = 0
    # Fabric domain; empty for servers of plain services.
    domain: str = ""
    # Models whose weights are on the host.
    staged: frozenset[str] = frozenset()
    # Model of the server's last group since its start.
    last_model: str | None = None
    membership: Membership | None = None
    # Number of the heartbeat that wrote the entry; grows within a life.
    heartbeat: int = 0


@dataclass(frozen=True, slots=True)
class Model:
    """A model whose replica is a group of `size` servers."""

    name: str
    size: int
    # Factor on all times of a group of this model.
    pace: float
    # Part of all servers that the offered work needs at the start, from 0 to 1.
    share: float
    load_s: float
    warmup_s: float


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Properties of a service whose servers form groups."""

    slots: int
    models: tuple[Model, ...]
    formation_s: float
    # Loads of weights that are not slowed down by each other.
    loads_at_once: int

    def model(self, name: str) -> Model | None:
        """Return a model by name."""
        return next((model for model in self.models if model.name == name), None)


@dataclass(frozen=True, slots=True)
class Service:
    """A service that routes lead to; `engine` is set if its servers form groups."""

    name: str
    engine: EngineProfile | None = None


@dataclass(frozen=True, slots=True)
class Target:
    """A service that takes a weighted part of a route's traffic."""

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
    # Servers that one request may run on.
    attempts: int
    targets: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class Team:
    """A team that callers' keys belong to."""

    name: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a caller may send."""

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
        """Return the route of the host with the longest prefix of the path."""
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
    # Server ids in rank order; the first is the head.
    members: tuple[str, ...]

    @property
    def leader(self) -> str:
        """Return the server id of the head."""
        return self.members[0]


@dataclass(frozen=True, slots=True)
class ServedGroup:
    """A group that takes requests, as the request path needs it."""

    model: str
    leader: BackendServer
    # A member leaves soon, or nothing was heard of the group for a while.
    leaving: bool = False
