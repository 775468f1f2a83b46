"""Facts for the tests of planning."""

from collections.abc import Mapping, Sequence

from gooseberryhall.fleet.models import EngineProfile, Group, Model
from gooseberryhall.fleet.plans import FreeServer, ZoneFacts

LARGE = Model("large", 4, 1.0, 0.57, 16.0, 1.6)
SMALL = Model("small", 3, 0.6, 0.43, 12.0, 1.1)
PROFILE = EngineProfile(13, (LARGE, SMALL), 0.3, 6)
NOTHING: frozenset[str] = frozenset()


def free_server(
    name: str, domain: str = "d", last: str | None = None, staged: str | None = None
) -> FreeServer:
    """Return a free server with the model of its last group and one on its host."""
    on_host = frozenset({staged}) if staged else NOTHING
    return FreeServer(name, domain, last, on_host)


def zone_facts(
    free: Sequence[FreeServer],
    *,
    groups: Sequence[tuple[Group, str]] = (),
    traffic: bool = True,
    elsewhere: Mapping[str, Mapping[str, int]] | None = None,
    members: Sequence[FreeServer] = (),
    load_slots: int | None = None,
) -> ZoneFacts:
    """Return the facts of zone z."""
    return ZoneFacts(
        "z",
        PROFILE,
        free,
        groups,
        elsewhere or {},
        traffic,
        members,
        load_slots=load_slots,
    )
