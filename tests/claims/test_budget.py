"""Tests of the write budget."""

import asyncio

import pytest

from gooseberryhall.claims.budget import WriteBudget


async def test_one_team_cannot_starve_another() -> None:
    """A burst of one team must not delay a single claim of another team."""
    budget = WriteBudget(lambda: 40.0)
    order: list[str] = []

    async def acquire(team: str) -> None:
        await budget.async_acquire(team, 1, 2, 8.0)
        order.append(team)

    async with asyncio.TaskGroup() as group:
        for _ in range(60):
            group.create_task(acquire("large"))
        await asyncio.sleep(0)
        group.create_task(acquire("small"))
    assert order.index("small") < 30


async def test_exhausted_budget_refuses_in_time() -> None:
    """An exhausted budget must refuse a claim instead of making the caller wait."""
    budget = WriteBudget(lambda: 1.0)
    await budget.async_acquire("a", 1, 1, 1.0)
    with pytest.raises(TimeoutError):
        await budget.async_acquire("a", 1, 1, 0.05)
