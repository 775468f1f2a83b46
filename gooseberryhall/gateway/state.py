"""State of the request path of one node."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..fleet.models import BackendServer, Configuration, ServedGroup
from ..transport.pool import ConnectionPool
from .backends import Backends
from .budget import RetryBudget
from .context import RequestContext
from .crashes import CrashSuspects
from .header_names import HeaderNames
from .metrics import GatewayMetrics
from .placement import Candidate


@dataclass(slots=True)
class GatewayState:
    """Shared by the handlers of all requests."""

    zone: str
    header_names: HeaderNames
    pool: ConnectionPool
    backends: Backends
    metrics: GatewayMetrics
    # Configuration in force; None until one was read.
    configuration: Callable[[], Configuration | None]
    servers: Callable[[], dict[str, BackendServer]]
    groups: Callable[[], list[ServedGroup]]
    create_budget: Callable[[], RetryBudget]
    crashes: CrashSuspects = field(default_factory=CrashSuspects)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    rng: random.Random = field(default_factory=random.Random)
    # Whether callers' requests have been seen, by this node or another.
    traffic_seen: bool = False

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = self.create_budget()
        return self.budgets[service]

    def group_candidates(self, ctx: RequestContext, now_s: float) -> list[Candidate]:
        """Return the open groups that serve the request's model."""
        slots = self._group_slots(ctx.service)
        found = []
        for group in self.groups():
            head = group.leader
            if head.leaving or head.service != ctx.service:
                continue
            if ctx.model is not None and group.model != ctx.model:
                continue
            if head.server_id in ctx.excluded:
                continue
            found.append(
                Candidate(
                    server_id=head.server_id,
                    in_flight=self.backends.load(head.server_id),
                    slots=slots,
                    same_zone=head.zone == self.zone,
                    suspected=self.backends.is_suspected(head.server_id, now_s),
                    leaving=group.leaving,
                )
            )
        return found

    def server_candidates(self, ctx: RequestContext, now_s: float) -> list[Candidate]:
        """Return the servers of a plain service."""
        return [
            Candidate(
                server_id=server.server_id,
                in_flight=self.backends.load(server.server_id),
                slots=max(1, server.slots),
                same_zone=server.zone == self.zone,
                suspected=self.backends.is_suspected(server.server_id, now_s),
                failure_rate=self.backends.failure_rate(server.server_id),
            )
            for server in self.servers().values()
            if server.service == ctx.service
            and not server.leaving
            and server.server_id not in ctx.excluded
        ]

    def _group_slots(self, service: str) -> int:
        cfg = self.configuration()
        entry = cfg.services.get(service) if cfg else None
        return entry.engine.slots if entry and entry.engine else 1
