"""Fixtures of the administration tests."""

from collections.abc import AsyncIterator

import pytest

from tests.fakes import FakeTable

from .harness import Admin, running_admin


@pytest.fixture
async def admin() -> AsyncIterator[Admin]:
    """Return a running administration program with an empty table."""
    async with running_admin(FakeTable()) as running:
        yield running
