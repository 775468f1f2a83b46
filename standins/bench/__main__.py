"""Measures the system against its baselines and targets.

Prints a Markdown table and, as the last line, one JSON object.
"""

import asyncio
import json
import os
import time
from collections.abc import Sequence
from dataclasses import asdict
from typing import Any

import click

from ..demo import GROUPS, MEMBERS
from ..layout import ClusterOptions
from .capacity import Capacity, async_measure_capacity
from .cluster import serving_cluster
from .figures import Summary, load_average, markdown_table
from .idle import (
    CONTROL_CPU_PERCENT,
    CONTROL_KB_PER_S,
    CONTROL_RSS_MB,
    IdleCost,
    async_measure_idle,
)
from .latency import async_measure_latency
from .prefix import RoutingResult, async_measure_prefix, best_hit_share
from .slopes import (
    LOAD_HEADER,
    SIZE_HEADER,
    SLOPE_HEADER,
    async_measure_loads,
    async_measure_sizes,
    load_row,
    load_slopes,
    size_row,
    size_slopes,
    slope_row,
)

Row = tuple[str, str, str]
HEADER = ("figure", "system", "baseline or target")
PERCENT = 100


def print_progress(text: str) -> None:
    """Print a progress line to standard error."""
    click.echo(text, err=True)


def latency_rows(latency: dict[str, Summary]) -> list[Row]:
    """Return the added latency next to that of the same requests sent directly."""
    direct = latency["first_token_direct_ms"]
    rows = [("first token", "first_token_through_ms", _summary(direct))]
    rows += [
        ("first token, added", "first_token_added_ms", "0 (directly to the leader)"),
        ("later chunks, added", "chunk_added_ms", "0 (directly to the leader)"),
        ("gap between chunks, added", "gap_added_ms", "0 (directly to the leader)"),
    ]
    return [
        (f"{name} (ms)", _summary(latency[key]), baseline)
        for name, key, baseline in rows
    ]


def _summary(item: Summary) -> str:
    return (
        f"median {item.median}, p95 {item.p95}, interquartile range {item.spread}"
        f" (n = {item.count})"
    )


def capacity_rows(capacity: dict[str, Capacity]) -> list[Row]:
    """Return the rates for each entry core and what limited them."""
    requests, chunks = capacity["requests"], capacity["chunks"]
    return [
        (
            f"requests/s for each entry core ({requests.best.tokens} token)",
            f"{requests.requests_per_core_s:.0f}",
            _limits(requests),
        ),
        (
            f"chunks/s for each entry core ({chunks.best.tokens} tokens)",
            f"{chunks.chunks_per_core_s:.0f}",
            _limits(chunks),
        ),
    ]


def _limits(capacity: Capacity) -> str:
    step = capacity.best
    return (
        f"limited by: {step.limit}; {step.in_flight} in flight, cores: entry"
        f" {step.entry_cores:.2f}, busiest load generator {step.generator_cores:.2f},"
        f" busiest engine {step.engine_cores:.2f}; errors/s {step.errors_per_s:.1f};"
        f" {step.requests_per_s:.0f} requests/s, {step.chunks_per_s:.0f} chunks/s"
    )


def idle_rows(costs: Sequence[IdleCost]) -> list[Row]:
    """Return the idle costs, with the targets of the control program."""
    rows: list[Row] = []
    for cost in costs:
        is_control = cost.program == "control"
        cpu = f"{cost.cpu_percent:.2f} (most {cost.cpu_percent_max:.2f})"
        rss = f"{cost.rss_mb:.1f} (most {cost.rss_mb_max:.1f})"
        cpu_target = f"at most {CONTROL_CPU_PERCENT}" if is_control else "none"
        rss_target = f"at most {CONTROL_RSS_MB:.0f}" if is_control else "none"
        rows.append((f"idle {cost.program}, % of a core", cpu, cpu_target))
        rows.append((f"idle {cost.program}, RSS (MB)", rss, rss_target))
        if cost.kb_per_s is not None:
            rate = cost.kb_per_s
            text = (
                f"{rate.total:.2f} (most {cost.kb_per_s_max:.2f}): links"
                f" {rate.link_sent:.2f} sent, {rate.link_received:.2f} received;"
                f" probes {rate.probes:.2f} in both directions"
            )
            target = f"at most {CONTROL_KB_PER_S:.0f}"
            rows.append((f"idle {cost.program}, KB/s", text, target))
    return rows


