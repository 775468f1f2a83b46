"""Planning of the models that free servers and hosts load in advance.

Pure functions over the facts of one zone.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from .models import EngineProfile, Model
from .plans import ServerFacts, SparePlan, ZoneFacts, model_weight


def plan_spares(
    facts: ZoneFacts,
    free: Iterable[ServerFacts],
    domain_counts: Counter[tuple[str, str]],
    share_use: dict[str, float],
) -> list[SparePlan]:
    """Assign free servers without weights the models that their domains lack most.

    The most useful loads have priority. Only as many start as the weight store serves
    without delay, so that later ones are chosen by what is lacking at that time.
    """
    servers = list(free)
    plans: list[SparePlan] = []
    slots = len(servers)
    if facts.traffic_seen and facts.load_slots is not None:
        slots = facts.load_slots
    loaded_counts: Counter[tuple[str, str]] = Counter()
    for server in servers:
        loaded = server.preparing or server.last_model
        if loaded is not None:
            loaded_counts[server.domain, loaded] += 1
    candidates = [
        server
        for server in servers
        if server.preparing is None
        and server.last_model is None
        and (facts.traffic_seen or _has_all_models(facts, server, domain_counts))
    ]
    while candidates:
        ranked = [
            (
                _rank_load(server, model, loaded_counts, domain_counts, share_use),
                server,
                model,
            )
            for server in candidates
            for model in facts.profile.models
            if slots > 0 or model.name in server.staged
        ]
        if not ranked:
            break
        _, server, model = min(
            ranked, key=lambda item: (item[0], item[1].server_id, item[2].name)
        )
        candidates.remove(server)
        slots -= model.name not in server.staged
        loaded_counts[server.domain, model.name] += 1
        plans.append(SparePlan(server.server_id, model.name))
    return plans


def _has_all_models(
    facts: ZoneFacts, server: ServerFacts, domain_counts: Counter[tuple[str, str]]
) -> bool:
    """Return whether the server's domain has a group of each model."""
    return all(
        domain_counts[server.domain, model.name] for model in facts.profile.models
    )


def _rank_load(
    server: ServerFacts,
    model: Model,
    loaded_counts: Counter[tuple[str, str]],
    domain_counts: Counter[tuple[str, str]],
    share_use: Mapping[str, float],
) -> tuple[bool, bool, int, int]:
    """Return the rank of a load; the most useful load has the lowest rank."""
    ready = loaded_counts[server.domain, model.name]
    missing = model.size - ready % model.size
    # The servers of a group that lost a member wait for just one more server.
    spares = ready - domain_counts[server.domain, model.name]
    completes = spares > 0 and missing == 1
    staged = model.name in server.staged
    ahead = share_use[model.name] - min(share_use.values()) > model_weight(model)
    return (ahead, not completes, spares - staged, missing)


def plan_staging(
    profile: EngineProfile, servers: Iterable[ServerFacts]
) -> list[SparePlan]:
    """Return the models to stage on the hosts of servers that have a model loaded.

    A server rejoins a group of its last model at once. With another model staged on its
    host it can also join groups of that model after a short warm-up, so that servers
    left over by one model are not stranded.
    """
    plans = []
    for server in servers:
        if server.last_model is None or server.staged - {server.last_model}:
            continue
        others = [model for model in profile.models if model.name != server.last_model]
        if others:
            largest = max(others, key=lambda model: (model.size, model.name))
            plans.append(SparePlan(server.server_id, largest.name))
    return plans
