"""Periods and limits of group formation."""

from typing import Final

TICK_PERIOD_S: Final = 0.05
# A pause of this process longer than this may hide a change of owner; orders wait
# until the peers' datagrams have been read.
PAUSE_LIMIT_S: Final = 0.7
HOLD_AFTER_PAUSE_S: Final = 0.4
# Time for which a server that does not answer gets no orders.
UNRESPONSIVE_BACKOFF_S: Final = 1.5
# Time between two examinations of one group.
EXAMINE_PERIOD_S: Final = 1.0
# A group whose member leaves is dissolved when its streams had this long to end.
LEAVING_GROUP_S: Final = 1.7
VIEW_POLL_S: Final = 0.02
READY_POLL_S: Final = 0.04
# Time between two groups that are dissolved in favour of another model.
EXCHANGE_PERIOD_S: Final = 3.0
LOAD_POLL_S: Final = 0.5
STAGE_POLL_S: Final = 0.2
# Joins may take this much longer than stated, as loads share the weight store.
JOIN_SLACK_FACTOR: Final = 4.0
JOIN_SLACK_S: Final = 2.0
OPEN_SLACK_S: Final = 1.5
LEAVE_RETRY_S: Final = 0.3
EPOCHS_PER_TERM: Final = 1_000_000
# Time for which a domain waits for the servers of a group that is dissolved.
DISSOLVE_WAIT_S: Final = 0.5
SUMMARY_PERIOD_S: Final = 2.0
SPARE_GROUP_PREFIX: Final = "spare-"

OWNERSHIP_PERIOD_S: Final = 0.2
# Nodes that start together hear of each other before they contend.
SETTLE_S: Final = 0.45
# Nodes of other zones contend this much later than the zone's own: a zone without
# live nodes is more often cut off, with its servers, than without machines.
OTHER_ZONE_DELAY_S: Final = 8.0
# A node that hears no peer is probably cut off itself.
ISOLATED_DELAY_S: Final = 3.0
