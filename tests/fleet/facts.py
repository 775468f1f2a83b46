"""Planner input for the tests of planning."""

from collections.abc import Mapping, Sequence

from gooseberryhall.fleet.models import EngineProfile, Group, Model
from gooseberryhall.fleet.plans import ServerFacts, ZoneFacts

LARGE = Model("large", 4, 1.0, 0.57, 16.0, 1.6)
SMALL = Model("small", 3, 0.6, 0.43, 12.0, 1.1)
PROFILE = EngineProfile(13, (LARGE, SMALL), 0.3, 6)
NO_MODELS: frozenset[str] = frozenset()


def free_server(
    name: str, domain: str = "d", last: str | None = None, staged: str | None = None
) -> ServerFacts:
    """Return a free server with the model of its last group and one on its host."""
    staged_models = frozenset({staged}) if staged else NO_MODELS
    return ServerFacts(name, domain, last, staged_models)


def zone_facts(
    free: Sequence[ServerFacts],
    *,
    groups: Sequence[tuple[Group, str]] = (),
    traffic: bool = True,
    other_zone_groups: Mapping[str, Mapping[str, int]] | None = None,
    members: Sequence[ServerFacts] = (),
    load_slots: int | None = None,
) -> ZoneFacts:
    """Return the facts of zone z."""
    return ZoneFacts(
        "z",
        PROFILE,
        free,
        groups,
        other_zone_groups or {},
        traffic,
        members,
        load_slots=load_slots,
    )
