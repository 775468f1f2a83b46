"""State of the requests concern."""

from dataclasses import dataclass


@dataclass(slots=True)
class RequestsState:
    """State of the requests concern."""
