"""Decides which groups are formed and what spare servers prepare. No input or output."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from .models import EngineProfile, Group, Model

# Servers of a domain that stay out of groups when the first ones are formed, so
# that a group that loses a member is whole again without a load of weights.
SPARES_PER_DOMAIN: Final = 2
# Time of a join if the server's last group had the same model.
REJOIN_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class FreeServer:
    """A server that is in no serving or forming group."""

    server_id: str
    domain: str
    # Model of its last group since its start.
    last_model: str | None
    staged: frozenset[str]
    # Model that it loads now as a spare.
    preparing: str | None = None

    def join_s(self, model: Model) -> float:
        """Return how long a join for the model takes."""
        if self.last_model == model.name:
            return REJOIN_S
        if model.name in self.staged:
            return model.warmup_s
        return model.load_s


@dataclass(frozen=True, slots=True)
class ZoneFacts:
    """What the planner knows of one zone."""

    profile: EngineProfile
    free: Sequence[FreeServer]
    # Groups of the zone that serve or are being formed, with their domain.
    groups: Sequence[tuple[Group, str]]
    # Groups of other zones that serve, by model.
    elsewhere: Mapping[str, int]
    # Whether callers' requests have begun; before, loads are short.
    traffic_seen: bool


@dataclass(frozen=True, slots=True)
class GroupPlan:
    """A group to form; the first member becomes its head."""

    model: str
    members: tuple[str, ...]
    join_s: float


@dataclass(frozen=True, slots=True)
class SparePlan:
    """A free server that loads a model, so that it can join later at once."""

    server_id: str
    model: str


@dataclass(slots=True)
class ZonePlan:
    """Orders to carry out now."""

    groups: list[GroupPlan] = field(default_factory=list)
    spares: list[SparePlan] = field(default_factory=list)


def plan_zone(facts: ZoneFacts) -> ZonePlan:
    """Return the groups and spares to prepare now.

    Models with few groups for their share of the work go first. After traffic has
    begun, a group is formed only of servers that need no load, as waiting servers
    could complete another group sooner; a free server without weights loads the
    model that completes a group.
    """
    plan = ZonePlan()
    free = {server.server_id: server for server in facts.free}
    counts = Counter(facts.elsewhere)
    counts.update(group.model for group, _ in facts.groups)
    while True:
        choice = _next_group(facts, list(free.values()), counts)
        if choice is None:
            break
        plan.groups.append(choice)
        counts[choice.model] += 1
        for member in choice.members:
            del free[member]
    plan.spares = _plan_spares(facts, list(free.values()), plan.groups)
    return plan


def _next_group(
    facts: ZoneFacts, free: list[FreeServer], counts: Counter[str]
) -> GroupPlan | None:
    models = sorted(
        facts.profile.models, key=lambda model: (counts[model.name], -model.size)
    )
    for model in models:
        options = [
            option
            for domain in {server.domain for server in free}
            if (option := _option(facts, free, domain, model)) is not None
        ]
        if options:
            return min(options, key=lambda option: option[0])[1]
    return None


def _option(
    facts: ZoneFacts, free: list[FreeServer], domain: str, model: Model
) -> tuple[tuple[float, int, str], GroupPlan] | None:
    """Return the best group of the model in the domain, with its rank."""
    servers = sorted(
        (server for server in free if server.domain == domain),
        key=lambda server: (server.join_s(model), server.server_id),
    )
    keep = 0 if facts.traffic_seen else SPARES_PER_DOMAIN
    if len(servers) < model.size + keep:
        return None
    members = servers[: model.size]
    join_s = members[-1].join_s(model)
    if facts.traffic_seen and join_s > max(model.warmup_s, REJOIN_S):
        return None
    same = sum(
        1
        for group, place in facts.groups
        if place == domain and group.model == model.name
    )
    plan = GroupPlan(model.name, tuple(server.server_id for server in members), join_s)
    return (join_s, same - len(servers), domain), plan


def _plan_spares(
    facts: ZoneFacts, free: Iterable[FreeServer], planned: Sequence[GroupPlan]
) -> list[SparePlan]:
    """Give each free server without weights the model that its domain lacks most."""
    servers = list(free)
    plans: list[SparePlan] = []
    prepared: Counter[tuple[str, str]] = Counter()
    for server in servers:
        model = server.preparing or server.last_model
        if model is not None:
            prepared[server.domain, model] += 1
    for server in sorted(servers, key=lambda server: server.server_id):
        if server.preparing is not None or server.last_model is not None:
            continue
        model = _spare_model(facts, server, prepared)
        prepared[server.domain, model.name] += 1
        plans.append(SparePlan(server.server_id, model.name))
    return plans


def _spare_model(
    facts: ZoneFacts, server: FreeServer, prepared: Counter[tuple[str, str]]
) -> Model:
    def rank(model: Model) -> tuple[bool, int, int, str]:
        ready = prepared[server.domain, model.name]
        missing = model.size - ready % model.size
        groups = sum(
            1
            for group, place in facts.groups
            if place == server.domain and group.model == model.name
        )
        # Servers of a group that lost a member wait for just this one.
        completes = ready > 0 and missing == 1
        staged = model.name in server.staged
        return (not completes, ready - groups - staged, missing, model.name)

    return min(facts.profile.models, key=rank)
