"""Limits of the request path."""

from typing import Final

# A group that sends nothing for this long, although it has requests, has most
# likely lost a member. Prompts that are read between the tokens of a full batch
# keep a sound group silent for up to about a third of a second.
GROUP_STALL_S: Final = 0.45
STALL_CHECK_PERIOD_S: Final = 0.05
# Time for which a stalled group gets no requests; doubled with each stall in a row.
STALL_BACKOFF_S: Final = 0.8
MAX_STALL_BACKOFF_S: Final = 6.0
# Groups that are drawn at random for a request; the less loaded one gets it.
CHOICES: Final = 2
# Requests that a group takes beyond its slots.
QUEUE_PER_GROUP: Final = 4
# Share of the latency objective that a request waits for a free group.
WAIT_SHARE: Final = 0.125
# Load, as a share of the slots, that a group of another zone must be better by.
OTHER_ZONE_PENALTY: Final = 0.1
# Sends of one request that servers may reject before it is refused.
MAX_REJECTIONS: Final = 4
# Requests that are sent to a plain server at once, as a multiple of its slots.
PLAIN_LOAD_LIMIT: Final = 3.0
# First wait for the answer of an idempotent request to a plain service, as a share
# of the time left.
FIRST_TRY_SHARE: Final = 0.5
PLAIN_BACKOFF_S: Final = 1.0
# Part of the deployment's retry slack that nodes use together.
RETRY_SLACK_SHARE: Final = 0.8
# Servers that a request may crash before it is rejected.
MAX_CRASHES: Final = 3
CRASH_MEMORY_S: Final = 60.0
# Other nodes are told of a crash for this long, and of this many requests at once,
# so that the loss of a group with many streams fits into a datagram.
CRASH_TOLD_S: Final = 3.0
MAX_TOLD: Final = 8
# Time left below which a request is not sent to another server.
MIN_SEND_S: Final = 0.02
DEFAULT_DEADLINE_S: Final = 30.0
MAX_PRIORITY: Final = 9

RETRY_AFTER_NO_GROUP_S: Final = 0.8
RETRY_AFTER_BUSY_S: Final = 0.4
RETRY_AFTER_SPREAD: Final = 0.5
