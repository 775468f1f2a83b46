"""Constants of the links."""

from typing import Final

MAX_FRAME_BYTES: Final = 256 * 1024
# Limit for processes that are not yet authenticated.
MAX_HANDSHAKE_FRAME_BYTES: Final = 4 * 1024
MAX_SEND_QUEUE_BYTES: Final = 1024 * 1024

# A link on which no message arrives for this long is closed.
RECEIVE_TIMEOUT_S: Final = 1.2
CONNECT_TIMEOUT_S: Final = 1.0
# The kernel accepts connections to a paused process, which does not respond. The next
# address is therefore tried while the attempt still runs.
NEXT_ADDRESS_DELAY_S: Final = 0.3
HANDSHAKE_TIMEOUT_S: Final = 1.0
CLOSE_TIMEOUT_S: Final = 0.3
RECONNECT_MIN_DELAY_S: Final = 0.1
RECONNECT_MAX_DELAY_S: Final = 2.0
# Maximum time between attempts to return from a later address to the first one.
FAILBACK_PERIOD_S: Final = 5.0

LOCAL_PING_PERIOD_S: Final = 0.25
PEER_PING_PERIOD_S: Final = 0.5
# Evidence that echoes an older ping would be dated too early to be of use.
PING_RETENTION_S: Final = 10.0
# If the watchdog fires later than this, the event loop and the reader were blocked.
WATCHDOG_MAX_DELAY_S: Final = 0.3
WATCHDOG_GRACE_S: Final = 0.2

NONCE_BYTES: Final = 32
PROOF_BYTES: Final = 32
CLOSE_GOING_AWAY: Final = 1001
CLOSE_TOO_BIG: Final = 1009
