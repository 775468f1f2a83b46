"""Constants of the config package."""

from typing import Final

HEAD_KEY: Final = "config/head"
OBJECT_PREFIX: Final = "config/object/"
CHANGE_PREFIX: Final = "config/change/"
# Zero padding sorts the keys in the order of revisions.
REVISION_DIGITS: Final = 12

POLL_PERIOD_S: Final = 2.0
POLL_JITTER: Final = 0.25

# Each change is read as a row; for more changes, reading all objects is cheaper.
MAX_CHANGES_READ: Final = 64
# Changes of 25 days at the target rate of 4,000 a day.
MAX_RETAINED_CHANGES: Final = 100_000

# Limit of the JSON of an edit. Links accept frames up to 256 KiB, and the CBOR of an
# edit is at most as large as its JSON.
MAX_EDIT_BYTES: Final = 192 * 1024
MAX_OPERATIONS: Final = 2_000
# Limit of a message with several items. A single item may be larger, up to the size of
# an edit, and still fits into a frame.
MAX_BATCH_BYTES: Final = 64 * 1024

# Changes kept in memory for peers that catch up after a short disconnection.
MAX_RECENT_CHANGES_BYTES: Final = 512 * 1024
# Minimum interval between requests over a link, since heartbeats repeat a newer
# revision until the response to a request arrives.
MIN_REQUEST_INTERVAL_S: Final = 1.0

RESERVED_LABEL_PREFIX: Final = "gooseberryhall.io/"
DRAIN_LABEL: Final = "gooseberryhall.io/drain"
DRAIN_VALUE: Final = "true"
POLICY_NAME: Final = "default"
