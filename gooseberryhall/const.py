"""Constants that several packages share."""

from typing import Final

HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_GROUP: Final = "X-Group"
HEADER_GENERATION: Final = "X-Generation"
HEADER_BOOT_ID: Final = "X-Boot-Id"
HEADER_PRIORITY: Final = "X-Priority"
HEADER_DEADLINE_MS: Final = "X-Deadline-Ms"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"

MAX_BODY_BYTES: Final = 1024 * 1024
MAX_HEADER_BYTES: Final = 16 * 1024

# A node stops routing requests to a group when its evidence of a member is older.
EVIDENCE_MAX_AGE_S: Final = 3.0
