"""One cluster for all tests of the request promises."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import pytest_asyncio

from .common import RunningSystem, async_heal, async_start


@pytest_asyncio.fixture(scope="package", loop_scope="package")
async def shared_bed() -> AsyncIterator[RunningSystem]:
    """Return a cluster that runs until the last test of this folder."""
    async with AsyncExitStack() as stack:
        yield await async_start(stack)


@pytest_asyncio.fixture(loop_scope="package")
async def bed(shared_bed: RunningSystem) -> AsyncIterator[RunningSystem]:
    """Return the cluster, whole, and end the test's faults afterwards."""
    yield shared_bed
    await async_heal(shared_bed)
