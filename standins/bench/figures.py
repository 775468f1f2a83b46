"""Statistics of measurements, and readings of processes and metrics."""

import os
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from ..load import percentile
from ..processes import ProcessError

KIB_PER_MB = 1024
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
LOAD_DIGITS = 2
NS_PER_S = 1_000_000_000
LOWER_QUARTILE, MEDIAN, UPPER_QUARTILE, P95 = 25, 50, 75, 95


@dataclass(frozen=True, slots=True)
class Summary:
    """Count, median, 95th percentile and interquartile range of some values."""

    count: int
    median: float
    p95: float
    spread: float


def summary(values: Sequence[float]) -> Summary:
    """Return the summary of values; all fields are 0 if there are none."""
    quartiles = [percentile(values, rank) for rank in (LOWER_QUARTILE, UPPER_QUARTILE)]
    return Summary(
        count=len(values),
        median=percentile(values, MEDIAN),
        p95=percentile(values, P95),
        spread=round(quartiles[1] - quartiles[0], LOAD_DIGITS),
    )


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the least-squares slope of y over x; 0 when x does not vary."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return 0.0
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread


def intercept(points: Sequence[tuple[float, float]]) -> float:
    """Return the value of the least-squares line at x = 0."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    return mean_y - slope(points) * mean_x


def cpu_s(pid: int | str) -> float:
    """Return the user and system time of a process in seconds."""
    return stat_cpu_s(Path(f"/proc/{pid}/stat").read_text())


def stat_cpu_s(stat: str) -> float:
    """Return the user and system time from the text of a `/proc/PID/stat` file."""
    # The process name in parentheses may contain spaces and parentheses.
    user, system = stat.rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def wait_s(pid: int) -> float:
    """Return how long the main thread of a process waited for a processor."""
    waited_ns = Path(f"/proc/{pid}/schedstat").read_text().split()[1]
    return int(waited_ns) / NS_PER_S


def memory_mb(pid: int, field: str = "VmRSS") -> float:
    """Return a memory field of a process in MB. Raises ProcessError without it."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) / KIB_PER_MB
    raise ProcessError(f"no {field} of process {pid}")


def metric_total(text: str, name: str, *labels: str) -> float:
    """Return the sum of a metric over all label sets that contain `labels`."""
    lines = [
        line
        for line in text.splitlines()
        if line.startswith((f"{name} ", f"{name}{{"))
        and all(label in line for label in labels)
    ]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines)


def load_average() -> list[float]:
    """Return the machine's load average over 1, 5 and 15 minutes."""
    return [round(value, LOAD_DIGITS) for value in os.getloadavg()]


def markdown_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(map(str, line)) + " |" for line in lines)
