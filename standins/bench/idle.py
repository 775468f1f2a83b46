"""Measures the cost of the programs while no request arrives."""

import asyncio
from dataclasses import astuple, dataclass

from ..cluster import Cluster
from ..layout import PROGRAMS, NodeLayout
from ..processes import ProcessError
from .figures import cpu_s, memory_mb, metric_total

SETTLE_S = 3.0
IDLE_S = 16.0
BYTES_PER_KB = 1024
PERCENT = 100
CONTROL_CPU_PERCENT = 1.5
CONTROL_RSS_MB = 64.0
CONTROL_KB_PER_S = 2.0
PROBE_BYTES = "gooseberryhall_probe_bytes_total"
LINK_BYTES = "gooseberryhall_link_bytes_total"
# Only links to peers; those to other programs of the VM do not use the network.
PEERS = 'scope="peers"'


@dataclass(frozen=True, slots=True)
class Traffic:
    """Traffic of a control program by purpose, in bytes or in KB per second."""

    link_sent: float
    link_received: float
    probes: float

    @property
    def total(self) -> float:
        """Return the sum of both directions and the probes."""
        return self.link_sent + self.link_received + self.probes


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Mean and greatest cost of a program over the nodes; traffic of control only."""

    program: str
    cpu_percent: float
    cpu_percent_max: float
    rss_mb: float
    rss_mb_max: float
    kb_per_s: Traffic | None = None
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
        _traffic_rate(sent[node.name], await _async_bytes(cluster, node), seconds)
        for node in cluster.nodes
    ]
    return [_cost(cluster, program, used, rates) for program in PROGRAMS]


def _cost(
    cluster: Cluster,
    program: str,
    used: dict[tuple[str, str], float],
    rates: list[Traffic],
) -> IdleCost:
    pids = {key: pid for key, pid in _pids(cluster).items() if key[1] == program}
    cpu = [used[key] for key in pids]
    rss = [memory_mb(pid) for pid in pids.values()]
    is_control = program == "control"
    return IdleCost(
        program=program,
        cpu_percent=_mean(cpu),
        cpu_percent_max=max(cpu),
        rss_mb=_mean(rss),
        rss_mb_max=max(rss),
        kb_per_s=_mean_traffic(rates) if is_control else None,
        kb_per_s_max=max(rate.total for rate in rates) if is_control else None,
    )


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _traffic_rate(before: Traffic, after: Traffic, seconds: float) -> Traffic:
    """Return the KB per second between two readings."""
    return Traffic(
        *(
            (last - first) / seconds / BYTES_PER_KB
            for first, last in zip(astuple(before), astuple(after), strict=True)
        )
    )


def _mean_traffic(rates: list[Traffic]) -> Traffic:
    columns = zip(*(astuple(rate) for rate in rates), strict=True)
    return Traffic(*(_mean(list(column)) for column in columns))


def _pids(cluster: Cluster) -> dict[tuple[str, str], int]:
    return {
        (node.name, program): cluster.process(node.name, program).pid
        for node in cluster.nodes
        for program in PROGRAMS
    }


async def _async_bytes(cluster: Cluster, node: NodeLayout) -> Traffic:
    url = f"{node.ops_address('control')}/metrics"
    async with cluster.session.get(url) as response:
        text = await response.text()
    if LINK_BYTES not in text or PROBE_BYTES not in text:
        raise ProcessError(f"{url}: the byte metrics are missing")
    return Traffic(
        link_sent=metric_total(text, LINK_BYTES, 'direction="sent"', PEERS),
        link_received=metric_total(text, LINK_BYTES, 'direction="received"', PEERS),
        probes=metric_total(text, PROBE_BYTES),
    )
