"""Constants of the membership concern."""

from typing import Final

HEARTBEAT_PERIOD_S: Final = 0.4
PEER_LIMIT_S: Final = 1.2
PEER_CHECK_PERIOD_S: Final = 0.2
# A check that runs later than this was held up together with the heartbeats.
CHECK_LATE_S: Final = 0.5

PROBE_PERIOD_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 0.7
PROBE_LATE_S: Final = 0.3
# One slow answer closes no group. Two missed probes are known within 2.4 s, before the
# evidence is too old.
MISSES_TO_REPORT: Final = 2
# Reports of one failure by many entry processes cause one probe.
PROBE_MIN_PAUSE_S: Final = 0.1
# One timer for several tasks, because each wake-up costs processor time.
UPKEEP_PERIOD_S: Final = 0.5

# A first answer after a change of the probing node is sent at once.
LATE_ANSWER_S: Final = 1.5
DIGEST_MAX_REPORTS: Final = 500
# Older evidence keeps no group open and would only delay newer reports.
DIGEST_MAX_AGE_S: Final = 10.0

VM_LIST_PERIOD_S: Final = 2.0
VM_LIST_JITTER: Final = 0.2

# The node with the higher name lets the other one dial first.
PEER_DIAL_YIELD_S: Final = 0.5
FORGET_NODE_S: Final = 60.0

# Shares of rates follow the number of live nodes within this time.
LIVE_NODES_PERIOD_S: Final = 1.0
