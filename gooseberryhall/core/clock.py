"""Clock readings.

Durations use CLOCK_BOOTTIME, which also counts while a VM is suspended. A lease
holder or an entry process that was suspended therefore sees that time has passed.
"""

import time


def now_s() -> float:
    """Return seconds on a clock that never steps and counts suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time_s() -> float:
    """Return seconds since the epoch, for display only."""
    return time.time()
