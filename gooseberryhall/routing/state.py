"""State of the routing concern."""

from dataclasses import dataclass


@dataclass(slots=True)
class RoutingState:
    """State of the routing concern."""
