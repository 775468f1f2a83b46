"""Constants of the groups concern."""

from typing import Final

TICK_PERIOD_S: Final = 0.5
# Every second tick plans; its jitter must not make that every third one.
PLAN_PERIOD_S: Final = 0.8
VIEW_PERIOD_S: Final = 2.0
# Without a view for this long, a process reads the zone's groups from the table.
VIEW_LIMIT_S: Final = 6.0
# Other nodes may have ended a transaction that this holder saw as unknown.
ZONE_READ_PERIOD_S: Final = 10.0

LEASE_DURATION_S: Final = 6.0
LEASE_RENEW_PERIOD_S: Final = 2.0
LEASE_POLL_PERIOD_S: Final = 1.0
# Nodes of other zones read a lease only when its holder announces nothing for longer.
HOLDER_SILENCE_S: Final = 3.0
# A stopping program waits this long for the confirmation of its released leases.
RELEASE_LIMIT_S: Final = 2.0
# The factor covers clocks that run at different rates, the second covers scheduling.
LEASE_WAIT_S: Final = LEASE_DURATION_S * 1.1 + 1.0
# Nodes of other zones wait longer, so that the zone's own nodes take over first.
LEASE_WAIT_OTHER_ZONE_S: Final = 2 * LEASE_WAIT_S

ORDER_TIMEOUT_S: Final = 5.0
# A member's probe has to pass between two orders, otherwise nothing new is known.
ORDER_RETRY_S: Final = 1.5

DRAIN_LIMIT_S: Final = 600.0
# Entry processes send no new work to a draining group after this time.
DRAIN_NOTICE_S: Final = 3.0
# Evidence of a new group reaches all entry processes after two digest periods of 0.5 s.
SERVING_NOTICE_S: Final = 2.0
LOADING_LIMIT_S: Final = 900.0
# A lead reports a failure while it misses a member, also for a moment after its return.
FAILED_LIMIT_S: Final = 10.0
# Evidence that is late by one probe is no reason to load another group.
ANSWER_LIMIT_S: Final = 3.0
# A VM that the platform no longer lists and that is silent for this long is gone.
UNLISTED_LIMIT_S: Final = 60.0


# A VM row without a group in the zone belongs to a write that is not yet visible.
BLOCKED_VM_S: Final = 30.0
# VMs silent for longer no longer count when the declared groups are divided.
SHARE_GRACE_S: Final = 15.0
