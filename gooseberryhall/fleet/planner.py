"""Decides which groups are formed and dissolved.

Pure functions over the facts of one zone.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from .models import Group, Model
from .plans import (
    REJOIN_S,
    SEVERAL_DOMAINS,
    FreeServer,
    GroupPlan,
    ZoneFacts,
    ZonePlan,
    model_weight,
)
from .spares import plan_spares

# Servers of a domain that stay out of groups when the first ones are formed, so
# that a group that loses a member is whole again without a load of weights.
SPARES_PER_DOMAIN: Final = 2
# Groups by which a model may be ahead of its share of the servers before free servers
# wait for the model that is behind.
MAX_LEAD: Final = 2


def plan_zone(facts: ZoneFacts) -> ZonePlan:
    """Return the groups and spares to prepare now.

    Models with few groups for their share of the servers go first. After traffic has
    begun, a group is formed only of servers that need no load, as waiting servers
    could complete another group sooner; a free server without weights loads the
    model that completes a group.
    """
    plan = ZonePlan()
    free = {server.server_id: server for server in facts.free}
    counts = _count_groups(facts)
    placed = Counter((domain, group.model) for group, domain in facts.groups)
    while True:
        choice = _next_group(facts, list(free.values()), counts, placed)
        if choice is None:
            break
        group, domain = choice
        plan.groups.append(group)
        counts[group.model] += 1
        placed[domain, group.model] += 1
        for member in group.members:
            del free[member]
    fill = _fill(facts, counts)
    plan.spares = plan_spares(facts, list(free.values()), placed, fill)
    if facts.traffic_seen and not plan.groups:
        idle = list(free.values())
        plan.dissolved = _plan_regroup(facts, idle) or _plan_exchange(
            facts, idle, counts
        )
    return plan


def _plan_regroup(facts: ZoneFacts, free: list[FreeServer]) -> list[Group]:
    """Return a group of several domains whose servers can form one in a domain."""
    members = {server.server_id: server for server in facts.members}
    for group, domain in facts.groups:
        model = facts.profile.model(group.model)
        if domain != SEVERAL_DOMAINS or model is None:
            continue
        candidates = [members[name] for name in group.members if name in members]
        quick = _quick_servers([*candidates, *free], model)
        by_domain = Counter(server.domain for server in quick)
        if any(count >= model.size for count in by_domain.values()):
            return [group]
    return []


def _lead_limit(facts: ZoneFacts) -> float:
    return MAX_LEAD * max(model_weight(model) for model in facts.profile.models)


def _fill(facts: ZoneFacts, counts: Counter[str]) -> dict[str, float]:
    """Return how much of its share of the servers each model has, unscaled."""
    return {
        model.name: counts[model.name] * model_weight(model)
        for model in facts.profile.models
    }


def _count_groups(facts: ZoneFacts) -> Counter[str]:
    """Return the groups of each model in all zones."""
    counts = Counter({model.name: 0 for model in facts.profile.models})
    for models in facts.elsewhere.values():
        counts.update(models)
    counts.update(group.model for group, _ in facts.groups)
    return counts


def _plan_exchange(
    facts: ZoneFacts, free: list[FreeServer], counts: Counter[str]
) -> list[Group]:
    """Return a group whose servers let a model with too few groups form one.

    Only the zone with the most groups of the other model gives one up, so that
    zones do not all act on the same imbalance.
    """
    fill = _fill(facts, counts)
    if not fill:
        return []
    most = max(fill, key=lambda name: (fill[name], name))
    fewest = min(fill, key=lambda name: (fill[name], name))
    model = facts.profile.model(fewest)
    if model is None or fill[most] - fill[fewest] <= _lead_limit(facts):
        return []
    own = sum(1 for group, _ in facts.groups if group.model == most)
    others = [(models.get(most, 0), zone) for zone, models in facts.elsewhere.items()]
    if any((count, zone) > (own, facts.zone) for count, zone in others):
        return []
    members = {server.server_id: server for server in facts.members}
    for group, domain in facts.groups:
        if group.model != most:
            continue
        candidates = [members[name] for name in group.members if name in members]
        candidates += [server for server in free if server.domain == domain]
        if len(_quick_servers(candidates, model)) >= model.size:
            return [group]
    return []


def _next_group(
    facts: ZoneFacts,
    free: list[FreeServer],
    counts: Counter[str],
    placed: Counter[tuple[str, str]],
) -> tuple[GroupPlan, str] | None:
    """Return the next group and its domain."""
    fill = _fill(facts, counts)
    models = sorted(
        facts.profile.models, key=lambda model: (fill[model.name], -model.size)
    )
    domains = {server.domain for server in free} - facts.unsettled
    for model in models:
        usable = free
        if facts.traffic_seen and _is_ahead(facts, fill, model):
            usable = _not_needed_by(facts, free, fill)
        options = [
            option
            for domain in domains
            if facts.traffic_seen or _is_next_in_domain(facts, model, domain, placed)
            if (option := _option(facts, usable, domain, model, placed)) is not None
        ]
        if options:
            rank, plan = min(options, key=lambda option: option[0])
            return plan, rank[-1]
    if facts.traffic_seen and not facts.unsettled:
        return _across_domains(facts, free, fill)
    return None


def _is_ahead(facts: ZoneFacts, fill: dict[str, float], model: Model) -> bool:
    """Return whether the model has many groups more than its share.

    Weights differ a little between models, so the limit is rounded to groups.
    """
    limit = min(fill.values(), default=0.0) + _lead_limit(facts)
    return fill[model.name] + model_weight(model) / 2 >= limit


def _not_needed_by(
    facts: ZoneFacts, free: list[FreeServer], fill: dict[str, float]
) -> list[FreeServer]:
    """Return the servers that cannot quickly join the model that is behind."""
    behind = min(facts.profile.models, key=lambda model: fill[model.name])
    needed = {server.server_id for server in _quick_servers(free, behind)}
    return [server for server in free if server.server_id not in needed]


def _across_domains(
    facts: ZoneFacts, free: list[FreeServer], fill: dict[str, float]
) -> tuple[GroupPlan, str] | None:
    """Return a group of several domains for a model that the zone does not serve.

    It is slow, but better than none, and its servers would be idle.
    """
    served = {group.model for group, _ in facts.groups}
    for model in sorted(facts.profile.models, key=lambda model: fill[model.name]):
        if model.name in served or _is_ahead(facts, fill, model):
            continue
        servers = _quick_servers(free, model)
        if len(servers) < model.size:
            continue
        members = servers[: model.size]
        names = tuple(server.server_id for server in members)
        return (
            GroupPlan(model.name, names, members[-1].join_s(model)),
            SEVERAL_DOMAINS,
        )
    return None


def _quick_servers(free: Iterable[FreeServer], model: Model) -> list[FreeServer]:
    """Return the servers that join the model's groups without a load."""
    quick = [
        server
        for server in free
        if server.preparing is None
        and server.join_s(model) <= max(model.warmup_s, REJOIN_S)
    ]
    return sorted(quick, key=lambda server: (server.join_s(model), server.server_id))


