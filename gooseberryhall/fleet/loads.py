"""Limit on concurrent loads of weights."""

from dataclasses import dataclass

from .const import SPARE_GROUP_PREFIX
from .models import BackendServer, EngineProfile, MemberState
from .zone import ZoneState


@dataclass(frozen=True, slots=True)
class LoadCount:
    """Number of loads in progress, in the owner's zone and in all zones."""

    in_zone: int
    total: int


def count_loads(zone: ZoneState) -> LoadCount:
    """Count the loads that this owner ordered or that server records show.

    All zones share the weight store, so loads ordered by owners of other zones count
    too.
    """
    in_zone = total = len(zone.staging)
    for server in zone.view.servers.values():
        if server.service != zone.service:
            continue
        model = zone.preparing.get(server.server_id) or spare_model(server)
        if model is None or model in server.staged:
            continue
        total += 1
        in_zone += server.zone == zone.name
    return LoadCount(in_zone, total)


def free_load_slots(profile: EngineProfile, count: LoadCount, zone_count: int) -> int:
    """Return how many loads a zone may start now.

    All loads slow down if there are more than the weight store serves at once. A zone
    may always use its own share, and also what the other zones leave unused.
    """
    share = -(-profile.loads_at_once // zone_count)
    return max(share - count.in_zone, profile.loads_at_once - count.total, 0)


def spare_model(server: BackendServer) -> str | None:
    """Return the model that a spare is loading, even if an earlier owner ordered it."""
    membership = server.membership
    if membership is None or membership.state is not MemberState.JOINING:
        return None
    if not membership.group.startswith(SPARE_GROUP_PREFIX):
        return None
    return membership.group.removeprefix(SPARE_GROUP_PREFIX).rpartition("-")[0]
