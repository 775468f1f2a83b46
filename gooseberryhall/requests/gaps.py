"""Histogram of the gaps between the chunks of streams.

The histogram of the metrics library encodes the labels of each observation, which is
too slow for every chunk. Gaps are counted here and copied when metrics are collected.
"""

from bisect import bisect_left
from dataclasses import dataclass, field

GAP_BUCKETS_S = (0.01, 0.02, 0.03, 0.041, 0.06, 0.1, 0.25, 0.5, 1.0, 5.0)


@dataclass(slots=True)
class GapWindow:
    """Gaps of a group's streams since the last report."""

    count: int = 0
    total_s: float = 0.0


@dataclass(slots=True)
class GapCounts:
    """Gaps by bucket since process start, and by group since the last report."""

    buckets: list[int] = field(default_factory=lambda: [0] * (len(GAP_BUCKETS_S) + 1))
    total_s: float = 0.0
    windows: dict[str, GapWindow] = field(default_factory=dict)

    def observe(self, group: str, gap_s: float) -> None:
        """Count a gap that has ended."""
        self.buckets[bisect_left(GAP_BUCKETS_S, gap_s)] += 1
        self.total_s += gap_s
        self.add_to_window(group, gap_s)

    def add_to_window(self, group: str, gap_s: float) -> None:
        """Count a gap for its group only; it may not have ended yet."""
        window = self.windows.get(group)
        if window is None:
            window = self.windows[group] = GapWindow()
        window.count += 1
        window.total_s += gap_s

    def pop_mean_gaps(self) -> dict[str, float]:
        """Return the mean gap in seconds of each group and start new windows."""
        means = {
            group: item.total_s / item.count for group, item in self.windows.items()
        }
        self.windows = {}
        return means
