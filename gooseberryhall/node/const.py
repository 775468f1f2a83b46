"""Constants of the node program."""

from typing import Final

# Pauses between two watches of the server records. Calls to the store are billed.
# Heartbeats change records all the time, so each watch returns at once and the pause
# determines the number of calls.
OWNER_WATCH_PAUSE_S: Final = 0.15
WATCH_PAUSE_S: Final = 0.25
# Time in which a leaving server is noticed by a node that reads the records as soon as
# a zone lacks an owner. If requests may reach such a server for longer, the nodes use
# these shares of the rest to wait for a new owner and for longer pauses between two
# watches, because the reads of all nodes of a large deployment are many.
LEAVING_SERVER_DELAY_S: Final = 2.0
OWNER_WAIT_SHARE: Final = 0.6
WATCH_PAUSE_SHARE: Final = 0.4
OWNER_PAUSE_SHARE: Final = 0.1
# Time that a node without any group or server waits for the first announcements.
STARTUP_OWNER_WAIT_S: Final = 0.25
# Number of nodes of a zone without an owner that read the records at once, to contend.
RECORD_READERS: Final = 3
# Time in which the store answers a watch, beyond the pause before it. The watch waits
# for 0.75 s if no record changes.
OUTDATED_RECORDS_S: Final = 0.95
# Maximum delays between two calls that the store does not answer: if requests or groups
# wait for the response, and if they do not.
MAX_RETRY_DELAY_S: Final = 0.6
BACKGROUND_MAX_RETRY_DELAY_S: Final = 1.5
# Time that a watch of the configuration waits for a change. Owners use the shorter one,
# so that they notice a stalled connection; they notify the other nodes by the version
# in their datagrams.
OWNER_CONFIGURATION_WATCH_WAIT_S: Final = 1.5
CONFIGURATION_WATCH_WAIT_S: Final = 30.0
# Time for which a node waits for its own watch after a peer sent a newer version,
# because the peer may have received it a moment earlier.
PEER_VERSION_GRACE_S: Final = 0.4
CONFIGURATION_RETRY_DELAY_S: Final = 0.5
# Time in which a new owner has heard the nodes of its zone, several periods of gossip.
PEERS_KNOWN_S: Final = 1.0
# If more than this share of the records disappears right after an outage of the store,
# they lapsed in it; so few servers may leave at once in any deployment.
LAPSED_SHARE: Final = 0.3
MAX_LEAVING: Final = 2
