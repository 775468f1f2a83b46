"""Limits of connections."""

from typing import Final

# Two round trips inside a region with one lost opening packet do not fit; a new
# attempt is sent to another server instead.
CONNECT_TIMEOUT_S: Final = 0.3
# Used when a server does not state how long it keeps an idle connection.
DEFAULT_IDLE_S: Final = 1.0
# Part of the stated idle time during which a connection is reused, so that a
# request does not cross the server's close.
IDLE_SHARE: Final = 0.5
MAX_IDLE_CONNECTIONS: Final = 16
MAX_RESPONSE_BYTES: Final = 32 * 1024 * 1024
WRITE_HIGH_WATER_BYTES: Final = 256 * 1024

# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
