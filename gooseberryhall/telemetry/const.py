"""Constants of the telemetry package."""

from typing import Final

TIMELINE_CAPACITY_EVENTS: Final = 10_000
TIMELINE_PAGE_EVENTS: Final = 1_000
