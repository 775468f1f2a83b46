"""Tests of the prober."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from gooseberryhall.core.context import ProgramContext
from gooseberryhall.exceptions import UnavailableError
from gooseberryhall.membership.assignment import ProbeTarget
from gooseberryhall.membership.models import Evidence, MemberHealth
from gooseberryhall.membership.prober import Prober

VM = "vm-1"
RESULT_LIMIT_S = 5.0
HEALTH = cast("MemberHealth", SimpleNamespace(vm=VM))


class Member:
    """A member with planned responses to the first probes; later probes succeed."""

    def __init__(self, *responses: bool) -> None:
        """Create a member that fails the first probes where `responses` is false."""
        self._responses = list(responses)

    async def async_read(self, _address: str) -> tuple[MemberHealth, int]:
        """Respond to a probe."""
        if self._responses and not self._responses.pop(0):
            raise UnavailableError("no answer")
        return HEALTH, 1


async def async_first_result(member: Member) -> Evidence:
    """Return the first evidence that a prober reports about a member."""
    results: asyncio.Queue[Evidence] = asyncio.Queue()
    tasks: list[asyncio.Task[Any]] = []

    def create_task(coro: Any, _name: str) -> asyncio.Task[Any]:
        tasks.append(asyncio.create_task(coro))
        return tasks[-1]

    ctx = cast("ProgramContext", SimpleNamespace(async_create_task=create_task))
    prober = Prober(ctx, member.async_read, results.put_nowait)
    prober.async_set_targets({VM: ProbeTarget(VM, "http://127.0.0.1:1")})
    try:
        async with asyncio.timeout(RESULT_LIMIT_S):
            return await results.get()
    finally:
        prober.async_set_targets({})
        await asyncio.gather(*tasks, return_exceptions=True)


@pytest.mark.parametrize(
    ("responses", "is_up"), [((False, True), True), ((False, False), False)]
)
async def test_only_two_consecutive_failed_probes_are_a_failure(
    responses: tuple[bool, ...], is_up: bool
) -> None:
    """A single late response on a busy host must not close a group."""
    evidence = await async_first_result(Member(*responses))
    assert (evidence.health is not None) is is_up
