"""Constants of the node program."""

from typing import Final

# Calls of the store are priced. Heartbeats change entries all the time, so each
# question is answered at once and the pause decides how many calls an owner makes.
OWNER_FEED_PAUSE_S: Final = 0.15
FEED_PAUSE_S: Final = 0.25
# Longest pauses between two questions that the store does not answer: where requests
# or groups wait for the answer, and where they do not.
RETRY_S: Final = 0.6
BACKGROUND_RETRY_S: Final = 1.5
# A node asks again after this time. Owners notice a connection that went silent and
# tell the others by the version in their datagrams.
OWNER_CONFIGURATION_WAIT_S: Final = 1.5
CONFIGURATION_WAIT_S: Final = 20.0
# A peer may be told of a version a moment earlier.
CONFIGURATION_LAG_S: Final = 0.4
CONFIGURATION_RETRY_S: Final = 0.5
WANTED_POLL_S: Final = 0.05
# More entries that vanish at once than this share have lapsed with the store.
LAPSE_SHARE: Final = 0.3
