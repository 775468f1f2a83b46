"""The numbered log events.

Each concern lists its events here; docs/events.md holds the same numbers, which a test
checks.
"""

from enum import StrEnum


class LogEvent(StrEnum):
    """Number of each log event."""

    TIMER_CALLBACK_FAILED = "GH1001"
    PROGRAM_STARTED = "GH1002"
    PROGRAM_STOPPING = "GH1003"
    PROGRAM_STOPPED = "GH1004"
    TASK_FAILED = "GH1005"
    SETTINGS_REFUSED = "GH1101"
    CONFIG_IN_FORCE = "GH1102"
    LEASE_GAINED = "GH1301"
    LEASE_LOST = "GH1302"
    GROUP_FORMED = "GH1303"
    GROUP_SERVING = "GH1304"
    GROUP_DRAINED = "GH1305"
    GROUP_RELEASED = "GH1306"
    MEMBERS_FREED = "GH1307"
    ORDER_FAILED = "GH1308"
