"""Constants of the config concern."""

from typing import Final

HEAD_KEY: Final = "config/head"
OBJECT_PREFIX: Final = "config/object/"
CHANGE_PREFIX: Final = "config/change/"
# Zero padding makes the order of keys the order of revisions.
REVISION_DIGITS: Final = 12

POLL_PERIOD_S: Final = 2.0
POLL_JITTER: Final = 0.25

# Changes are read one row each; past this gap one read of all objects is cheaper.
MAX_CHANGES_READ: Final = 64
# 25 days of changes at the target of 4,000 a day.
KEPT_CHANGES: Final = 100_000

# Links take frames of 256 KiB; JSON of an edit is never smaller than its CBOR.
MAX_EDIT_BYTES: Final = 192 * 1024
MAX_OPERATIONS: Final = 2_000
# One object of at most the size of an edit still fits into a frame.
MESSAGE_BYTES: Final = 64 * 1024

# Changes kept in memory to close the gaps of peers that were away for a while.
RECENT_CHANGES_BYTES: Final = 512 * 1024
# Heartbeats repeat a newer revision while the answer to a request is on its way.
ASK_PAUSE_S: Final = 1.0

RESERVED_LABEL_PREFIX: Final = "gooseberryhall.io/"
DRAIN_LABEL: Final = "gooseberryhall.io/drain"
DRAIN_VALUE: Final = "true"
POLICY_NAME: Final = "default"
