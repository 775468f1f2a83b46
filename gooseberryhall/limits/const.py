"""Constants of the limits concern."""

from typing import Final

# A team may send this many seconds of its rate at once after a pause.
BURST_S: Final = 1.0

RETRY_WINDOW_S: Final = 10.0
RETRY_SHARE: Final = 0.1
RETRY_MINIMUM: Final = 3

DEFAULT_QUEUE_LIMIT: Final = 256
DEFAULT_QUEUE_WAIT_LIMIT_S: Final = 10.0

# Without an open group the wait cannot be estimated; short gaps in the evidence are
# bridged, anything longer is the caller's to retry.
NO_GROUP_WAIT_S: Final = 2.0

SERVICE_TIME_WEIGHT: Final = 0.05
SERVICE_RETRY_AFTER_S: Final = 0.5
MIN_RETRY_AFTER_S: Final = 0.1
