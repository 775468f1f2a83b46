"""Measures what the programs cost while no request arrives."""

import asyncio
from dataclasses import dataclass

from .cluster import Cluster
from .figures import cpu_s, memory_mb, metric_total
from .layout import PROGRAMS, NodeLayout
from .processes import ProcessError

SETTLE_S = 3.0
IDLE_S = 16.0
BYTES_PER_KB = 1024
PERCENT = 100
CONTROL_CPU_PERCENT = 1.5
CONTROL_RSS_MB = 64.0
CONTROL_KB_PER_S = 2.0
BYTE_METRICS = ("gooseberryhall_link_bytes_total", "gooseberryhall_probe_bytes_total")


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Mean and greatest cost of a program over the nodes; bytes only for control."""

    program: str
    cpu_percent: float
    cpu_percent_max: float
    rss_mb: float
    rss_mb_max: float
    kb_per_s: float | None = None
    kb_per_s_max: float | None = None


async def async_measure_idle(cluster: Cluster) -> list[IdleCost]:
    """Return the idle cost of each program in a running cluster."""
    await asyncio.sleep(SETTLE_S)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    cpu = {key: cpu_s(pid) for key, pid in _pids(cluster).items()}
    sent = {node.name: await _async_bytes(cluster, node) for node in cluster.nodes}
    await asyncio.sleep(IDLE_S)
    seconds = loop.time() - started_s
    used = {
        key: PERCENT * (cpu_s(pid) - cpu[key]) / seconds
        for key, pid in _pids(cluster).items()
    }
    rates = [
        (await _async_bytes(cluster, node) - sent[node.name]) / seconds / BYTES_PER_KB
        for node in cluster.nodes
    ]
    return [_cost(cluster, program, used, rates) for program in PROGRAMS]


def _cost(
    cluster: Cluster,
    program: str,
    used: dict[tuple[str, str], float],
    rates: list[float],
) -> IdleCost:
    pids = {key: pid for key, pid in _pids(cluster).items() if key[1] == program}
    cpu = [used[key] for key in pids]
    rss = [memory_mb(pid) for pid in pids.values()]
    has_bytes = program == "control"
    return IdleCost(
        program=program,
        cpu_percent=_mean(cpu),
        cpu_percent_max=max(cpu),
        rss_mb=_mean(rss),
        rss_mb_max=max(rss),
        kb_per_s=_mean(rates) if has_bytes else None,
        kb_per_s_max=max(rates) if has_bytes else None,
    )


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _pids(cluster: Cluster) -> dict[tuple[str, str], int]:
    return {
        (node.name, program): cluster.process(node.name, program).pid
        for node in cluster.nodes
        for program in PROGRAMS
    }


async def _async_bytes(cluster: Cluster, node: NodeLayout) -> float:
    url = f"{node.ops_address('control')}/metrics"
    async with cluster.session.get(url) as response:
        text = await response.text()
    if BYTE_METRICS[0] not in text:
        raise ProcessError(f"{url}: no {BYTE_METRICS[0]}")
    return sum(metric_total(text, name) for name in BYTE_METRICS)
