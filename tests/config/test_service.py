"""Tests of polling the table for the configuration."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack

import aiohttp
import pytest

from gooseberryhall.config.const import POLL_PERIOD_S
from gooseberryhall.config.effects import ConfigApplied
from gooseberryhall.config.events import ConfigChangesReceived
from gooseberryhall.config.models import Team
from gooseberryhall.config.operations import PutObject
from gooseberryhall.config.service import async_setup
from gooseberryhall.config.store import Edit, async_edit, async_load_changes
from gooseberryhall.core.context import ProgramContext
from tests.admin.harness import create_context
from tests.fakes import FakeTable

# An accepted edit is in force everywhere within 8 s.
IN_FORCE_LIMIT_S = 8.0


@pytest.fixture
async def ctx() -> AsyncIterator[ProgramContext]:
    """Return a context with a running timer."""
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        context: ProgramContext = create_context(session, stack)
        context.runtime.register(ConfigApplied, lambda effect: None)
        stack.push_async_callback(context.async_cancel_tasks)
        context.async_create_task(context.timer.async_run(), "timer")
        yield context


async def _async_accept_edit(table: FakeTable, revision: int) -> None:
    team = PutObject(object=Team(name=f"t{revision}"))
    await async_edit(table, Edit(revision - 1, (team,), "x"))


async def _async_wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(IN_FORCE_LIMIT_S):
        while not condition():  # noqa: ASYNC110 - conditions have no events
            await asyncio.sleep(0.01)


async def test_edit_in_the_table_is_applied_without_a_link(
    ctx: ProgramContext,
) -> None:
    """While links are down, polling alone must apply an edit within 8 s (P8)."""
    table = FakeTable()
    await async_setup(ctx, table=table)
    await _async_wait_until(lambda: table.reads > 0)
    await _async_accept_edit(table, 1)
    await _async_wait_until(lambda: ctx.runtime.state.config.revision == 1)


async def test_outage_keeps_the_configuration_and_polling_resumes(
    ctx: ProgramContext,
) -> None:
    """A table outage must neither revert the configuration nor stop the polling."""
    table = FakeTable()
    await _async_accept_edit(table, 1)
    await async_setup(ctx, table=table)
    await _async_wait_until(lambda: ctx.runtime.state.config.revision == 1)
    table.down = True
    await _async_accept_edit_elsewhere(table, 2)
    refused = table.refused
    await _async_wait_until(lambda: table.refused > refused)
    assert ctx.runtime.state.config.revision == 1
    table.down = False
    await _async_wait_until(lambda: ctx.runtime.state.config.revision == 2)


async def _async_accept_edit_elsewhere(table: FakeTable, revision: int) -> None:
    """Accept an edit through another node, which still reaches the table."""
    table.down = False
    await _async_accept_edit(table, revision)
    table.down = True


async def test_gap_is_requested_from_peers_and_the_table_at_once(
    ctx: ProgramContext,
) -> None:
    """Waiting for the next poll would add 2 s after every lost message."""
    table = FakeTable()
    requested: list[int] = []
    await async_setup(ctx, table=table, request_from_peer=requested.append)
    await _async_wait_until(lambda: table.reads > 0)
    for revision in (1, 2):
        await _async_accept_edit(table, revision)
    changes = await async_load_changes(table, 1)
    async with asyncio.timeout(POLL_PERIOD_S / 2):
        ctx.runtime.async_dispatch(ConfigChangesReceived(changes))
        assert requested == [0]
        await _async_wait_until(lambda: ctx.runtime.state.config.revision == 2)
