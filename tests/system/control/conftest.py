"""Fixtures of the cluster tests, which share one cluster and reset its faults."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
import pytest_asyncio

from standins.cluster import EDGES, Cluster
from standins.demo import async_apply

from .common import SERVE_LIMIT_S, SIZES, ZONES, System, configuration


@pytest_asyncio.fixture(scope="package", loop_scope="package")
async def running(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[System]:
    """Return a configured cluster; its logs remain in pytest's temporary directory."""
    directory = tmp_path_factory.mktemp("cluster")
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        Cluster(SIZES, proxied=EDGES, directory=directory) as cluster,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        await async_apply(cluster, configuration(cluster))
        yield System(cluster, session)


@pytest_asyncio.fixture(loop_scope="package")
async def system(running: System) -> System:
    """Return the cluster after ending the faults of earlier tests."""
    await _async_end_faults(running)
    await running.async_wait_settled()
    await running.async_wait_serving()
    await running.cluster.async_wait_accepting(SERVE_LIMIT_S)
    return running


async def _async_end_faults(system: System) -> None:
    cluster = system.cluster
    await asyncio.gather(*(proxy.async_restore() for proxy in system.proxies()))
    for name, process in cluster.processes.by_name.items():
        if process.is_paused:
            process.resume()
        if not process.is_running and name != "cli":
            process.start()
    for vm in cluster.vms:
        await cluster.async_wait_ready(vm.vm)
        # The engines of one zone refuse stale fencing tokens, the others do not.
        honours_fence = vm.zone == ZONES[0]
        await system.async_inject_engine_fault(
            vm.vm, leaving=False, slow_factor=1.0, honour_fence=honours_fence
        )
    for service in cluster.services:
        await cluster.async_control(
            service.address, down=False, hang=False, delay_ms=0.0, lose_answers=0
        )
    await system.async_inject_platform_fault(
        down=False,
        hang=False,
        delay_ms=0.0,
        lose_answers=0,
        objects_down=False,
        vms_down=False,
        vm_state={vm.vm: "live" for vm in cluster.vms},
    )
