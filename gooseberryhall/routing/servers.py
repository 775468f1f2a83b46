"""Chooses the server of a plain service."""

from collections.abc import Collection, Mapping

from ..config.models import PlainService, ServiceServer
from .state import RoutingState

# A server that refused a connection is asked last for this time.
SERVER_PAUSE_S = 5.0


def choose_server(
    service: PlainService,
    *,
    zone: str,
    in_flight: Mapping[str, int],
    paused: Collection[str],
    tried: Collection[str],
) -> ServiceServer | None:
    """Return the best server with a free slot that was not tried, or None.

    Servers of the own zone go first, those that just failed go last.
    """
    free = [
        server
        for server in service.servers
        if server.name not in tried
        and in_flight.get(server.name, 0) < service.max_in_flight_per_server
    ]
    return min(
        free,
        key=lambda server: (
            server.name in paused,
            server.zone != zone,
            in_flight.get(server.name, 0),
            server.name,
        ),
        default=None,
    )


def pause_server(state: RoutingState, service: str, server: str, now_s: float) -> None:
    """Ask a server last for a while."""
    state.paused_servers[(service, server)] = now_s + SERVER_PAUSE_S


def paused_servers(state: RoutingState, service: str, now_s: float) -> set[str]:
    """Return the servers of a service that are asked last."""
    expired = [key for key, until_s in state.paused_servers.items() if until_s <= now_s]
    for key in expired:
        del state.paused_servers[key]
    return {server for name, server in state.paused_servers if name == service}
