"""Constants of the membership package."""

from typing import Final

HEARTBEAT_PERIOD_S: Final = 0.4
PEER_TIMEOUT_S: Final = 1.2
PEER_CHECK_PERIOD_S: Final = 0.2
# A check delayed by more than this ran late because the process was paused, which also
# delayed the heartbeats.
CHECK_DELAY_TOLERANCE_S: Final = 0.5

PROBE_PERIOD_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 0.7
PROBE_DELAY_TOLERANCE_S: Final = 0.3
# A single slow response closes no group. Two failed probes are reported within 2.4 s,
# before the evidence is too old.
FAILURES_TO_REPORT: Final = 2
# Reports of the same failure by many entry processes cause a single probe.
PROBE_MIN_INTERVAL_S: Final = 0.1
# Several tasks share one timer, because each wake-up costs processor time.
MAINTENANCE_PERIOD_S: Final = 0.5

# Evidence that is newer by more than this, such as the first after a change of the
# probing node, is sent at once.
EVIDENCE_GAP_S: Final = 1.5
DIGEST_MAX_REPORTS: Final = 500
# Older evidence cannot keep a group open and would only delay newer reports.
DIGEST_MAX_AGE_S: Final = 10.0

VM_LIST_PERIOD_S: Final = 2.0
VM_LIST_JITTER: Final = 0.2

# The node with the higher name waits this long, so that the other one dials first.
PEER_DIAL_DELAY_S: Final = 0.5
NODE_EXPIRY_S: Final = 60.0

# Rate shares are adjusted to the number of live nodes within this time.
LIVE_NODES_PERIOD_S: Final = 1.0
