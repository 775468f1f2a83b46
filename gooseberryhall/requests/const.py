"""Constants of the requests concern."""

from typing import Final

MAX_RESUMES: Final = 2
# The first resume is immediate; the second one waits for a short fault to pass.
RESUME_PAUSE_S: Final = 0.2

# A suspicion and a refusal end after this time, so that a request that was repaired on
# the engine's side is served again.
SUSPECT_LIFETIME_S: Final = 600.0
CRASHES_TO_REFUSE: Final = 2
# A member that does not answer for this long has missed two probes.
CRASH_SILENCE_S: Final = 2.0
MAX_SUSPECTS: Final = 10_000

# Probes confirm or clear a member within about 2 s; later evidence says nothing about
# the stream that broke.
CRASH_CONFIRMATION_S: Final = 10.0
# A member that still answers this long after a stream broke has not crashed by it.
CRASH_CLEAR_S: Final = 1.0

PROGRESS_CHECK_PERIOD_S: Final = 0.25
GAP_REPORT_PERIOD_S: Final = 1.0
SILENT_SAMPLE_S: Final = 1.0
CALLER_WRITE_LIMIT_S: Final = 30.0

STATUS_BAD_REQUEST: Final = 400
STATUS_NOT_FOUND: Final = 404
STATUS_UNPROCESSABLE_ENTITY: Final = 422
STATUS_TOO_MANY_REQUESTS: Final = 429
STATUS_BAD_GATEWAY: Final = 502
STATUS_SERVICE_UNAVAILABLE: Final = 503
STATUS_GATEWAY_TIMEOUT: Final = 504

TICK_PERIOD_S: Final = 0.1
