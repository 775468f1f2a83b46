"""Constants of the groups package."""

from typing import Final

TICK_PERIOD_S: Final = 0.5
# Planning runs on every second tick. The period is shorter than two ticks, so that
# timer jitter does not delay planning to the third tick.
PLAN_PERIOD_S: Final = 0.8
ANNOUNCE_PERIOD_S: Final = 2.0
# A process that received no group view for this long reads the zone from the table.
VIEW_TIMEOUT_S: Final = 6.0
# The holder rereads its zone, because another node may have ended a transaction whose
# outcome the holder does not know.
ZONE_READ_PERIOD_S: Final = 10.0

LEASE_DURATION_S: Final = 6.0
LEASE_RENEW_PERIOD_S: Final = 2.0
LEASE_POLL_PERIOD_S: Final = 1.0
# Nodes of other zones read a lease only after its holder announced nothing for longer.
ANNOUNCEMENT_TIMEOUT_S: Final = 3.0
# Time that a stopping program waits for the confirmation of its released leases.
LEASE_RELEASE_TIMEOUT_S: Final = 2.0
# The factor allows for clock drift, the extra second for scheduling delays.
LEASE_TAKEOVER_DELAY_S: Final = LEASE_DURATION_S * 1.1 + 1.0
# Longer for nodes of other zones, so that a node of the zone takes over first.
LEASE_TAKEOVER_DELAY_OTHER_ZONE_S: Final = 2 * LEASE_TAKEOVER_DELAY_S

ORDER_TIMEOUT_S: Final = 5.0
# Long enough for a probe of the member, whose result decides whether to retry.
ORDER_RETRY_S: Final = 1.5

DRAIN_LIMIT_S: Final = 600.0
# After this time no entry process sends new requests to a draining group.
DRAIN_PROPAGATION_S: Final = 3.0
# Evidence of a new group reaches all entry processes within two digest periods of
# 0.5 s.
SERVING_PROPAGATION_S: Final = 2.0
LOADING_LIMIT_S: Final = 900.0
# A leader reports a failure while a member is missing and shortly after its return.
FAILURE_GRACE_S: Final = 10.0
# One late probe must not cause the load of another group.
UNRESPONSIVE_AFTER_S: Final = 3.0
# An unlisted VM that is unresponsive for this long is regarded as deleted.
UNLISTED_VM_TIMEOUT_S: Final = 60.0
# A VM row that conflicts but has no group in the zone belongs to a write that is not
# visible yet.
VM_CONFLICT_BACKOFF_S: Final = 30.0
# VMs that are unresponsive for longer do not count when groups are divided by zone.
SHARE_GRACE_S: Final = 15.0
