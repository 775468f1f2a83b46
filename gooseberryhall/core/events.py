"""Base class of the events that the reducer handles."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """An occurrence that may change the state."""


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """The periodic timer of a program fired."""
