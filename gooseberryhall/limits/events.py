"""Events of the limits concern."""

from dataclasses import dataclass

from ..core.events import Event


@dataclass(frozen=True, slots=True)
class LimitsConfigured(Event):
    """The settings of this process limit the queue."""

    queue_limit: int
    queue_wait_limit_s: float
