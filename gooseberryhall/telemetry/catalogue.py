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
    CONFIG_POLL_FAILED = "GH1103"
    EDIT_ACCEPTED = "GH1701"
    ADMIN_REQUEST_FAILED = "GH1702"
    ADMIN_LINK_OPEN = "GH1703"
    ADMIN_LINK_CLOSED = "GH1704"
