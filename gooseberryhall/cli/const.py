"""Constants of the command line."""

from enum import IntEnum
from typing import Final

PROGRAM_NAME: Final = "gooseberryhall"
ENV_ADMIN: Final = "GOOSEBERRYHALL_ADMIN"
ENV_TOKEN: Final = "GOOSEBERRYHALL_TOKEN"  # noqa: S105 - variable name
COMPLETION_VARIABLE: Final = "_GOOSEBERRYHALL_COMPLETE"

CONNECT_TIMEOUT_S: Final = 2.0
CALL_TIMEOUT_S: Final = 15.0
TIMELINE_TIMEOUT_S: Final = 5.0
CLOCK_SAMPLES: Final = 3
EDIT_TOKEN_BYTES: Final = 12


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    SUCCESS = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
