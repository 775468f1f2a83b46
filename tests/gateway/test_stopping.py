"""Tests of the requests that a stopping node takes."""

import asyncio

import pytest

from gooseberryhall.gateway.stopping import Stopping, StopSchedule

SCHEDULE = StopSchedule(balanced_s=102.3, ends_s=107.4, closes_s=107.9)


@pytest.mark.parametrize(
    ("received_s", "deadline_s", "accepted"),
    [
        pytest.param(100.1, 108.1, True, id="callers cannot reach another node yet"),
        pytest.param(102.4, 107.4, True, id="ends in time"),
        pytest.param(102.4, 107.5, False, id="may be cut"),
        pytest.param(107.0, 108.5, False, id="late"),
    ],
)
def test_late_request_that_may_be_cut_is_not_accepted(
    received_s: float, deadline_s: float, accepted: bool
) -> None:
    """Guards against requests that are taken late and cut at the end of the grace."""
    assert SCHEDULE.accepts(received_s, deadline_s) is accepted


@pytest.mark.parametrize("begun", [False, True])
async def test_stop_limits_requests_in_progress_and_to_come(begun: bool) -> None:
    """Guards against a request that began before the stop and outlives it.

    One whose response has begun has nothing to wait for but its end.
    """
    stopping = Stopping()
    loop = asyncio.get_running_loop()

    async def async_request() -> float:
        with pytest.raises(TimeoutError):
            async with stopping.async_limit(lambda: begun):
                await asyncio.sleep(5)
        return loop.time()

    before = asyncio.create_task(async_request())
    await asyncio.sleep(0)
    now_s = loop.time()
    schedule = StopSchedule(now_s, ends_s=now_s + 0.1, closes_s=now_s + 0.4)
    stopping.begin(schedule)
    after = asyncio.create_task(async_request())
    ended_s = await asyncio.gather(before, after)
    limit_s = schedule.closes_s if begun else schedule.ends_s
    assert all(limit_s <= time_s < limit_s + 0.25 for time_s in ended_s)
