"""State of the limits concern."""

from dataclasses import dataclass


@dataclass(slots=True)
class LimitsState:
    """State of the limits concern."""
