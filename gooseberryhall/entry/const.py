"""Constants of the entry program."""

from typing import Final

REQUEST_TIMEOUT_S: Final = 10
KEEP_ALIVE_TIMEOUT_S: Final = 120
# Sanic ends a connection on which it wrote nothing for this much longer than any
# request may take. It does not see the chunks of streams.
RESPONSE_MARGIN_S: Final = 30
STOP_GRACE_S: Final = 2.0
# A request may still be on its way on a connection that was just accepted.
LAST_REQUESTS_S: Final = 0.2
LISTEN_BACKLOG: Final = 1024
# Bytes of a refused body that are read before the connection is closed.
DISCARD_LIMIT_BYTES: Final = 16 * 1024 * 1024

MODEL_PATH: Final = "/v1/chat/completions"
# An idempotent request is tried on another server when one is silent for this long.
SERVICE_ATTEMPT_LIMIT_S: Final = 5.0
MAX_DEADLINE_MS: Final = 24 * 3600 * 1000
REQUEST_ID_BYTES: Final = 12