def _is_next_in_domain(
    facts: ZoneFacts, model: Model, domain: str, placed: Counter[tuple[str, str]]
) -> bool:
    """Return whether the model's turn has come in a domain.

    Servers register one after the other. If the first ones were used for a small
    model, too few would be left for a large one, so models take turns, large first.
    """
    turn = min(
        facts.profile.models,
        key=lambda other: (
            placed[domain, other.name] * model_weight(other),
            -other.size,
            other.name,
        ),
    )
    return turn.name == model.name


def _option(
    facts: ZoneFacts,
    free: list[FreeServer],
    domain: str,
    model: Model,
    placed: Counter[tuple[str, str]],
) -> tuple[tuple[float, int, str], GroupPlan] | None:
    """Return the best group of the model in the domain, with its rank."""
    servers = sorted(
        (
            server
            for server in free
            if server.domain == domain and server.preparing is None
        ),
        key=lambda server: (server.join_s(model), server.server_id),
    )
    keep = 0
    if not facts.traffic_seen and placed[domain, model.name]:
        keep = SPARES_PER_DOMAIN
    if len(servers) < model.size + keep:
        return None
    members = servers[: model.size]
    join_s = members[-1].join_s(model)
    if facts.traffic_seen and join_s > max(model.warmup_s, REJOIN_S):
        return None
    plan = GroupPlan(model.name, tuple(server.server_id for server in members), join_s)
    rank = (join_s, placed[domain, model.name] - len(servers), domain)
    return rank, plan
