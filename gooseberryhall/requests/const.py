"""Constants of the requests package."""

from typing import Final

MAX_RESUMES: Final = 2
# The first resume is immediate; the second is delayed so that a short fault can pass.
SECOND_RESUME_DELAY_S: Final = 0.2

# Crashes expire after this time, so that a refused request is served again once
# the engine handles it correctly.
SUSPECT_LIFETIME_S: Final = 600.0
CRASHES_TO_REFUSE: Final = 2
# A member that is unresponsive for this long has missed two probes.
CRASH_UNRESPONSIVE_S: Final = 2.0
MAX_SUSPECTS: Final = 10_000

# Probes show within about 2 s whether a member crashed; later evidence is unrelated to
# the broken stream.
CRASH_CONFIRMATION_TIMEOUT_S: Final = 10.0
# A member that still responds this long after its stream broke did not crash.
CRASH_CLEAR_S: Final = 1.0

PROGRESS_CHECK_PERIOD_S: Final = 0.25
GAP_REPORT_PERIOD_S: Final = 1.0
STALL_SAMPLE_S: Final = 1.0
CALLER_WRITE_TIMEOUT_S: Final = 30.0

STATUS_BAD_REQUEST: Final = 400
STATUS_NOT_FOUND: Final = 404
STATUS_UNPROCESSABLE_ENTITY: Final = 422
STATUS_TOO_MANY_REQUESTS: Final = 429
STATUS_BAD_GATEWAY: Final = 502
STATUS_SERVICE_UNAVAILABLE: Final = 503
STATUS_GATEWAY_TIMEOUT: Final = 504

TICK_PERIOD_S: Final = 0.1
