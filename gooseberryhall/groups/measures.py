"""The two measures: group downtime and stranded accelerators."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..core.state import State


def measure_zone(state: "State", zone: str, now_s: float) -> None:
    """Add the time since the last call to the totals of an owned zone."""
