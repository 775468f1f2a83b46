"""Fixtures for tests of a node."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from gooseberryhall.fleet.statements import NO_STATEMENT, ServerStatements
from gooseberryhall.node.directory import (
    PlatformAdapter,
)
from gooseberryhall.node.node import Node
from gooseberryhall.node.settings import NodeSettings
from tests.fleet.common import FakeEngines
from tests.gateway.common import HEADER_NAMES
from tests.node.common import (
    SETTINGS,
    FakeDirectory,
    FakeGossip,
    FakeLeases,
    StartedNode,
)


@asynccontextmanager
async def _async_start(settings: NodeSettings) -> AsyncIterator[StartedNode]:
    directory = FakeDirectory()
    leases = FakeLeases()
    adapter = PlatformAdapter(
        HEADER_NAMES,
        directory,
        leases,
        FakeEngines(),
        ServerStatements(),
        lambda _: NO_STATEMENT,
    )
    node = Node(settings, adapter, incarnation=1)
    node.gossip = FakeGossip()  # type: ignore[assignment]
    node.start()
    await asyncio.sleep(0.01)
    yield StartedNode(node, directory, leases)
    await node.tasks.async_cancel()


@pytest.fixture
async def started() -> AsyncIterator[StartedNode]:
    """Return a started node without peers."""
    async with _async_start(SETTINGS) as started:
        yield started


@pytest.fixture
async def with_evacuations() -> AsyncIterator[StartedNode]:
    """Return a started node of a deployment whose zones can be evacuated."""
    settings = replace(SETTINGS, zones=("y", "z"), evacuation_limit_s=0.4)
    async with _async_start(settings) as started:
        yield started
