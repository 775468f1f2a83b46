"""Decides which models free servers and hosts load.

Pure functions over the facts of one zone.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from .models import EngineProfile, Model
from .plans import FreeServer, SparePlan, ZoneFacts, model_weight


def plan_spares(
    facts: ZoneFacts,
    free: Iterable[FreeServer],
    placed: Counter[tuple[str, str]],
    fill: dict[str, float],
) -> list[SparePlan]:
    """Give free servers without weights the models that their domains lack most.

    The loads of most use go first, and only as many start as the weight store serves
    without delay, so that later ones follow what is lacking then.
    """
    servers = list(free)
    plans: list[SparePlan] = []
    slots = len(servers)
    if facts.traffic_seen and facts.load_slots is not None:
        slots = facts.load_slots
    prepared: Counter[tuple[str, str]] = Counter()
    for server in servers:
        loaded = server.preparing or server.last_model
        if loaded is not None:
            prepared[server.domain, loaded] += 1
    waiting = [
        server
        for server in servers
        if server.preparing is None
        and server.last_model is None
        and (facts.traffic_seen or _has_all_models(facts, server, placed))
    ]
    while waiting:
        ranked = [
            (_rank_load(server, model, prepared, placed, fill), server, model)
            for server in waiting
            for model in facts.profile.models
            if slots > 0 or model.name in server.staged
        ]
        if not ranked:
            break
        _, server, model = min(
            ranked, key=lambda item: (item[0], item[1].server_id, item[2].name)
        )
        waiting.remove(server)
        slots -= model.name not in server.staged
        prepared[server.domain, model.name] += 1
        plans.append(SparePlan(server.server_id, model.name))
    return plans


def _has_all_models(
    facts: ZoneFacts, server: FreeServer, placed: Counter[tuple[str, str]]
) -> bool:
    """Return whether the server's domain has a group of each model."""
    return all(placed[server.domain, model.name] for model in facts.profile.models)


def _rank_load(
    server: FreeServer,
    model: Model,
    prepared: Counter[tuple[str, str]],
    placed: Counter[tuple[str, str]],
    fill: Mapping[str, float],
) -> tuple[bool, bool, int, int]:
    """Return how little use a load is: the lowest rank goes first."""
    ready = prepared[server.domain, model.name]
    missing = model.size - ready % model.size
    # Servers of a group that lost a member wait for just this one.
    spares = ready - placed[server.domain, model.name]
    completes = spares > 0 and missing == 1
    staged = model.name in server.staged
    ahead = fill[model.name] - min(fill.values()) > model_weight(model)
    return (ahead, not completes, spares - staged, missing)


def plan_staging(
    profile: EngineProfile, servers: Iterable[FreeServer]
) -> list[SparePlan]:
    """Return the models to put on the hosts of servers that have a model loaded.

    A server rejoins a group of its last model at once. With another model on its
    host it can also join that model's groups after a short warm-up, so that servers
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
