"""Measures how the cost of the programs grows with load and with configuration."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from ..cluster import Cluster, async_wait_for
from ..demo import async_apply
from ..layout import PROGRAMS, sha256_hex
from .capacity import Step, async_step
from .cluster import serving_cluster, single_node_options
from .figures import intercept, memory_mb, slope

GROUPS = 4
ENGINE_OPTIONS = ("--token-ms", "20", "--first-token-ms", "5", "--slots", "1000")
STREAMS_IN_FLIGHT = (15, 45, 90, 150)
STREAM_TOKENS = 150
SHORT_IN_FLIGHT = (1, 2, 4)
SHORT_TOKENS = 1
STEP_S = 4.0
OBJECTS = (0, 500, 2000)
# Far below the size of the largest edit that the admin program accepts.
OBJECTS_PER_EDIT = 250
GROUP_SIZES = (2, 6, 14)
SETTLE_S = 3.0
IN_FORCE_LIMIT_S = 8.0
PER_THOUSAND = 1000
LOAD_HEADER = (
    *("requests in flight", "tokens each", "requests/s", "chunks/s"),
    *("entry cores", "entry RSS (MB)"),
)
SIZE_HEADER = ("more objects", "groups", *(f"{name} RSS (MB)" for name in PROGRAMS))
SLOPE_HEADER = ("slope", "at 0", "for each unit")


@dataclass(frozen=True, slots=True)
class LoadPoint:
    """Rates and costs of the entry process at one load."""

    step: Step
    rss_mb: float

    @property
    def tokens_per_s(self) -> float:
        """Return the rate of chunks, of which nearly all are tokens."""
        return self.step.chunks_per_s


@dataclass(frozen=True, slots=True)
class SizePoint:
    """Memory of each program with a number of configured objects and groups."""

    objects: int
    groups: int
    rss_mb: dict[str, float]


@dataclass(frozen=True, slots=True)
class Slope:
    """Least-squares line through measured points."""

    name: str
    at_zero: float
    per_unit: float


async def async_measure_loads() -> list[LoadPoint]:
    """Measure growing loads, first of short responses, then of streams."""
    options = single_node_options(GROUPS, ENGINE_OPTIONS)
    loads = [(count, SHORT_TOKENS) for count in SHORT_IN_FLIGHT]
    loads += [(count, STREAM_TOKENS) for count in STREAMS_IN_FLIGHT]
    points = []
    async with serving_cluster(options, GROUPS, 1) as cluster:
        pid = cluster.process(cluster.nodes[0].name, "entry").pid
        for in_flight, tokens in loads:
            step = asyncio.create_task(async_step(cluster, in_flight, tokens, STEP_S))
            peak_mb = 0.0
            while not step.done():
                # Memory is sampled under load, not after its end.
                peak_mb = max(peak_mb, memory_mb(pid))
                await asyncio.wait([step], timeout=0.5)
            points.append(LoadPoint(await step, peak_mb))
    return points


async def async_measure_sizes() -> list[SizePoint]:
    """Measure memory, first by the number of objects, then by that of groups."""
    points = [await _async_size(count, GROUP_SIZES[0]) for count in OBJECTS]
    points += [await _async_size(0, count) for count in GROUP_SIZES[1:]]
    return points


async def _async_size(objects: int, groups: int) -> SizePoint:
    options = single_node_options(groups, ENGINE_OPTIONS)
    async with serving_cluster(options, groups, 1) as cluster:
        teams = [_team(number) for number in range(objects)]
        for start in range(0, objects, OBJECTS_PER_EDIT):
            await async_apply(cluster, teams[start : start + OBJECTS_PER_EDIT])
        await async_wait_for(
            lambda: _async_has_objects(cluster, objects), IN_FORCE_LIMIT_S, "objects"
        )
        await asyncio.sleep(SETTLE_S)
        name = cluster.nodes[0].name
        rss = {
            program: memory_mb(cluster.process(name, program).pid)
            for program in PROGRAMS
        }
        return SizePoint(objects, groups, rss)


def _team(number: int) -> dict[str, Any]:
    return {
        "kind": "team",
        "name": f"team-{number}",
        "labels": {"site": "hokkaido", "number": str(number)},
        "token_sha256": [sha256_hex(f"token-{number}")],
    }


async def _async_has_objects(cluster: Cluster, objects: int) -> bool:
    """Return whether every program has a configuration of at least `objects`."""
    node = cluster.nodes[0]
    urls = [f"{node.ops_address(program)}/status" for program in PROGRAMS]
    responses = await asyncio.gather(*map(cluster.async_get, urls))
    return all(body and body["config"]["objects"] >= objects for _, body in responses)


def load_slopes(points: Sequence[LoadPoint]) -> list[Slope]:
    """Return how processor time and memory grow with the load."""
    short = [point for point in points if point.step.tokens == SHORT_TOKENS]
    streams = [point for point in points if point.step.tokens == STREAM_TOKENS]
    by_requests = [(p.step.requests_per_s, p.step.entry_cores) for p in short]
    by_tokens = [(p.tokens_per_s / PER_THOUSAND, p.step.entry_cores) for p in streams]
    by_streams = [(float(p.step.in_flight), p.rss_mb) for p in streams]
    return [
        _slope("entry cores for each request/s", by_requests),
        _slope("entry cores for each 1,000 tokens/s", by_tokens),
        _slope("entry RSS (MB) for each request in flight", by_streams),
    ]


def size_slopes(points: Sequence[SizePoint]) -> list[Slope]:
    """Return how the memory of each program grows with the configuration."""
    by_objects = [point for point in points if point.groups == GROUP_SIZES[0]]
    by_groups = [point for point in points if point.objects == OBJECTS[0]]
    slopes = []
    for program in PROGRAMS:
        objects = [(p.objects / PER_THOUSAND, p.rss_mb[program]) for p in by_objects]
        groups = [(float(p.groups), p.rss_mb[program]) for p in by_groups]
        slopes.append(_slope(f"{program} RSS (MB) for each 1,000 objects", objects))
        slopes.append(_slope(f"{program} RSS (MB) for each group of one VM", groups))
    return slopes


def load_row(point: LoadPoint) -> list[str]:
    """Return the line of a table with LOAD_HEADER."""
    step = point.step
    return [
        *(str(step.in_flight), str(step.tokens)),
        *(f"{step.requests_per_s:.1f}", f"{step.chunks_per_s:.0f}"),
        *(f"{step.entry_cores:.3f}", f"{point.rss_mb:.1f}"),
    ]


def size_row(point: SizePoint) -> list[str]:
    """Return the line of a table with SIZE_HEADER."""
    memory = [f"{point.rss_mb[program]:.1f}" for program in PROGRAMS]
    return [str(point.objects), str(point.groups), *memory]


def slope_row(item: Slope) -> list[str]:
    """Return the line of a table with SLOPE_HEADER."""
    return [item.name, f"{item.at_zero:.4g}", f"{item.per_unit:.4g}"]


def _slope(name: str, points: Sequence[tuple[float, float]]) -> Slope:
    return Slope(name, intercept(points), slope(points))
