"""Exchange of traffic figures between nodes."""

from collections.abc import Iterable

from ..gateway.backends import Backends
from ..gossip.const import MAX_PROGRESS_AGE_S, MS_PER_S
from ..gossip.messages import ServerTraffic
from ..gossip.models import PeerTraffic, ReceivedAnnouncement


def total_traffic(backends: Backends, server_id: str, now_s: float) -> ServerTraffic:
    """Return the traffic from all nodes to a server."""
    return _describe(backends.load(server_id), backends.progress_s(server_id), now_s)


def local_traffic(backends: Backends, now_s: float) -> dict[str, ServerTraffic]:
    """Return the traffic of this node, by server."""
    return {
        server_id: _describe(count, backends.local_progress_s(server_id), now_s)
        for server_id, count in backends.local_load().items()
    }


def remote_traffic(
    received: ReceivedAnnouncement, reported: dict[str, ServerTraffic]
) -> dict[str, PeerTraffic]:
    """Return the traffic in an announcement without the share of this node.

    `reported` is the traffic that this node sent to the owner.
    """
    found = {}
    for server_id, item in received.announcement.traffic.items():
        remote = PeerTraffic()
        remote.add(item, received.received_s)
        local = reported.get(server_id)
        remote.in_flight -= local.in_flight if local else 0
        found[server_id] = remote
    return found


def apply_peer_traffic(backends: Backends, traffic: dict[str, PeerTraffic]) -> None:
    """Pass the traffic of other nodes to placement and stall checks."""
    if traffic:
        backends.traffic_known = True
    backends.peer_load = {
        server_id: max(0, item.in_flight) for server_id, item in traffic.items()
    }
    backends.peer_progress_s = {
        server_id: item.progress_s for server_id, item in traffic.items()
    }


def replace_peer_traffic(
    backends: Backends, server_ids: Iterable[str], traffic: dict[str, PeerTraffic]
) -> None:
    """Replace the traffic of other nodes to some servers."""
    if traffic:
        backends.traffic_known = True
    for server_id in server_ids:
        backends.peer_load.pop(server_id, None)
        backends.peer_progress_s.pop(server_id, None)
    for server_id, item in traffic.items():
        backends.peer_load[server_id] = max(0, item.in_flight)
        backends.peer_progress_s[server_id] = item.progress_s


def _describe(in_flight: int, progress_s: float, now_s: float) -> ServerTraffic:
    age_s = now_s - progress_s
    if progress_s == 0.0 or age_s > MAX_PROGRESS_AGE_S:
        return ServerTraffic(in_flight)
    return ServerTraffic(in_flight, int(age_s * MS_PER_S))
