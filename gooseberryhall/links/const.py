"""Constants of the links concern."""

from typing import Final

MAX_FRAME_BYTES: Final = 256 * 1024
# A process that has not proved the secret may only send small frames.
MAX_HANDSHAKE_FRAME_BYTES: Final = 4 * 1024
SEND_QUEUE_BYTES: Final = 1024 * 1024

SILENCE_LIMIT_S: Final = 1.2
CONNECT_TIMEOUT_S: Final = 1.0
# A paused process accepts connections without answering; the next address is tried
# while the attempt still runs.
NEXT_ADDRESS_PAUSE_S: Final = 0.3
HANDSHAKE_LIMIT_S: Final = 1.0
CLOSE_LIMIT_S: Final = 0.3
RECONNECT_MIN_S: Final = 0.1
RECONNECT_MAX_S: Final = 2.0
# How often a process that uses a later address tries the first one again.
RETURN_PERIOD_S: Final = 5.0

LOCAL_PING_PERIOD_S: Final = 0.25
PEER_PING_PERIOD_S: Final = 0.5
# An echo of an older ping dates evidence beyond any use.
PING_MEMORY_S: Final = 10.0
# A watchdog that fires later than this was held up together with the reader.
WATCHDOG_LATE_S: Final = 0.3
WATCHDOG_GRACE_S: Final = 0.2

NONCE_BYTES: Final = 32
PROOF_BYTES: Final = 32
CLOSE_GOING_AWAY: Final = 1001
CLOSE_TOO_BIG: Final = 1009
