"""Base class of the effects that the reducer returns."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Effect:
    """An action that a program performs after a state change."""
