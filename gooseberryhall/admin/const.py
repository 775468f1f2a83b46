"""Constants of the administration program."""

from typing import Final

API_TITLE: Final = "gooseberryhall administration"
API_VERSION: Final = "1"

MAX_EDIT_BODY_BYTES: Final = 512 * 1024
REQUEST_TIMEOUT_S: Final = 10
RESPONSE_TIMEOUT_S: Final = 20
KEEP_ALIVE_S: Final = 30
SHUTDOWN_LIMIT_S: Final = 5.0

AUDIT_PAGE_CHANGES: Final = 64
TABLE_RETRY_AFTER_S: Final = 1

# Leading hexadecimal digits of a token's SHA-256 that name its holder in the audit.
ACTOR_DIGEST_DIGITS: Final = 12
