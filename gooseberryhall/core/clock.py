"""Clocks.

Durations use CLOCK_BOOTTIME, which also advances while a VM is suspended. A lease
holder or an entry process therefore notices after a suspension that time has passed.
"""

import time


def now_s() -> float:
    """Return seconds of a monotonic clock that includes suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time_s() -> float:
    """Return seconds since the epoch; not for timeouts, since the clock may step."""
    return time.time()
