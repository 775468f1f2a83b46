"""Constants of the claims package."""

from typing import Final

# A request that cannot be claimed is refused within this time.
CLAIM_TIMEOUT_S: Final = 1.0
# A request with a key that is in use waits this long for the response of the first run.
# Then it is refused as in progress, because the node with the claim may have stopped.
CLAIM_WAIT_TIMEOUT_S: Final = 8.0
POLL_INITIAL_S: Final = 0.2
POLL_MAX_S: Final = 1.0
POLL_GROWTH: Final = 1.5

# The outcome of an unfinished claim older than this is reported as unknown.
UNFINISHED_AGE_S: Final = 60.0
RETENTION_S: Final = 24 * 3600.0
# One shard is swept in each period, so that no read covers all claims; all 256 shards
# take 4.3 h.
SWEEP_PERIOD_S: Final = 60.0
SWEEP_SHARDS: Final = 256
SWEEP_JITTER: Final = 0.2

# Larger responses are stored in the object store to keep rows small.
INLINE_BODY_BYTES: Final = 16 * 1024

KEY_MAX_CHARACTERS: Final = 255
RETRY_AFTER_S: Final = 2

SETTLE_RETRY_INITIAL_S: Final = 0.2
SETTLE_RETRY_MAX_S: Final = 5.0
DRAIN_TIMEOUT_S: Final = 30.0

# One write claims the key before the request is sent, one stores the response.
WRITES_PER_CLAIM: Final = 2
