"""Base type of the effects that the reducer returns."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Effect:
    """An action that a program carries out after the state has changed."""
