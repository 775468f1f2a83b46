"""Chooses the server of a plain service."""

from collections.abc import Collection, Mapping

from ..config.models import PlainService, ServiceServer
from .state import RoutingState

# A server that failed is chosen only after all others for this time.
SERVER_COOLDOWN_S = 5.0


def choose_server(
    service: PlainService,
    *,
    zone: str,
    in_flight: Mapping[str, int],
    in_cooldown: Collection[str],
    tried: Collection[str],
) -> ServiceServer | None:
    """Return the best server with a free slot that was not tried, or None.

    Servers in cooldown come last, then servers of this zone come first, then those with
    the fewest requests in flight.
    """
    candidates = [
        server
        for server in service.servers
        if server.name not in tried
        and in_flight.get(server.name, 0) < service.max_in_flight_per_server
    ]
    return min(
        candidates,
        key=lambda server: (
            server.name in in_cooldown,
            server.zone != zone,
            in_flight.get(server.name, 0),
            server.name,
        ),
        default=None,
    )


def start_server_cooldown(
    state: RoutingState, service: str, server: str, now_s: float
) -> None:
    """Start the cooldown of a server that failed."""
    state.server_cooldowns[(service, server)] = now_s + SERVER_COOLDOWN_S


def servers_in_cooldown(state: RoutingState, service: str, now_s: float) -> set[str]:
    """Return the servers of a service that are in cooldown."""
    expired = [
        key for key, until_s in state.server_cooldowns.items() if until_s <= now_s
    ]
    for key in expired:
        del state.server_cooldowns[key]
    return {server for name, server in state.server_cooldowns if name == service}
