"""Fixture with a cluster of stand-ins but no programs of the package."""

from collections.abc import AsyncIterator

import pytest

from standins.cluster import Cluster
from standins.layout import ClusterOptions

SMALL = ClusterOptions(
    zones=("obihiro",),
    nodes_per_zone=1,
    domains_per_zone=1,
    vms_per_domain=3,
    vm_list_lag_s=0.3,
    weight_bytes=64 * 1024,
    engine_options=("--crash-marker", "--event-lag-s", "0", "--slots", "2"),
)


@pytest.fixture
async def cluster() -> AsyncIterator[Cluster]:
    """Run three engines, a plain service and the platform."""
    async with Cluster(SMALL, programs=()) as running:
        yield running
