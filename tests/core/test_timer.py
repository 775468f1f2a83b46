"""Tests of the timer service."""

import asyncio
import contextlib

from gooseberryhall.core.timer import TimerService


async def test_failing_subscriber_does_not_stop_others() -> None:
    """A failing callback must not stop the lease renewal or probes of others."""
    timer = TimerService()
    called = asyncio.Event()

    def fail() -> None:
        raise ValueError

    timer.async_subscribe(0.001, fail)
    timer.async_subscribe(0.002, called.set)
    task = asyncio.create_task(timer.async_run())
    await asyncio.wait_for(called.wait(), 5)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
