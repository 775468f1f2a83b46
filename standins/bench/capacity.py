"""Measures how many requests and chunks an entry process forwards for each core."""

import asyncio
import json
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from ..cluster import Cluster
from ..demo import MODEL, TEAM_TOKEN
from ..processes import ROOT, ProcessError
from .cluster import serving_cluster, single_node_options
from .figures import cpu_s, wait_s

GENERATORS = 3
GROUPS = 6
ENGINE_OPTIONS = ("--token-ms", "4", "--first-token-ms", "2", "--slots", "1000")
REQUEST_STEPS = (3, 12, 24, 48, 96)
CHUNK_STEPS = (18, 36, 72, 144, 288)
SHORT_TOKENS = 1
LONG_TOKENS = 250
WARM_UP_S = 2.0
STEP_S = 3.0
# A process that uses more than this share of a core counts as the limit of a step.
BUSY_CORES = 0.9
END_LIMIT_S = 20.0


@dataclass(frozen=True, slots=True)
class Step:
    """Rates and used cores at one load; `engine_cores` is that of the busiest engine.

    `entry_wait_share` is the share of the time in which the entry process was runnable
    without a processor.
    """

    in_flight: int
    tokens: int
    requests_per_s: float
    chunks_per_s: float
    errors_per_s: float
    entry_cores: float
    generator_cores: float
    engine_cores: float
    entry_wait_share: float = 0.0
    last_error: str = ""

    @property
    def limit(self) -> str:
        """Return the part that used a whole core, or `none`."""
        for name, cores in (
            ("entry", self.entry_cores),
            ("load generator", self.generator_cores),
            ("engine", self.engine_cores),
        ):
            if cores >= BUSY_CORES:
                return name
        if self.entry_cores + self.entry_wait_share >= BUSY_CORES:
            return "machine (the entry process waits for a processor)"
        return "none"


@dataclass(frozen=True, slots=True)
class Capacity:
    """The steps of a kind of load, in the order of growing load."""

    steps: tuple[Step, ...]

    @property
    def best(self) -> Step:
        """Return the step in which the entry process used most of a core."""
        return max(self.steps, key=lambda step: step.entry_cores)

    @property
    def requests_per_core_s(self) -> float:
        """Return the requests/s for each core of the entry process."""
        return self.best.requests_per_s / self.best.entry_cores

    @property
    def chunks_per_core_s(self) -> float:
        """Return the chunks/s for each core of the entry process."""
        return self.best.chunks_per_s / self.best.entry_cores


async def async_measure_capacity() -> dict[str, Capacity]:
    """Raise the load of short and of long responses until the entry process is busy."""
    options = single_node_options(GROUPS, ENGINE_OPTIONS)
    async with serving_cluster(options, GROUPS, 1) as cluster:
        return {
            "requests": await _async_raise(cluster, REQUEST_STEPS, SHORT_TOKENS),
            "chunks": await _async_raise(cluster, CHUNK_STEPS, LONG_TOKENS),
        }


async def _async_raise(cluster: Cluster, loads: Sequence[int], tokens: int) -> Capacity:
    steps: list[Step] = []
    for in_flight in loads:
        steps.append(await async_step(cluster, in_flight, tokens))
        if steps[-1].limit == "entry":
            break
    return Capacity(tuple(steps))


async def async_step(
    cluster: Cluster, in_flight: int, tokens: int, seconds: float = STEP_S
) -> Step:
    """Keep some requests in flight through the first node and return the rates."""
    entry = cluster.process(cluster.nodes[0].name, "entry").pid
    engines = [cluster.process(vm.vm).pid for vm in cluster.vms]
    start_s = time.monotonic() + WARM_UP_S
    loads = [
        asyncio.create_task(_async_generate(cluster, share, tokens, start_s, seconds))
        for share in _split_requests(in_flight)
    ]
    await asyncio.sleep(start_s - time.monotonic())
    first_s, before = time.monotonic(), _wait_and_cpu_s(entry, engines)
    await asyncio.sleep(seconds)
    took_s, after = time.monotonic() - first_s, _wait_and_cpu_s(entry, engines)
    cores = [(b - a) / took_s for a, b in zip(before, after, strict=True)]
    results = await asyncio.gather(*loads)
    totals = {
        name: sum(result[name] for result in results)
        for name in ("requests_per_s", "chunks_per_s", "errors_per_s")
    }
    return Step(
        in_flight=in_flight,
        tokens=tokens,
        **totals,
        entry_wait_share=cores[0],
        entry_cores=cores[1],
        generator_cores=max(result["cpu_cores"] for result in results),
        engine_cores=max(cores[2:]),
        last_error=next((r["last_error"] for r in results if r["last_error"]), ""),
    )


def _wait_and_cpu_s(entry: int, engines: Sequence[int]) -> list[float]:
    """Return the wait time of the entry process, then the processor time of all."""
    return [wait_s(entry), *(cpu_s(pid) for pid in (entry, *engines))]


def _split_requests(in_flight: int) -> list[int]:
    """Divide the requests in flight among the load generators."""
    shares = [
        in_flight // GENERATORS + (number < in_flight % GENERATORS)
        for number in range(GENERATORS)
    ]
    return [share for share in shares if share]


async def _async_generate(
    cluster: Cluster, connections: int, tokens: int, start_s: float, seconds: float
) -> dict[str, Any]:
    options = {
        "port": cluster.nodes[0].ports["entry"],
        "token": TEAM_TOKEN,
        "model": MODEL,
        "tokens": tokens,
        "connections": connections,
        "start-s": start_s,
        "seconds": seconds,
    }
    command = [part for key, value in options.items() for part in (f"--{key}", value)]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "standins.bench.client",
        *map(str, command),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(WARM_UP_S + seconds + END_LIMIT_S):
            output, _ = await process.communicate()
    except TimeoutError:
        process.kill()
        raise ProcessError("a load generator did not end") from None
    if process.returncode != 0:
        raise ProcessError(f"a load generator ended with {process.returncode}")
    result: dict[str, Any] = json.loads(output)
    return result
