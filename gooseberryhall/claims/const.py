"""Constants of the claims concern."""

from typing import Final

# A caller whose request cannot be claimed is told so within this time.
CLAIM_LIMIT_S: Final = 1.0
# A caller that sends a key again waits this long for the answer of the first run; then
# it is told that the outcome is open. The node that claimed the key may be gone.
CLAIM_WAIT_LIMIT_S: Final = 8.0
POLL_FIRST_S: Final = 0.2
POLL_LONGEST_S: Final = 1.0
POLL_GROWTH: Final = 1.5

# An unfinished claim older than this is reported as having an unknown outcome.
UNFINISHED_AGE_S: Final = 60.0
RETENTION_S: Final = 24 * 3600.0
# All 256 shards are swept within 4.3 h, so that no single read covers all claims.
SWEEP_PERIOD_S: Final = 60.0
SWEEP_SHARDS: Final = 256
SWEEP_JITTER: Final = 0.2

# Larger answers go to the object store, so that rows stay small.
INLINE_BODY_BYTES: Final = 16 * 1024

KEY_MAX_CHARACTERS: Final = 255
RETRY_AFTER_S: Final = 2

SETTLE_RETRY_FIRST_S: Final = 0.2
SETTLE_RETRY_LONGEST_S: Final = 5.0
DRAIN_LIMIT_S: Final = 30.0

# Each claim needs one write before the request is sent and one for its answer.
WRITES_PER_CLAIM: Final = 2
