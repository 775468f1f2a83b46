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
    CLAIM_SETTLE_RETRY = "GH1551"
    CLAIMS_REMOVED = "GH1552"
    CONFIG_IN_FORCE = "GH1102"
    PEER_UP = "GH1201"
    PEER_DOWN = "GH1202"
    MEMBER_UP = "GH1203"
    MEMBER_DOWN = "GH1204"
    MEMBER_RESTARTED = "GH1205"
    VM_LIST_FAILED = "GH1206"
    MEMBER_WITHDRAWN = "GH1207"
    LINK_OPENED = "GH1601"
    LINK_CLOSED = "GH1602"
    LINK_REFUSED = "GH1603"
    FRAME_REFUSED = "GH1604"
    LINK_HANDLER_FAILED = "GH1605"
    LINK_CONNECT_FAILED = "GH1606"
    MESSAGE_NOT_SENT = "GH1607"
