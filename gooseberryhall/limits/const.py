"""Constants of the limits package."""

from typing import Final

# Capacity of a team's token bucket in seconds of its rate; a team may send this much
# at once after a pause.
BURST_S: Final = 1.0

RETRY_WINDOW_S: Final = 10.0
RETRY_RATIO: Final = 0.1
MIN_RETRIES: Final = 3

DEFAULT_QUEUE_LIMIT: Final = 256
DEFAULT_QUEUE_WAIT_LIMIT_S: Final = 10.0

# The wait cannot be estimated without an open group. Requests are queued during short
# gaps in the evidence; after a longer one the caller has to retry.
NO_GROUP_WAIT_S: Final = 2.0

SERVICE_TIME_EWMA_WEIGHT: Final = 0.05
SERVICE_RETRY_AFTER_S: Final = 0.5
MIN_RETRY_AFTER_S: Final = 0.1
