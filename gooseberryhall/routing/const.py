"""Constants of the routing concern."""

from typing import Final

# A group is chosen for its prefix cache only while its load is at most this factor
# above the mean load of the open groups (plus one request, so that idle groups count).
AFFINITY_LOAD_FACTOR: Final = 1.25

# Blocks are measured in bytes of the prompt, because the entry program has no
# tokenizer; 256 bytes are about 64 tokens.
BLOCK_BYTES: Final = 256
MAX_BLOCKS: Final = 64
BLOCK_HASH_BYTES: Final = 8
MAX_BLOCKS_PER_GROUP: Final = 20_000

CACHE_POLL_PERIOD_S: Final = 5.0
CACHE_POLL_JITTER: Final = 0.2

STRAGGLER_FACTOR: Final = 3.0
STRAGGLER_AFTER_S: Final = 10.0
STRAGGLER_PAUSE_S: Final = 15.0
STRAGGLER_MAX_SHARE: Final = 1 / 3
LATENCY_WEIGHT: Final = 0.2
LATENCY_MIN_SAMPLES: Final = 3
# Without newer samples a group's latency says nothing about it any more.
LATENCY_LIFETIME_S: Final = 30.0
