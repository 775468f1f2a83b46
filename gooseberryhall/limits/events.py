"""Reducer events of the limits package."""

from dataclasses import dataclass

from ..core.events import Event


@dataclass(frozen=True, slots=True)
class LimitsConfigured(Event):
    """The queue limits were read from the settings of this process."""

    queue_limit: int
    queue_wait_limit_s: float
