"""Constants of the admission package."""

from typing import Final

# Mean age of the load that other nodes report; it is 0.15 to 0.45 s.
FIGURES_AGE_S: Final = 0.3
# Requests that a group queues beyond its slots at most; it rejects any further one.
MAX_QUEUED_PER_GROUP: Final = 4
# A request joins a pass of the engine half a pass after its arrival on average, and its
# first event comes at the end of the next one.
PASSES_TO_FIRST_EVENT: Final = 1.5
# Weight of a new sample in the moving averages of observed times.
SAMPLE_WEIGHT: Final = 0.1
# The same for samples below and above a value near the lowest tenth.
LOW_FALL_WEIGHT: Final = 0.18
LOW_RISE_WEIGHT: Final = 0.02
# Part of the queue of a server that is counted as places. Nodes that use all of it
# together, with figures that are late, overfill it.
QUEUE_SHARE: Final = 0.5
# Weight of a candidate that accepts a request, but has no place after all penalties.
MIN_PLACES: Final = 0.1

# Nodes share the places if less than this many free slots are seen for each node. A
# slot that looks free to all of them is mostly taken.
SCARCE_SLOTS_PER_NODE: Final = 0.25
# Places that a node may save, as requests do not come evenly.
MIN_SAVED_PLACES: Final = 1.0
# Waiting requests of a node, and the bytes of their bodies.
MAX_WAITING_REQUESTS: Final = 256
MAX_WAITING_BYTES: Final = 1_000_000
# Share of the objective for which a request waits for a slot.
WAIT_SHARE: Final = 0.125
# Share of its remaining time for which a request that cannot be in time waits.
LATE_WAIT_SHARE: Final = 0.25
# A request whose expected wait is this many times as long as it may wait is refused at
# once; the estimate is rough.
MAX_WAIT_FACTOR: Final = 2.0
# Work of a request that does not declare its tokens.
DEFAULT_WORK_TOKENS: Final = 500.0
# Waiting requests that are tried when a slot may have become free. The first one may
# have too little time for a queue that another one can use.
MAX_TRIES: Final = 4
MIN_RETRY_AFTER_S: Final = 0.05
# Callers honour `Retry-After` up to this share of their remaining time.
RETRY_AFTER_SHARE: Final = 1 / 3
RATE_WINDOW_S: Final = 1.0
# Time for which requests must have waited until the rate of service is that of the
# servers.
MIN_STEADY_S: Final = 0.3
# A server that rejected a request counts as full for the age of the figures, unless one
# of its requests ends.
FULL_S: Final = FIGURES_AGE_S
