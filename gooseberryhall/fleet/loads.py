"""Loads of weights under way, and how many more may start."""

from dataclasses import dataclass

from .const import SPARE_GROUP_PREFIX
from .models import BackendServer, EngineProfile, MemberState
from .zone import ZoneState


@dataclass(frozen=True, slots=True)
class LoadCount:
    """Servers that load weights now, in one zone and in all."""

    own: int
    total: int


def count_loads(zone: ZoneState) -> LoadCount:
    """Count the loads that this owner ordered or that entries tell of.

    The weight store serves all zones, so loads that owners of other zones ordered
    count too.
    """
    own = total = len(zone.staging)
    for server in zone.view.servers.values():
        if server.service != zone.service:
            continue
        model = zone.preparing.get(server.server_id) or prepared_model(server)
        if model is None or model in server.staged:
            continue
        total += 1
        own += server.zone == zone.name
    return LoadCount(own, total)


def free_load_slots(profile: EngineProfile, count: LoadCount, zones: int) -> int:
    """Return how many loads a zone may start now.

    More loads than the weight store serves at once make all of them slow. A zone may
    always use its share, and what the others leave.
    """
    share = -(-profile.loads_at_once // zones)
    return max(share - count.own, profile.loads_at_once - count.total, 0)


def prepared_model(server: BackendServer) -> str | None:
    """Return the model that a spare loads, also if an earlier owner ordered it."""
    membership = server.membership
    if membership is None or membership.state is not MemberState.JOINING:
        return None
    if not membership.group.startswith(SPARE_GROUP_PREFIX):
        return None
    return membership.group.removeprefix(SPARE_GROUP_PREFIX).rpartition("-")[0]
