"""Creates the request path and the zones of a node."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..core.clock import now_s as boot_time_s
from ..fleet.guard import GuardedEngines
from ..fleet.models import BackendServer
from ..fleet.zone import ZoneState
from ..gateway.backends import Backends, Stall
from ..gateway.budget import RetryBudget
from ..gateway.cold import ColdServers
from ..gateway.const import RETRY_SLACK_SHARE
from ..gateway.hedging import create_hedging
from ..gateway.metrics import GatewayMetrics
from ..gateway.relays import Relays
from ..gateway.server_index import ServerIndex
from ..gateway.state import GatewayState
from ..transport.pool import ConnectionPool
from .directory import PlatformAdapter
from .owner import RunInZone
from .reach import list_relays
from .table import count_groups

if TYPE_CHECKING:
    from .node import Node

# Parts of the connections to callers for which idle ones to servers, and to peers that
# pass requests on, are kept.
_IDLE_PARTS = 2
_RELAY_IDLE_PARTS = 4


def create_gateway(
    node: "Node",
    adapter: PlatformAdapter,
    metrics: GatewayMetrics,
    *,
    on_stall: Callable[[Stall], None],
    on_crash: Callable[[], None],
) -> GatewayState:
    """Return the state of the node's request path."""
    settings = node.settings
    hedging = settings.options.hedging
    id_header = adapter.header_names.request_id

    def find_index() -> ServerIndex:
        return node.table.index()

    return GatewayState(
        zone=settings.zone,
        header_names=adapter.header_names,
        pool=ConnectionPool(id_header, max_idle=node.max_connections // _IDLE_PARTS),
        statements=adapter.statements,
        decode_statement=adapter.decode_statement,
        on_leaving=lambda: node.gossip.send(urgent=True),
        backends=Backends(on_stall, traffic_known=False),
        memory=node.intake.held.responses,
        metrics=metrics,
        configuration=lambda: node.configuration.current,
        servers=lambda: node.table.servers,
        groups=lambda: node.table.groups,
        find_index=find_index,
        create_budget=lambda: _create_budget(node),
        on_crash=on_crash,
        evacuations=node.evacuations,
        relays=Relays(
            settings.zone,
            ConnectionPool(
                id_header, max_idle=node.max_connections // _RELAY_IDLE_PARTS
            ),
            lambda: list_relays(node.peers.peers.values()),
        ),
        node_count=lambda: 1 + len(node.peers.peers),
        hedging=create_hedging(hedging.max_share, hedging.quantile),
        cold=_create_cold_servers(node, adapter),
    )


def create_zone(
    node: "Node", adapter: PlatformAdapter, name: str, term: int, run: RunInZone
) -> ZoneState | None:
    """Return the state of a zone that the node owns; None without a configuration."""
    service = node.configuration.engine_service
    if service is None:
        return None
    loop = asyncio.get_running_loop()

    def is_paused(server: BackendServer) -> bool:
        return adapter.statements.pause_s(server, loop.time()) > 0

    zone = ZoneState(
        name=name,
        service=service.name,
        term=term,
        view=node.servers.view,
        engines=GuardedEngines(
            adapter.engines,
            lambda: zone.last_reconcile_s,
            is_paused,
            lambda: node.evacuations.is_active(name),
        ),
        profile=lambda: node.configuration.profile,
        other_zone_groups=lambda: count_groups(
            node.table.groups, {name, *node.evacuations.active_zones()}
        ),
        traffic_seen=lambda: node.gateway.traffic_seen,
        on_change=node.request_announcement,
        on_superseded=lambda: node.owner.verify_lease(name),
        create_task=run,
        zone_count=len(node.settings.zones),
        statements=adapter.statements,
        traffic_progress_s=node.gateway.backends.latest_progress_s,
        is_evacuated=lambda: node.evacuations.is_active(name),
        acquired_s=loop.time(),
    )
    return zone


def _create_budget(node: "Node") -> RetryBudget:
    nodes = 1 + len(node.peers.peers)
    settings = node.settings
    return RetryBudget(
        ratio=settings.retry_ratio,
        slack=settings.retry_slack * RETRY_SLACK_SHARE / nodes,
        window_s=settings.retry_window_s,
    )


def _create_cold_servers(node: "Node", adapter: PlatformAdapter) -> ColdServers:
    loop = asyncio.get_running_loop()

    def restored_s(zone: str) -> float | None:
        """Return when a zone was restored, on the clock that counts suspended time."""
        ended_s = node.evacuations.restored_s(zone)
        return None if ended_s is None else boot_time_s() - (loop.time() - ended_s)

    return ColdServers(
        node=node.settings.node,
        zone=node.settings.zone,
        limit=lambda service: node.cold_limits.by_service().get(service),
        stated=adapter.statements.stated_cold,
        traffic_seen=lambda: node.gateway.traffic_seen,
        restored_s=restored_s,
    )
