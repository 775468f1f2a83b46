"""Fixtures of the request tests, which share one cluster."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import pytest_asyncio

from .common import RunningSystem, async_end_faults, async_start


@pytest_asyncio.fixture(scope="package", loop_scope="package")
async def shared_system() -> AsyncIterator[RunningSystem]:
    """Return a cluster that runs until the last test of this folder."""
    async with AsyncExitStack() as stack:
        yield await async_start(stack)


@pytest_asyncio.fixture(loop_scope="package")
async def system(shared_system: RunningSystem) -> AsyncIterator[RunningSystem]:
    """Return the cluster without faults and end the faults of the test afterwards."""
    yield shared_system
    await async_end_faults(shared_system)
