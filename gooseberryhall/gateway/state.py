"""State of the request path of one node."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..fleet.cold import SEND_WINDOW_S
from ..fleet.models import BackendServer, Configuration, ServedGroup
from ..fleet.statements import NO_STATEMENT, ServerStatement, ServerStatements
from ..transport.const import MAX_RESPONSE_BYTES
from ..transport.exchange import ResponseHead
from ..transport.memory import ResponseMemory
from ..transport.pool import ConnectionPool
from .backends import Backends
from .budget import RetryBudget
from .cold import ColdServers
from .context import RequestContext
from .crashes import CrashTracker
from .header_names import HeaderNames
from .metrics import GatewayMetrics
from .placement import Candidate, choose_group, choose_server
from .stopping import Stopping


@dataclass(slots=True)
class GatewayState:
    """State that the handlers of all requests share."""

    zone: str
    header_names: HeaderNames
    pool: ConnectionPool
    backends: Backends
    metrics: GatewayMetrics
    # Returns the configuration in force, or None until one was read.
    configuration: Callable[[], Configuration | None]
    servers: Callable[[], dict[str, BackendServer]]
    groups: Callable[[], list[ServedGroup]]
    create_budget: Callable[[], RetryBudget]
    # Memory of the responses of all servers.
    memory: ResponseMemory = field(
        default_factory=lambda: ResponseMemory(MAX_RESPONSE_BYTES)
    )
    # Called after a crash was recorded.
    on_crash: Callable[[], None] = lambda: None
    crashes: CrashTracker = field(default_factory=CrashTracker)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    rng: random.Random = field(default_factory=random.Random)
    stopping: Stopping = field(default_factory=Stopping)
    # What servers said of themselves, and the decoder of the headers in which they do.
    statements: ServerStatements = field(default_factory=ServerStatements)
    decode_statement: Callable[[ResponseHead], ServerStatement] = lambda _: NO_STATEMENT
    # Called when a server said for the first time that it leaves.
    on_leaving: Callable[[], None] = lambda: None
    # Whether this node or another has received requests from callers.
    traffic_seen: bool = False
    # Cold servers, and the requests that this node may send them.
    cold: ColdServers = field(default_factory=ColdServers)

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = self.create_budget()
        return self.budgets[service]

    def is_grouped(self, service: str) -> bool:
        """Return whether the servers of a service form groups."""
        cfg = self.configuration()
        service_cfg = cfg.services.get(service) if cfg else None
        return service_cfg is not None and service_cfg.engine is not None

    def may_send(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a request may be sent to a server now.

        All requests pass this check, when a server is chosen and before they are sent.
        """
        if not self.statements.may_send(server, now_s):
            return False
        # The server may have become cold since it was chosen.
        current = self.servers().get(server.server_id, server)
        if self.cold.may_send(current):
            return True
        self.metrics.cold_withheld.inc({})
        return False

    def may_place(
        self, ctx: RequestContext, server: BackendServer, now_s: float
    ) -> bool:
        """Return whether a server may be chosen for a request."""
        if not self.statements.may_send(server, now_s):
            return False
        if self.cold.may_send(server, placing=True):
            return True
        # A request that waits asks again and again, and is counted once.
        if server.server_id not in ctx.withheld_servers:
            ctx.withheld_servers.add(server.server_id)
            self.metrics.cold_withheld.inc({})
        return False

    def usable_slots(self, server: BackendServer, slots: int, now_s: float) -> int:
        """Return how many slots of a server may be used, after a pause or cold time."""
        usable = self.statements.usable_slots(server, slots, now_s)
        return min(usable, self.cold.usable_slots(server, slots))

    def candidates(self, ctx: RequestContext, now_s: float) -> list[Candidate]:
        """Return the groups or plain servers to which the request may be sent."""
        if self.is_grouped(ctx.service):
            return self.group_candidates(ctx, now_s)
        return self.server_candidates(ctx, now_s)

    def choose_candidate(self, ctx: RequestContext, now_s: float) -> Candidate | None:
        """Choose a group or a plain server; None if none may take the request now."""
        choose = choose_group if self.is_grouped(ctx.service) else choose_server
        return choose(self.candidates(ctx, now_s), self.rng)

    def group_candidates(self, ctx: RequestContext, now_s: float) -> list[Candidate]:
        """Return the groups to which the request may be sent."""
        slots = self._group_slots(ctx.service)
        candidates = []
        for group in self.groups():
            leader = group.leader
            if leader.service != ctx.service:
                continue
            if ctx.model is not None and group.model != ctx.model:
                continue
            if leader.server_id in ctx.excluded_servers:
                continue
            if not self.may_place(ctx, leader, now_s):
                continue
            candidates.append(
                Candidate(
                    server_id=leader.server_id,
                    in_flight=self.backends.load(leader.server_id),
                    slots=self.usable_slots(leader, slots, now_s),
                    same_zone=leader.zone == self.zone,
                    suspected=self.backends.is_suspected(leader.server_id, now_s),
                    leaving=group.leaving,
                )
            )
        return candidates

    def server_candidates(self, ctx: RequestContext, now_s: float) -> list[Candidate]:
        """Return the plain servers to which the request may be sent."""
        return [
            Candidate(
                server_id=server.server_id,
                in_flight=self.backends.load(server.server_id),
                slots=self.usable_slots(server, max(1, server.slots), now_s),
                same_zone=server.zone == self.zone,
                suspected=self.backends.is_suspected(server.server_id, now_s),
                failure_rate=self.backends.failure_rate(server.server_id),
            )
            for server in self.servers().values()
            if server.service == ctx.service
            and server.server_id not in ctx.excluded_servers
            and self.may_place(ctx, server, now_s)
        ]

    def soonest_return_s(self, ctx: RequestContext, now_s: float) -> float | None:
        """Return when the first server may get requests again.

        None if there is none, or if one may get requests now.
        """
        return self.statements.soonest_return_s(
            [
                server
                for server in self._servers_for(ctx)
                if not self.statements.is_leaving(server, now_s)
            ],
            now_s,
        )

    def cold_retry_s(self, ctx: RequestContext, now_s: float) -> float | None:
        """Return when to try again if all servers are cold, else None.

        Cold servers get more requests after each window.
        """
        left_s = [
            self.cold.left_s(server)
            for server in self._servers_for(ctx)
            if not self.statements.is_leaving(server, now_s)
        ]
        return min([*left_s, SEND_WINDOW_S]) or None if left_s else None

    def _servers_for(self, ctx: RequestContext) -> list[BackendServer]:
        if self.is_grouped(ctx.service):
            servers = [
                group.leader
                for group in self.groups()
                if ctx.model is None or group.model == ctx.model
            ]
        else:
            servers = list(self.servers().values())
        return [server for server in servers if server.service == ctx.service]

    def _group_slots(self, service: str) -> int:
        cfg = self.configuration()
        service_cfg = cfg.services.get(service) if cfg else None
        return service_cfg.engine.slots if service_cfg and service_cfg.engine else 1
