"""State of the request path of one node."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..admission.const import MAX_QUEUED_PER_GROUP
from ..admission.estimate import (
    UNKNOWN_TIMES,
    SlotTimes,
    estimate_capacity,
    is_late,
    profile_times,
)
from ..fleet.cold import SEND_WINDOW_S
from ..fleet.evacuation import Evacuations
from ..fleet.models import BackendServer, Configuration, ServedGroup
from ..fleet.statements import NO_STATEMENT, ServerStatement, ServerStatements
from ..transport.const import MAX_RESPONSE_BYTES
from ..transport.exchange import ResponseHead
from ..transport.memory import HeldBytes
from ..transport.pool import ConnectionPool
from .allowances import Allowances
from .backends import Backends
from .budget import RetryBudget
from .choosing import ServerChooser
from .cold import ColdServers
from .const import MAX_PLAIN_LOAD
from .context import RequestContext
from .crashes import CrashTracker
from .evacuated import direct_away, draw_share
from .header_names import HeaderNames
from .hedging import Hedging
from .metrics import GatewayMetrics
from .observed import ObservedTimes
from .placement import Candidate, choose_group, choose_server
from .reach import ServerReach
from .relays import Relays
from .server_index import MAX_CANDIDATES, ServerIndex, create_index, sample
from .stopping import Stopping, StopSchedule
from .waiting import WaitingRequests
from .zone_failures import ZoneFailures


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
    memory: HeldBytes = field(default_factory=lambda: HeldBytes(MAX_RESPONSE_BYTES))
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
    # Second copies of requests; None if they are switched off.
    hedging: Hedging | None = None
    evacuations: Evacuations = field(default_factory=Evacuations)
    # Returns whether nothing may be sent, because this process was paused and may not
    # have heard yet which zones are evacuated.
    is_held: Callable[[], bool] = lambda: False
    zone_failures: ZoneFailures = field(default_factory=ZoneFailures)
    observed: ObservedTimes = field(default_factory=ObservedTimes)
    # Whether this node reaches the servers, and the peers that pass requests on if it
    # does not; None if peers pass nothing on.
    reach: ServerReach = field(default_factory=ServerReach)
    relays: Relays | None = None
    # Returns the number of live nodes, including this one.
    node_count: Callable[[], int] = lambda: 1
    # Returns the index of `groups` and `servers`; without it, it is made for each use.
    find_index: Callable[[], ServerIndex] | None = None
    allowances: Allowances = field(init=False)
    waiting: WaitingRequests = field(init=False)

    def __post_init__(self) -> None:
        """Create the parts that use this state."""
        self.allowances = Allowances(self.rng, self.node_count)
        chooser = ServerChooser(self, self.allowances)
        self.waiting = WaitingRequests(chooser, self.metrics)
        self.backends.on_end = self.waiting.wake
        self.pool.on_connected = self.reach.record_connected

    def is_started(self) -> bool:
        """Return whether this node knows what it needs to send requests."""
        return (
            self.configuration() is not None
            and bool(self.servers())
            and self.evacuations.is_known
        )

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Begin the planned stop; other nodes serve what waits."""
        self.stopping.begin(schedule)
        self.waiting.close()

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = self.create_budget()
        return self.budgets[service]

    def index(self) -> ServerIndex:
        """Return the groups and servers by what a request asks for."""
        if self.find_index is not None:
            return self.find_index()
        return create_index(self.groups(), self.servers().values())

    def crashes_servers(self, ctx: RequestContext) -> bool:
        """Return whether requests like this one crash servers."""
        return bool(self.crashes.causes()) and self.crashes.is_blocked(ctx.traits)

    def is_grouped(self, service: str) -> bool:
        """Return whether the servers of a service form groups."""
        cfg = self.configuration()
        service_cfg = cfg.services.get(service) if cfg else None
        return service_cfg is not None and service_cfg.engine is not None

    def may_send(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a request may be sent to a server now.

        All requests pass this check, when a server is chosen and before they are sent.
        """
        if not self._takes_requests(server, now_s):
            return False
        # The server may have become cold since it was chosen.
        current = self.servers().get(server.server_id, server)
        if self.cold.may_send(current):
            return True
        self.metrics.cold_withheld.inc({})
        return False

    def may_relay(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a request of a peer may be passed on to a server now.

        The peer counts its own requests to cold servers.
        """
        return self._takes_requests(server, now_s)

    def may_place(
        self, ctx: RequestContext, server: BackendServer, now_s: float
    ) -> bool:
        """Return whether a server may be chosen for a request."""
        if not self._takes_requests(server, now_s):
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

    def _takes_requests(self, server: BackendServer, now_s: float) -> bool:
        """Return whether requests may be sent to a server if it is not cold."""
        return (
            self.statements.may_send(server, now_s)
            and self.evacuations.may_send(server.zone, now_s)
            and not self.is_held()
        )

    def _is_suspected(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a server, or all servers of its zone, seem out of reach."""
        if self.backends.is_suspected(server.server_id, now_s):
            return True
        if not self.zone_failures.is_suspected(server.zone, now_s):
            return False
        # If no zone seems within reach, the servers are tried one by one.
        zones = self.index().zones
        return not all(self.zone_failures.is_suspected(zone, now_s) for zone in zones)

    def candidates(self, ctx: RequestContext, now_s: float) -> list[Candidate]:
        """Return groups or plain servers to which the request may be sent.

        In a large deployment these are some of them, drawn at random.
        """
        if self.is_grouped(ctx.service):
            return self.group_candidates(ctx, now_s)
        return self.server_candidates(ctx, now_s)

    def choose_candidate(self, ctx: RequestContext, now_s: float) -> Candidate | None:
        """Choose a group or a plain server; None if none may take the request now."""
        return self.choose_from(ctx, self.candidates(ctx, now_s), now_s)

    def choose_from(
        self, ctx: RequestContext, candidates: list[Candidate], now_s: float
    ) -> Candidate | None:
        """Choose one of the candidates; None if none may take the request now.

        While the load of a zone is shifted, a request that is directed away from it
        uses it only if no other zone can take the request.
        """
        choose = choose_group if self.is_grouped(ctx.service) else choose_server
        if not self.evacuations.active_zones():
            return choose(candidates, self.rng)
        # A request that was sent before goes elsewhere.
        draw = 1.0 if ctx.sends else draw_share(ctx.request_id)
        elsewhere = direct_away(candidates, draw)
        chosen = choose(elsewhere, self.rng)
        if chosen is None:
            return choose(candidates, self.rng)
        is_shifted = len(elsewhere) < len(candidates)
        if is_shifted or not self.evacuations.may_send(self.zone, now_s):
            self.metrics.evacuation_redirects.inc({"route": ctx.route.name})
        return chosen

    def group_candidates(self, ctx: RequestContext, now_s: float) -> list[Candidate]:
        """Return a sample of the groups to which the request may be sent."""
        slots = self._group_slots(ctx.service)
        times = self.expected_times(ctx)
        time_left_s = ctx.time_left_s(now_s)
        candidates = []
        groups = self.index().groups(ctx.service, ctx.model)
        for group in sample(groups, self.rng):
            leader = group.leader
            if leader.server_id in ctx.excluded_servers:
                continue
            if not self.may_place(ctx, leader, now_s):
                continue
            usable = self.usable_slots(leader, slots, now_s)
            in_flight, peers = self.backends.known_load(
                leader.server_id, usable, MAX_QUEUED_PER_GROUP, now_s
            )
            capacity = estimate_capacity(in_flight, peers, usable, times, time_left_s)
            candidates.append(
                Candidate(
                    server_id=leader.server_id,
                    in_flight=in_flight,
                    slots=usable,
                    same_zone=leader.zone == self.zone,
                    suspected=self._is_suspected(leader, now_s),
                    leaving=group.leaving,
                    zone_share=self.evacuations.share(leader.zone, now_s),
                    cold=self.cold.is_cold(leader.server_id),
                    limit=capacity.limit,
                    places=capacity.places,
                    own=self.backends.own_load(leader.server_id),
                )
            )
        return candidates

    def server_candidates(self, ctx: RequestContext, now_s: float) -> list[Candidate]:
        """Return a sample of the plain servers to which the request may be sent."""
        times = self.expected_times(ctx)
        time_left_s = ctx.time_left_s(now_s)
        candidates = []
        for server in sample(self.index().servers(ctx.service), self.rng):
            if server.server_id in ctx.excluded_servers:
                continue
            if not self.may_place(ctx, server, now_s):
                continue
            slots = self.usable_slots(server, max(1, server.slots), now_s)
            max_queued = int(slots * (MAX_PLAIN_LOAD - 1))
            in_flight, peers = self.backends.known_load(
                server.server_id, slots, max_queued, now_s
            )
            capacity = estimate_capacity(
                in_flight, peers, slots, times, time_left_s, max_queued=max_queued
            )
            candidates.append(
                Candidate(
                    server_id=server.server_id,
                    in_flight=in_flight,
                    slots=slots,
                    same_zone=server.zone == self.zone,
                    suspected=self._is_suspected(server, now_s),
                    failure_rate=self.backends.failure_rate(server.server_id),
                    limit=capacity.limit,
                    places=capacity.places,
                    own=self.backends.own_load(server.server_id),
                    zone_share=self.evacuations.share(server.zone, now_s),
                    cold=self.cold.is_cold(server.server_id),
                )
            )
        return candidates

    def expected_times(self, ctx: RequestContext) -> SlotTimes:
        """Return the expected times of a request, as far as this node knows."""
        return self.observed.times(ctx.kind, self.profile_times(ctx))

    def is_late(self, ctx: RequestContext, now_s: float) -> bool:
        """Return whether a request can no longer be in time."""
        return is_late(self.expected_times(ctx), ctx.time_left_s(now_s))

    def profile_times(self, ctx: RequestContext) -> SlotTimes:
        """Return the expected times of a request by the configuration."""
        cfg = self.configuration()
        service = cfg.services.get(ctx.service) if cfg else None
        if service is None or service.engine is None:
            return UNKNOWN_TIMES
        prompt_tokens = ctx.tokens[0] if ctx.tokens else None
        return profile_times(service.engine, ctx.model, prompt_tokens)

    def soonest_return_s(self, ctx: RequestContext, now_s: float) -> float | None:
        """Return when the first server may get requests again.

        None if there is none, or if one may get requests now.
        """
        return self.statements.soonest_return_s(
            [
                server
                for server in sample(self.servers_for(ctx), self.rng)
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
            for server in sample(self.servers_for(ctx), self.rng)
            if not self.statements.is_leaving(server, now_s)
        ]
        return min([*left_s, SEND_WINDOW_S]) or None if left_s else None

    def servers_for(self, ctx: RequestContext) -> list[BackendServer]:
        """Return the leaders or plain servers of a request, also unusable ones."""
        index = self.index()
        if self.is_grouped(ctx.service):
            return [item.leader for item in index.groups(ctx.service, ctx.model)]
        return list(index.servers(ctx.service))

    def sampling_factor(self, ctx: RequestContext) -> float:
        """Return how many servers each one in `candidates` stands for."""
        index = self.index()
        if self.is_grouped(ctx.service):
            count = len(index.groups(ctx.service, ctx.model))
        else:
            count = len(index.servers(ctx.service))
        return max(1.0, count / MAX_CANDIDATES)

    def is_evacuated(self, ctx: RequestContext, now_s: float) -> bool:
        """Return whether all servers for a request are in zones that are cut off."""
        if not self.evacuations.active_zones() or not self.evacuations.is_known:
            return False
        if self.evacuations.all_cut_off(now_s):
            return True
        zones = {server.zone for server in self.servers_for(ctx)}
        return bool(zones) and not any(
            self.evacuations.may_send(zone, now_s) for zone in zones
        )

    def slots(self, server: BackendServer) -> int:
        """Return the number of requests that a server runs concurrently."""
        if self.is_grouped(server.service):
            return self._group_slots(server.service)
        return max(1, server.slots)

    def _group_slots(self, service: str) -> int:
        cfg = self.configuration()
        service_cfg = cfg.services.get(service) if cfg else None
        return service_cfg.engine.slots if service_cfg and service_cfg.engine else 1
