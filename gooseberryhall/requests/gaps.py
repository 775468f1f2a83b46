"""Counts the gaps between the chunks of streams.

Chunks are too many for the histogram of the metrics library, which encodes the labels
of each observation, so they are counted here and copied when metrics are read.
"""

from bisect import bisect_left
from dataclasses import dataclass, field

GAP_BUCKETS_S = (0.01, 0.02, 0.03, 0.041, 0.06, 0.1, 0.25, 0.5, 1.0, 5.0)


@dataclass(slots=True)
class GapWindow:
    """Gaps of a group's streams since the last look."""

    count: int = 0
    total_s: float = 0.0


@dataclass(slots=True)
class GapCounts:
    """Gaps by bucket since the start, and by group since the last look."""

    buckets: list[int] = field(default_factory=lambda: [0] * (len(GAP_BUCKETS_S) + 1))
    total_s: float = 0.0
    windows: dict[str, GapWindow] = field(default_factory=dict)

    def observe(self, group: str, gap_s: float) -> None:
        """Count one gap."""
        self.buckets[bisect_left(GAP_BUCKETS_S, gap_s)] += 1
        self.total_s += gap_s
        self.add_to_window(group, gap_s)

    def add_to_window(self, group: str, gap_s: float) -> None:
        """Count a gap, also one that has not ended yet, for its group only."""
        window = self.windows.get(group)
        if window is None:
            window = self.windows[group] = GapWindow()
        window.count += 1
        window.total_s += gap_s

    def take_windows(self) -> dict[str, float]:
        """Return the mean gap of each group and start new windows."""
        means = {
            group: item.total_s / item.count for group, item in self.windows.items()
        }
        self.windows = {}
        return means
