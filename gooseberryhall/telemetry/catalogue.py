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
    GROUP_EJECTED = "GH1401"
    MEMBER_FAILED_REQUEST = "GH1501"
    REQUEST_SUSPECTED = "GH1502"
    REQUEST_FAILED = "GH1503"
    HANDLER_FAILED = "GH1504"
    DRAIN_STARTED = "GH1505"
    DRAIN_ENDED = "GH1506"
