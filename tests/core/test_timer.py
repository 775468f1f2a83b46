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


class FakeClock:
    """Clock that the test moves."""

    def __init__(self) -> None:
        """Create a clock at zero."""
        self.time_s = 0.0

    def __call__(self) -> float:
        """Return the current time."""
        return self.time_s


def test_subscribers_that_are_due_together_share_a_wake_up() -> None:
    """Guards against one wake-up for each subscriber, as their periods drift apart."""
    clock = FakeClock()
    timer = TimerService(clock)
    calls: list[str] = []
    timer.async_subscribe(0.05, lambda: calls.append("a"))
    clock.time_s = 0.004
    timer.async_subscribe(0.05, lambda: calls.append("b"))
    clock.time_s = 0.05
    timer._run_due()
    assert calls == ["a", "b"]
    clock.time_s = 0.09
    timer._run_due()
    assert calls == ["a", "b"]


def test_subscription_wakes_a_service_that_waits() -> None:
    """Guards against a subscriber that is first called when an earlier one is due."""

    async def async_first_call_s() -> float:
        loop = asyncio.get_running_loop()
        timer = TimerService()
        timer.async_subscribe(60, lambda: None)
        task = asyncio.create_task(timer.async_run())
        await asyncio.sleep(0.01)
        called = asyncio.Event()
        started_s = loop.time()
        timer.async_subscribe(0.01, called.set)
        await asyncio.wait_for(called.wait(), 5)
        task.cancel()
        return loop.time() - started_s

    assert asyncio.run(async_first_call_s()) < 5
