"""Constants of the entry program."""

from typing import Final

REQUEST_TIMEOUT_S: Final = 10
KEEP_ALIVE_TIMEOUT_S: Final = 120
# Sanic closes a connection on which it wrote nothing for its response timeout. It does
# not notice chunks of streams, so the timeout exceeds the longest request by this much.
RESPONSE_TIMEOUT_MARGIN_S: Final = 30
STOP_GRACE_PERIOD_S: Final = 2.0
# A request may still be in flight on a connection that was just accepted.
ACCEPTED_CONNECTION_GRACE_S: Final = 0.2
LISTEN_BACKLOG: Final = 1024
# Maximum size of a refused body that is read before the connection is closed.
DISCARD_LIMIT_BYTES: Final = 16 * 1024 * 1024

MODEL_PATH: Final = "/v1/chat/completions"
# An idempotent request is retried on another server after this time without a response.
SERVICE_ATTEMPT_TIMEOUT_S: Final = 5.0
MAX_DEADLINE_MS: Final = 24 * 3600 * 1000
REQUEST_ID_BYTES: Final = 12
