"""Periods and limits of group formation."""

from typing import Final

TICK_PERIOD_S: Final = 0.05
# A longer pause of this process may hide a change of owner, so orders are held back
# until the datagrams of the peers have been read.
PAUSE_LIMIT_S: Final = 0.7
HOLD_AFTER_PAUSE_S: Final = 0.4
# Time for which an unresponsive server gets no orders.
UNRESPONSIVE_BACKOFF_S: Final = 1.5
# Minimum time between two probes of the members of one group.
GROUP_PROBE_PERIOD_S: Final = 1.0
# Time that the streams of a group have to end after a member announced that it leaves.
LEAVING_GROUP_GRACE_S: Final = 1.7
VIEW_POLL_S: Final = 0.02
READY_POLL_S: Final = 0.04
# Minimum time between two groups that are dissolved in favour of another model.
REBALANCE_PERIOD_S: Final = 3.0
LOAD_POLL_S: Final = 0.5
STAGE_POLL_S: Final = 0.2
# A join times out after its stated duration times the factor, plus the margin: loads
# that run at the same time share the weight store.
JOIN_TIMEOUT_FACTOR: Final = 4.0
JOIN_TIMEOUT_MARGIN_S: Final = 2.0
OPEN_TIMEOUT_MARGIN_S: Final = 1.5
LEAVE_RETRY_S: Final = 0.3
EPOCHS_PER_TERM: Final = 1_000_000
# Terms by which leases exceed those of the era before, when the store went back. They
# cover minutes in which a zone changes its owner as often as it can.
TERMS_PER_ERA: Final = 1_000
# Keeps epochs within the integers that all JSON decoders represent exactly.
MAX_LOST_ERAS: Final = 1_000_000
# Time for which planning in a domain waits for the servers of a dissolving group.
DISSOLVE_WAIT_S: Final = 0.5
SUMMARY_PERIOD_S: Final = 2.0
SPARE_GROUP_PREFIX: Final = "spare-"

OWNERSHIP_PERIOD_S: Final = 0.2
# Nodes that start at the same time discover each other before they contend for zones.
STARTUP_GRACE_S: Final = 0.45
# Time between the contention of one node of a zone and the next. It exceeds the read
# and the write of the lease and the first announcement of the new owner.
CONTENTION_STEP_S: Final = 0.3
MAX_CONTENTION_RANK: Final = 30
# Time in which the owner that a lease names makes itself known if it is live.
FIRST_ANNOUNCEMENT_S: Final = 0.5
# Nodes of other zones contend only after this delay: if a zone has no live nodes, it is
# more often cut off together with its servers than without running machines.
OTHER_ZONE_DELAY_S: Final = 8.0
# A node that receives nothing from any peer is probably cut off itself.
ISOLATED_NODE_DELAY_S: Final = 3.0
