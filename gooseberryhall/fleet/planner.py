"""Planning of groups to form and to dissolve.

Pure functions over the facts of one zone.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from .models import Group, Model
from .plans import (
    REJOIN_S,
    SEVERAL_DOMAINS,
    GroupPlan,
    ServerFacts,
    ZoneFacts,
    ZonePlan,
    model_weight,
)
from .spares import plan_spares

# Number of servers of a domain that stay spare when the first groups are formed, so
# that a group that loses a member is replaced without a load of weights.
SPARES_PER_DOMAIN: Final = 2
# Number of groups by which a model may be ahead of its share of the servers before free
# servers are kept for the model with the lowest use of its share.
MAX_GROUPS_AHEAD: Final = 2


def plan_zone(facts: ZoneFacts) -> ZonePlan:
    """Return the groups to form or dissolve and the spares to prepare now.

    Models with few groups for their share of the servers have priority. After traffic
    has begun, a group is formed only of servers that need no load, because servers that
    wait for a load could complete another group sooner; a free server without weights
    loads the model that completes a group.
    """
    plan = ZonePlan()
    free = {server.server_id: server for server in facts.free}
    model_counts = _count_groups(facts)
    domain_counts = Counter((domain, group.model) for group, domain in facts.groups)
    while True:
        choice = _next_group(facts, list(free.values()), model_counts, domain_counts)
        if choice is None:
            break
        group, domain = choice
        plan.groups.append(group)
        model_counts[group.model] += 1
        domain_counts[domain, group.model] += 1
        for member in group.members:
            del free[member]
    share_use = _share_use(facts, model_counts)
    plan.spares = plan_spares(facts, list(free.values()), domain_counts, share_use)
    if facts.traffic_seen and not plan.groups:
        idle = list(free.values())
        plan.dissolved = _plan_regroup(facts, idle) or _plan_rebalance(
            facts, idle, model_counts
        )
    return plan


def _plan_regroup(facts: ZoneFacts, free: list[ServerFacts]) -> list[Group]:
    """Return a group across domains whose servers can form one within a domain."""
    members = {server.server_id: server for server in facts.members}
    for group, domain in facts.groups:
        model = facts.profile.model(group.model)
        if domain != SEVERAL_DOMAINS or model is None:
            continue
        candidates = [members[name] for name in group.members if name in members]
        servers = _servers_without_load([*candidates, *free], model)
        by_domain = Counter(server.domain for server in servers)
        if any(count >= model.size for count in by_domain.values()):
            return [group]
    return []


def _ahead_limit(facts: ZoneFacts) -> float:
    return MAX_GROUPS_AHEAD * max(model_weight(model) for model in facts.profile.models)


def _share_use(facts: ZoneFacts, model_counts: Counter[str]) -> dict[str, float]:
    """Return, by model, the servers in its groups divided by its share of all."""
    return {
        model.name: model_counts[model.name] * model_weight(model)
        for model in facts.profile.models
    }


def _count_groups(facts: ZoneFacts) -> Counter[str]:
    """Return the number of groups of each model in all zones."""
    model_counts = Counter({model.name: 0 for model in facts.profile.models})
    for models in facts.other_zone_groups.values():
        model_counts.update(models)
    model_counts.update(group.model for group, _ in facts.groups)
    return model_counts


def _plan_rebalance(
    facts: ZoneFacts, free: list[ServerFacts], model_counts: Counter[str]
) -> list[Group]:
    """Return a group whose servers can form one of a model with too few groups.

    Only the zone with the most groups of the other model gives one up, because all
    zones would otherwise act on the same imbalance.
    """
    share_use = _share_use(facts, model_counts)
    if not share_use:
        return []
    most = max(share_use, key=lambda name: (share_use[name], name))
    fewest = min(share_use, key=lambda name: (share_use[name], name))
    model = facts.profile.model(fewest)
    if model is None or share_use[most] - share_use[fewest] <= _ahead_limit(facts):
        return []
    group_count = sum(1 for group, _ in facts.groups if group.model == most)
    others = [
        (models.get(most, 0), zone) for zone, models in facts.other_zone_groups.items()
    ]
    if any((count, zone) > (group_count, facts.zone) for count, zone in others):
        return []
    members = {server.server_id: server for server in facts.members}
    for group, domain in facts.groups:
        if group.model != most:
            continue
        candidates = [members[name] for name in group.members if name in members]
        candidates += [server for server in free if server.domain == domain]
        if len(_servers_without_load(candidates, model)) >= model.size:
            return [group]
    return []


def _next_group(
    facts: ZoneFacts,
    free: list[ServerFacts],
    model_counts: Counter[str],
    domain_counts: Counter[tuple[str, str]],
) -> tuple[GroupPlan, str] | None:
    """Return the next group to form and its domain."""
    share_use = _share_use(facts, model_counts)
    models = sorted(
        facts.profile.models, key=lambda model: (share_use[model.name], -model.size)
    )
    domains = {server.domain for server in free} - facts.dissolving_domains
    for model in models:
        usable = free
        if facts.traffic_seen and _is_ahead(facts, share_use, model):
            usable = _surplus_servers(facts, free, share_use)
        options = [
            option
            for domain in domains
            if facts.traffic_seen
            or _is_next_in_domain(facts, model, domain, domain_counts)
            if (
                option := _best_group_in_domain(
                    facts, usable, domain, model, domain_counts
                )
            )
            is not None
        ]
        if options:
            rank, plan = min(options, key=lambda option: option[0])
            return plan, rank[-1]
    if facts.traffic_seen and not facts.dissolving_domains:
        return _group_across_domains(facts, free, share_use)
    return None


def _is_ahead(facts: ZoneFacts, share_use: dict[str, float], model: Model) -> bool:
    """Return whether the model is too far ahead of the one with the lowest share use.

    The limit is `MAX_GROUPS_AHEAD` groups. Weights differ a little between models, so
    it is rounded to groups.
    """
    limit = min(share_use.values(), default=0.0) + _ahead_limit(facts)
    return share_use[model.name] + model_weight(model) / 2 >= limit


def _surplus_servers(
    facts: ZoneFacts, free: list[ServerFacts], share_use: dict[str, float]
) -> list[ServerFacts]:
    """Return the servers that the model with the lowest use of its share cannot use."""
    lowest = min(facts.profile.models, key=lambda model: share_use[model.name])
    needed = {server.server_id for server in _servers_without_load(free, lowest)}
    return [server for server in free if server.server_id not in needed]


def _group_across_domains(
    facts: ZoneFacts, free: list[ServerFacts], share_use: dict[str, float]
) -> tuple[GroupPlan, str] | None:
    """Return a group across domains for a model that the zone does not serve.

    Such a group is slow, but better than none, and its servers would be idle.
    """
    served = {group.model for group, _ in facts.groups}
    for model in sorted(facts.profile.models, key=lambda model: share_use[model.name]):
        if model.name in served or _is_ahead(facts, share_use, model):
            continue
        servers = _servers_without_load(free, model)
        if len(servers) < model.size:
            continue
        members = servers[: model.size]
        names = tuple(server.server_id for server in members)
        return (
            GroupPlan(model.name, names, members[-1].join_s(model)),
            SEVERAL_DOMAINS,
        )
    return None


def _servers_without_load(
    free: Iterable[ServerFacts], model: Model
) -> list[ServerFacts]:
    """Return the servers that can join a group of the model without a load."""
    servers = [
        server
        for server in free
        if server.preparing is None
        and server.join_s(model) <= max(model.warmup_s, REJOIN_S)
    ]
    return sorted(servers, key=lambda server: (server.join_s(model), server.server_id))


def _is_next_in_domain(
    facts: ZoneFacts, model: Model, domain: str, domain_counts: Counter[tuple[str, str]]
) -> bool:
    """Return whether the model is next to get a group in a domain.

    Servers register one after the other. If the first ones were used for a small
    model, too few would be left for a large one, so models alternate, large first.
    """
    turn = min(
        facts.profile.models,
        key=lambda other: (
            domain_counts[domain, other.name] * model_weight(other),
            -other.size,
            other.name,
        ),
    )
    return turn.name == model.name


def _best_group_in_domain(
    facts: ZoneFacts,
    free: list[ServerFacts],
    domain: str,
    model: Model,
    domain_counts: Counter[tuple[str, str]],
) -> tuple[tuple[float, int, str], GroupPlan] | None:
    """Return the best group of the model in the domain with its rank, lowest first."""
    servers = sorted(
        (
            server
            for server in free
            if server.domain == domain and server.preparing is None
        ),
        key=lambda server: (server.join_s(model), server.server_id),
    )
    spare_count = 0
    if not facts.traffic_seen and domain_counts[domain, model.name]:
        spare_count = SPARES_PER_DOMAIN
    if len(servers) < model.size + spare_count:
        return None
    members = servers[: model.size]
    join_s = members[-1].join_s(model)
    if facts.traffic_seen and join_s > max(model.warmup_s, REJOIN_S):
        return None
    plan = GroupPlan(model.name, tuple(server.server_id for server in members), join_s)
    rank = (join_s, domain_counts[domain, model.name] - len(servers), domain)
    return rank, plan
