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
# Part of the queue of a server that is counted as places. Nodes that use all of it
# together, with figures that are late, overfill it.
QUEUE_SHARE: Final = 0.5
# Weight of a candidate that accepts a request, but has no place after all penalties.
MIN_PLACES: Final = 0.1
