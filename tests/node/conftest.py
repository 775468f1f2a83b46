"""Fixtures for tests of a node."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from gooseberryhall.fleet.statements import NO_STATEMENT, ServerStatements
from gooseberryhall.node.directory import (
    PlatformAdapter,
)
from gooseberryhall.node.node import Node
from tests.fleet.common import FakeEngines
from tests.gateway.common import HEADER_NAMES
from tests.node.common import (
    SETTINGS,
    FakeDirectory,
    FakeGossip,
    FakeLeases,
    StartedNode,
)


@pytest.fixture
async def started() -> AsyncIterator[StartedNode]:
    """Return a started node without peers."""
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
    node = Node(SETTINGS, adapter, incarnation=1)
    node.gossip = FakeGossip()  # type: ignore[assignment]
    node.start()
    await asyncio.sleep(0.01)
    yield StartedNode(node, directory, leases)
    await node.tasks.async_cancel()