def prefix_rows(results: dict[str, RoutingResult]) -> list[Row]:
    """Return prefix-affinity routing next to random and round-robin choice."""
    system, at_random = results["system"], results["random"]
    round_robin = results["round_robin"]
    return [
        (
            "cache hit share of prompt blocks (%)",
            f"{PERCENT * system.hit_share:.1f}",
            f"random {PERCENT * at_random.hit_share:.1f},"
            f" round robin {PERCENT * round_robin.hit_share:.1f},"
            f" one unlimited cache {PERCENT * best_hit_share():.1f}",
        ),
        (
            "first token with multi-turn prompts, p95 (ms)",
            f"{system.first_token_ms.p95}",
            f"random {at_random.first_token_ms.p95},"
            f" round robin {round_robin.first_token_ms.p95}",
        ),
    ]


async def async_bench() -> dict[str, Any]:
    """Measure all figures; print their table and return them."""
    start_s, load_at_start = time.monotonic(), load_average()
    print_progress("default cluster: added latency")
    async with serving_cluster(ClusterOptions(), GROUPS, MEMBERS) as cluster:
        latency = await async_measure_latency(cluster)
        print_progress("default cluster: idle costs")
        idle = await async_measure_idle(cluster)
    print_progress("one entry process: requests/s and chunks/s")
    capacity = await async_measure_capacity()
    print_progress("prefix-affinity routing")
    prefix = await async_measure_prefix()
    rows = latency_rows(latency) + capacity_rows(capacity)
    rows += idle_rows(idle) + prefix_rows(prefix)
    figures = {
        "latency": {name: asdict(item) for name, item in latency.items()},
        "capacity": {
            name: {
                "requests_per_core_s": item.requests_per_core_s,
                "chunks_per_core_s": item.chunks_per_core_s,
                "limit": item.best.limit,
                "steps": [asdict(step) for step in item.steps],
            }
            for name, item in capacity.items()
        },
        "idle": [asdict(item) for item in idle],
        "prefix": {
            name: {"hit_share": item.hit_share, **asdict(item)}
            for name, item in prefix.items()
        },
    }
    return _finish(markdown_table(HEADER, rows), figures, load_at_start, start_s)


async def async_slopes() -> dict[str, Any]:
    """Measure the slopes; print their table and return them."""
    start_s, load_at_start = time.monotonic(), load_average()
    print_progress("cost by load")
    loads = await async_measure_loads()
    print_progress("memory by objects and groups")
    sizes = await async_measure_sizes()
    slopes = load_slopes(loads) + size_slopes(sizes)
    tables = (
        markdown_table(LOAD_HEADER, [load_row(point) for point in loads]),
        markdown_table(SIZE_HEADER, [size_row(point) for point in sizes]),
        markdown_table(SLOPE_HEADER, [slope_row(item) for item in slopes]),
    )
    figures = {
        "slopes": [asdict(item) for item in slopes],
        "loads": [asdict(point) for point in loads],
        "sizes": [asdict(point) for point in sizes],
    }
    return _finish("\n\n".join(tables), figures, load_at_start, start_s)


def _finish(
    table: str, figures: dict[str, Any], load_at_start: list[float], start_s: float
) -> dict[str, Any]:
    load_at_end = load_average()
    click.echo(table)
    click.echo(
        f"\nLoad average: {load_at_start} at the start, {load_at_end} at the end;"
        f" {os.cpu_count()} processors.\n"
    )
    result = {
        **figures,
        "load_average_start": load_at_start,
        "load_average_end": load_at_end,
        "processors": os.cpu_count(),
        "seconds": time.monotonic() - start_s,
    }
    return {name: _rounded(value) for name, value in result.items()}


def _rounded(value: Any) -> Any:
    match value:
        case float():
            return round(value, 4)
        case dict():
            return {key: _rounded(item) for key, item in value.items()}
        case list() | tuple():
            return [_rounded(item) for item in value]
        case _:
            return value


@click.command()
@click.option("--slopes", is_flag=True, help="Measure slopes for capacity planning.")
def main(slopes: bool) -> None:
    """Measure the system; the last line of the output is the result as JSON."""
    result = asyncio.run(async_slopes() if slopes else async_bench())
    click.echo(json.dumps(result))


if __name__ == "__main__":
    main()
