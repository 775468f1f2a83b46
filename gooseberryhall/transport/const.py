"""Constants of HTTP connections."""

from typing import Final

# Too short for two round trips within a region if the opening packet is lost; the
# request is then sent to another server instead.
CONNECT_TIMEOUT_S: Final = 0.3
# Assumed if a server does not state its idle timeout in a Keep-Alive header.
DEFAULT_IDLE_TIMEOUT_S: Final = 1.0
# Share of the server's idle timeout during which a connection is reused, so that no
# request is sent while the server closes the connection.
IDLE_TIMEOUT_SHARE: Final = 0.5
MAX_IDLE_PER_ADDRESS: Final = 16
# Bytes that a server may send without any body data of the expected response: heads,
# interim responses, chunk sizes, trailers and responses to earlier requests. A server
# in trouble may send such bytes without end.
MAX_RESPONSE_OVERHEAD_BYTES: Final = 64 * 1024
# Received body data that is not yet passed on, after which no more is read.
MAX_BUFFERED_BYTES: Final = 256 * 1024
MAX_RESPONSE_BYTES: Final = 32 * 1024 * 1024
WRITE_HIGH_WATER_BYTES: Final = 256 * 1024

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS: Final = frozenset(
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
