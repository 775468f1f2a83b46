"""Helpers of the request tests: the cluster, its callers, faults and recovery."""

import asyncio
import hashlib
import json
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from standins.answers import expected_answer
from standins.client import ServiceResult, async_service_call
from standins.cluster import Cluster, async_wait_for
from standins.demo import (
    MODEL,
    SERVICE,
    TEAM_TOKEN,
    async_apply,
    async_serving_groups,
    async_wait_serving,
    declared_objects,
)
from standins.layout import ClusterOptions, NodeLayout
from standins.proxy import FaultProxy

GROUPS = 3
RECOVERY_LIMIT_S = 40.0
# Shorter than in production, so that tests of stalled streams take only seconds.
FIRST_TOKEN_LIMIT_S = 1.5
CHUNK_LIMIT_S = 1.0
CALLER_LIMIT_S = 30.0
TEAM_HEADERS = {"Authorization": f"Bearer {TEAM_TOKEN}"}
SIZES = ClusterOptions(
    zones=("obihiro",),
    nodes_per_zone=3,
    domains_per_zone=1,
    vms_per_domain=2 * GROUPS,
    services_per_zone=2,
    service=SERVICE,
    vm_list_lag_s=0.3,
    weight_bytes=64 * 1024,
    engine_options=("--crash-marker",),
    entry_settings={
        "first_token_limit_s": FIRST_TOKEN_LIMIT_S,
        "chunk_limit_s": CHUNK_LIMIT_S,
    },
)


@dataclass(slots=True)
class RunningSystem:
    """Running cluster; the servers of the plain service are behind fault proxies."""

    cluster: Cluster
    session: aiohttp.ClientSession
    service_proxies: dict[str, FaultProxy]

    @property
    def nodes(self) -> tuple[NodeLayout, ...]:
        """Return the entry VMs."""
        return self.cluster.nodes

    def chat_url(self, node: NodeLayout) -> str:
        """Return the URL of chat completions at an entry node."""
        return f"{node.address('entry')}/v1/chat/completions"


async def async_start(stack: AsyncExitStack) -> RunningSystem:
    """Start the cluster and wait until every group serves."""
    cluster = await stack.enter_async_context(Cluster(SIZES, proxied=("engines",)))
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    session = await stack.enter_async_context(
        aiohttp.ClientSession(connector=connector)
    )
    proxies = {
        item.name: await stack.enter_async_context(FaultProxy(item.port))
        for item in cluster.services
    }
    objects = declared_objects(cluster)
    for item in objects:
        if item["kind"] == "team":
            item["requests_per_s"] = 1000.0
        if item["kind"] == "group-spec":
            item.update(min_groups=GROUPS, max_groups=GROUPS)
        if item["kind"] == "plain-service":
            for server in item["servers"]:
                server["address"] = f"http://127.0.0.1:{proxies[server['name']].port}"
    await async_apply(cluster, objects)
    system = RunningSystem(cluster, session, proxies)
    await async_wait_recovered(system)
    return system


async def async_wait_recovered(system: RunningSystem) -> None:
    """Wait until all groups serve and every node accepts requests."""
    await async_wait_serving(system.cluster, GROUPS, RECOVERY_LIMIT_S)
    await system.cluster.async_wait_accepting(RECOVERY_LIMIT_S)


async def async_end_faults(system: RunningSystem) -> None:
    """End all faults and wait until the cluster has recovered."""
    cluster = system.cluster
    for proxy in (*system.service_proxies.values(), *cluster.engine_proxies.values()):
        await proxy.async_restore()
    for name, process in cluster.processes.by_name.items():
        if process.is_paused:
            process.resume()
        if not process.is_running and name != "cli":
            process.start()
    await asyncio.gather(*(cluster.async_wait_ready(vm.vm) for vm in cluster.vms))
    await asyncio.gather(
        *(cluster.async_wait_ready(item.name) for item in cluster.services)
    )
    await cluster.async_control(
        cluster.platform_address, down=False, hang=False, delay_ms=0, lose_answers=0
    )
    for service in cluster.services:
        await cluster.async_control(
            service.address, down=False, hang=False, delay_ms=0, lose_answers=0
        )
    await async_set_speed(system, 1)
    await async_wait_recovered(system)


# Plain service


async def async_send_command(
    system: RunningSystem,
    node: NodeLayout,
    key: str | None,
    *,
    path: str = "fans/7/start",
    body: Any = None,
    deadline_ms: int | None = None,
) -> ServiceResult:
    """Send a fan command, which is not idempotent, through an entry node."""
    headers = dict(TEAM_HEADERS)
    if key is not None:
        headers["Idempotency-Key"] = key
    if deadline_ms is not None:
        headers["X-Deadline-Ms"] = str(deadline_ms)
    url = f"{node.address('entry')}/services/{SERVICE}/{path}"
    return await async_service_call(
        system.session,
        "POST",
        url,
        headers=headers,
        body=body,
        timeout_s=CALLER_LIMIT_S,
    )


async def async_read_fan(system: RunningSystem, node: NodeLayout) -> ServiceResult:
    """Read the state of a fan, which is idempotent."""
    url = f"{node.address('entry')}/services/{SERVICE}/fans/7"
    return await async_service_call(system.session, "GET", url, headers=TEAM_HEADERS)


async def async_run_count(system: RunningSystem, key: str) -> int:
    """Return how many times the servers ran the command with a key."""
    records = [
        await system.cluster.async_records(item.address)
        for item in system.cluster.services
    ]
    return sum(
        run["idempotency_key"] == key for record in records for run in record["runs"]
    )


