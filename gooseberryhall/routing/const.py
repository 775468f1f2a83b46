"""Constants of the routing package."""

from typing import Final

# A group's prefix cache counts only while its load is at most this factor times the
# mean load of the candidates, plus one request, so that idle groups count.
AFFINITY_LOAD_FACTOR: Final = 1.25

# A block is a number of bytes of the prompt, because the entry program has no
# tokenizer; 256 bytes are about 64 tokens.
BLOCK_BYTES: Final = 256
MAX_BLOCKS: Final = 64
BLOCK_HASH_BYTES: Final = 8
MAX_BLOCKS_PER_GROUP: Final = 20_000

CACHE_POLL_PERIOD_S: Final = 5.0
CACHE_POLL_JITTER: Final = 0.2

STRAGGLER_FACTOR: Final = 3.0
STRAGGLER_MIN_SLOW_S: Final = 10.0
STRAGGLER_EJECTION_S: Final = 15.0
MAX_EJECTED_SHARE: Final = 1 / 3
LATENCY_SMOOTHING_FACTOR: Final = 0.2
LATENCY_MIN_SAMPLES: Final = 3
# Older averages do not reflect a group's current latency.
LATENCY_LIFETIME_S: Final = 30.0
