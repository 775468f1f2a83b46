"""Clusters that are configured for measurements."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from ..cluster import Cluster
from ..demo import (
    async_apply,
    async_serving_groups,
    async_wait_serving,
    declared_objects,
)
from ..layout import ClusterOptions

SERVE_LIMIT_S = 60.0
# High enough that no configured limit affects a measurement.
NO_LIMIT = 100_000


@dataclass(frozen=True, slots=True)
class Leader:
    """The leader of a group, which takes its requests, and headers with its group."""

    zone: str
    address: str
    headers: dict[str, str]


def unlimited_objects(
    cluster: Cluster, groups: int, members: int
) -> list[dict[str, Any]]:
    """Return the configuration of the demonstration, resized and without limits."""
    changes = {
        "team": {"requests_per_s": NO_LIMIT, "max_in_flight": NO_LIMIT},
        "group-spec": {
            "members": members,
            "min_groups": groups,
            "max_groups": groups,
            "max_requests_per_group": NO_LIMIT,
        },
    }
    return [
        {**item, **changes.get(item["kind"], {})} for item in declared_objects(cluster)
    ]


@asynccontextmanager
async def serving_cluster(
    options: ClusterOptions, groups: int, members: int
) -> AsyncIterator[Cluster]:
    """Run a cluster whose groups all serve."""
    async with Cluster(options) as cluster:
        await async_apply(cluster, unlimited_objects(cluster, groups, members))
        await async_wait_serving(cluster, groups, SERVE_LIMIT_S)
        await cluster.async_wait_accepting(SERVE_LIMIT_S)
        yield cluster


def single_node_options(vms: int, engine_options: Sequence[str]) -> ClusterOptions:
    """Return the options of a cluster with one entry VM."""
    return ClusterOptions(
        zones=("obihiro",),
        nodes_per_zone=1,
        domains_per_zone=1,
        vms_per_domain=vms,
        engine_options=tuple(engine_options),
    )


async def async_leaders(cluster: Cluster) -> list[Leader]:
    """Return the leaders of all serving groups."""
    zones = {vm.vm: vm.zone for vm in cluster.vms}
    leaders = []
    for members in (await async_serving_groups(cluster, cluster.nodes[0])).values():
        address = cluster.engine_address(members[0])
        _, health = await cluster.async_get(f"{address}/health")
        headers = {
            "X-Group": str(health["group"]),
            "X-Generation": str(health["generation"]),
        }
        leaders.append(Leader(zones[members[0]], address, headers))
    return leaders