async def async_claim_state(system: RunningSystem, key: str) -> str | None:
    """Return the state of a claim in the table, or None if there is no claim."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    url = f"{system.cluster.platform_address}/row?key=claim/harvest/{digest}"
    status, row = await system.cluster.async_get(url)
    return row["value"]["state"] if status == 200 else None


async def async_wait_claim(system: RunningSystem, key: str, state: str) -> None:
    """Wait until a claim has a state."""

    async def async_has_state() -> bool:
        return await async_claim_state(system, key) == state

    await async_wait_for(async_has_state, 5.0, f"claim {state}")


async def async_inject_service_fault(system: RunningSystem, **values: Any) -> None:
    """Inject faults into all servers of the plain service, or end them."""
    for item in system.cluster.services:
        await system.cluster.async_control(item.address, **values)


# Model requests


@dataclass(slots=True)
class CallerStream:
    """Data that the caller of a streamed chat has received so far."""

    expected: str
    status: int = 0
    texts: list[str] = field(default_factory=list)
    error: dict[str, Any] = field(default_factory=dict)
    done: bool = False
    broken: str = ""
    started: asyncio.Event = field(default_factory=asyncio.Event)
    task: "asyncio.Task[None] | None" = None

    @property
    def text(self) -> str:
        """Return the text received so far."""
        return "".join(self.texts)

    @property
    def is_complete(self) -> bool:
        """Return whether the complete response to this request was received."""
        return self.done and not self.error and self.text == self.expected

    @property
    def is_visibly_incomplete(self) -> bool:
        """Return whether the response ended with an error instead of `[DONE]`.

        Its text must be a prefix of the expected one.
        """
        return (
            bool(self.error) and not self.done and self.expected.startswith(self.text)
        )

    async def async_wait_started(self) -> None:
        """Wait for the first text."""
        async with asyncio.timeout(CALLER_LIMIT_S):
            await self.started.wait()

    async def async_wait_ended(self) -> "CallerStream":
        """Wait for the end of the response."""
        assert self.task is not None
        await self.task
        return self

    def parse_line(self, line: bytes) -> None:
        """Parse one line of server-sent events."""
        if not line.startswith(b"data: "):
            return
        data = line[len(b"data: ") :].strip()
        if data == b"[DONE]":
            self.done = True
            return
        chunk = json.loads(data)
        if "error" in chunk:
            self.error = chunk["error"]
            return
        for choice in chunk["choices"]:
            self.texts.append(choice["delta"].get("content") or "")
        if self.texts:
            self.started.set()


def start_chat(
    system: RunningSystem, node: NodeLayout, prompt: str, tokens: int = 20
) -> CallerStream:
    """Start a streamed chat, whose response a background task reads."""
    messages = [{"role": "user", "content": prompt}]
    stream = CallerStream(expected_answer(messages, tokens))
    body = {"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": True}

    async def async_read() -> None:
        timeout = aiohttp.ClientTimeout(total=CALLER_LIMIT_S)
        try:
            async with system.session.post(
                system.chat_url(node), json=body, headers=TEAM_HEADERS, timeout=timeout
            ) as response:
                stream.status = response.status
                if response.status != 200:
                    stream.error = (await response.json())["error"]
                    return
                async for line in response.content:
                    stream.parse_line(line)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            stream.broken = repr(exc)

    stream.task = asyncio.create_task(async_read())
    return stream


async def async_chat(
    system: RunningSystem, node: NodeLayout, prompt: str, tokens: int = 20
) -> CallerStream:
    """Send a streamed chat and wait for the end of its response."""
    return await start_chat(system, node, prompt, tokens).async_wait_ended()


async def async_set_speed(
    system: RunningSystem, slow_factor: float, vms: Sequence[str] = ()
) -> None:
    """Multiply the time per token of engines, by default of all, by a factor."""
    for vm in vms or [item.vm for item in system.cluster.vms]:
        address = system.cluster.engine_address(vm)
        await system.cluster.async_control(address, slow_factor=float(slow_factor))


async def async_leaders(system: RunningSystem) -> list[str]:
    """Return the leaders of the serving groups."""
    groups = await async_serving_groups(system.cluster, system.nodes[0])
    return [members[0] for members in groups.values()]


async def async_busy_leader(system: RunningSystem) -> str:
    """Wait until an engine runs a request and return the VM of that engine."""
    found: list[str] = []

    async def async_is_found() -> bool:
        for item in system.cluster.vms:
            url = f"{system.cluster.engine_address(item.vm)}/health"
            _, health = await system.cluster.async_get(url)
            if health and health["active"]:
                found.append(item.vm)
        return bool(found)

    await async_wait_for(async_is_found, 5.0, "a running request", period_s=0.01)
    return found[0]


async def async_engine_total(system: RunningSystem, counter: str) -> int:
    """Return the sum of a counter over all engines."""
    records = [
        await system.cluster.async_records(system.cluster.engine_address(item.vm))
        for item in system.cluster.vms
    ]
    return sum(int(record[counter]) for record in records)


class Stopwatch:
    """Measures the time since its creation."""

    def __init__(self) -> None:
        """Start measuring."""
        self._start_s = time.monotonic()

    @property
    def elapsed_s(self) -> float:
        """Return the elapsed time in seconds."""
        return time.monotonic() - self._start_s
