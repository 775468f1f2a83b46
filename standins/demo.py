"""Demonstrate streams, commands, the failure of a member and a planned stop."""

import asyncio
import itertools
import json
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import click

from .client import ChatResult, async_chat, async_service_call
from .cluster import Cluster, async_wait_for
from .http import HOST
from .layout import ClusterOptions, NodeLayout, sha256_hex
from .load import percentile
from .processes import ProcessError

MODEL = "silo-assistant"
SPEC = "assistant"
SERVICE = "silo"
TEAM_TOKEN = "demo-team-token"  # noqa: S105 - used by this demonstration only
GROUPS = 5
MEMBERS = 2
SERVE_LIMIT_S = 30.0
CLOSE_LIMIT_S = 3.0
REGROUP_LIMIT_S = 30.0
STOP_LIMIT_S = 30.0
CHAT_TOKENS = 40
PAIRS = 30
PAIR_TOKENS = 10
LONG_STREAM_TOKENS = 900
MS_DIGITS = 2
PERCENTILE = 95
MEDIAN = 50
HTTP_OK = 200


class DemoError(Exception):
    """The system did not behave as promised."""


@dataclass(slots=True)
class Demo:
    """State and measurements of a demonstration."""

    cluster: Cluster
    session: aiohttp.ClientSession
    chats: list[ChatResult] = field(default_factory=list)
    fan_runs: int = -1
    regroup_s: float = -1.0
    added_ms: list[float] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    def report(self, *, finished: bool) -> dict[str, Any]:
        """Return the report, which is printed as the last line."""
        whole = sum(chat.outcome == "whole" for chat in self.chats)
        cut = len(self.chats) - whole
        gaps = [gap for chat in self.chats for gap in chat.gaps_ms]
        first = [chat.first_token_ms for chat in self.chats if chat.first_token_ms]
        is_ok = finished and whole > 0 and cut == 0 and self.fan_runs == 1
        return {
            "ok": is_ok,
            "answers_whole": whole,
            "answers_cut": cut,
            "fan_runs": self.fan_runs,
            "regroup_s": round(self.regroup_s, MS_DIGITS),
            "first_token_ms_p95": percentile(first, PERCENTILE),
            "inter_token_ms_p95": percentile(gaps, PERCENTILE),
            "added_ms_p50": percentile(self.added_ms, MEDIAN),
        }


def print_progress(text: str) -> None:
    """Print a progress line to standard error."""
    click.echo(text, err=True)


def declared_objects(cluster: Cluster) -> list[dict[str, Any]]:
    """Return the configuration of the demonstration."""
    objects: list[dict[str, Any]] = [
        {
            "kind": "team",
            "name": "harvest",
            "labels": {"site": "hokkaido"},
            "token_sha256": [sha256_hex(TEAM_TOKEN)],
            # Each node admits its share of a limit, and all pairs use the same node.
            "requests_per_s": 600,
            "max_in_flight": 600,
        },
        {
            "kind": "request-kind",
            "name": "chat",
            "labels": {"use": "assistant"},
            "model": MODEL,
            "method": "POST",
            "path_prefix": "/v1/chat/completions",
            "idempotent": True,
        },
        _fan_kind("fan-command", "POST", idempotent=False),
        _fan_kind("fan-status", "GET", idempotent=True),
        {
            "kind": "group-spec",
            "name": SPEC,
            "model": MODEL,
            "version": "1",
            "members": MEMBERS,
            "min_groups": GROUPS,
            "max_groups": GROUPS,
            "vm_selector": "pool=assistant",
            "team_selector": "site=hokkaido",
            "kind_selector": "use=assistant",
        },
        {
            "kind": "plain-service",
            "name": SERVICE,
            "servers": [
                {"name": item.name, "zone": item.zone, "address": item.address}
                for item in cluster.services
            ],
        },
    ]
    objects += [
        {"kind": "vm-labels", "name": item.vm, "labels": {"pool": "assistant"}}
        for item in cluster.vms
    ]
    return objects


def _fan_kind(name: str, method: str, *, idempotent: bool) -> dict[str, Any]:
    return {
        "kind": "request-kind",
        "name": name,
        "service": SERVICE,
        "method": method,
        "path_prefix": "/fans",
        "idempotent": idempotent,
    }


async def async_apply(cluster: Cluster, objects: Sequence[dict[str, Any]]) -> None:
    """Apply a configuration with the operators' command line program."""
    file = cluster.directory / "config.json"
    file.write_text(json.dumps({"objects": list(objects)}, indent=2))
    command = ["-m", "gooseberryhall.cli"]
    for node in cluster.nodes:
        command += ["--admin", node.address("admin")]
    command += ["--token", cluster.layout.editor_token, "apply", str(file)]
    process = cluster.processes.add("cli", command)
    if await process.async_wait_ended(SERVE_LIMIT_S) != 0:
        raise DemoError(f"apply failed:\n{process.log_tail()}")


async def async_status(cluster: Cluster, node: NodeLayout) -> dict[str, Any]:
    """Return the status from a node's admin program; empty if it does not respond."""
    headers = {"Authorization": f"Bearer {cluster.layout.reader_token}"}
    url = f"{node.address('admin')}/v1/status"
    try:
        async with cluster.session.get(url, headers=headers) as response:
            content: dict[str, Any] = await response.json()
            return content if response.status == HTTP_OK else {}
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
        return {}


async def async_serving_groups(
    cluster: Cluster, node: NodeLayout
) -> dict[str, list[str]]:
    """Return the groups that a node lists as serving, with members, leader first."""
    groups = (await async_status(cluster, node)).get("groups", ())
    return {
        item["group"]: list(item["members"])
        for item in groups
        if item["closed"] is None and item["spec"] == SPEC
    }


async def async_wait_serving(
    cluster: Cluster, count: int, limit_s: float, without: Sequence[str] = ()
) -> float:
    """Wait until each node lists `count` serving groups, none with VMs of `without`."""

    async def async_all_serve() -> bool:
        views = [async_serving_groups(cluster, node) for node in cluster.nodes]
        return all(
            len(view) == count
            and not any(vm in without for members in view.values() for vm in members)
            for view in await asyncio.gather(*views)
        )

    return await async_wait_for(async_all_serve, limit_s, f"{count} groups serving")


async def async_send_chat(demo: Demo, node: NodeLayout, tokens: int) -> ChatResult:
    """Send a streamed chat through an entry node and record its result."""
    number = next(demo.numbers)
    messages = [{"role": "user", "content": f"Is silo {number} dry enough to load?"}]
    result = await async_chat(
        demo.session,
        node.address("entry"),
        messages,
        tokens,
        model=MODEL,
        headers={"Authorization": f"Bearer {TEAM_TOKEN}"},
    )
    demo.chats.append(result)
    if result.outcome != "whole":
        print_progress(
            f"  chat through {node.name}: {result.outcome} {result.ran} {result.error}"
        )
    return result


async def async_show_requests(demo: Demo) -> None:
    """Send chats through all nodes, a status read and one command twice."""
    nodes = demo.cluster.nodes
    await asyncio.gather(*(async_send_chat(demo, node, CHAT_TOKENS) for node in nodes))
    headers = {"Authorization": f"Bearer {TEAM_TOKEN}"}
    url = f"{nodes[0].address('entry')}/services/{SERVICE}/fans/7"
    read = await async_service_call(demo.session, "GET", url, headers=headers)
    if read.status != HTTP_OK:
        raise DemoError(f"status read: {read}")
    print_progress(f"status read: {read.body}")
    keyed = {**headers, "Idempotency-Key": "demo-fan-7-start"}
    bodies = []
    for node in (nodes[1], nodes[-1]):
        url = f"{node.address('entry')}/services/{SERVICE}/fans/7/start"
        command = await async_service_call(demo.session, "POST", url, headers=keyed)
        if command.status != HTTP_OK:
            raise DemoError(f"fan command: {command}")
        bodies.append(command.body)
    if bodies[0] != bodies[1]:
        raise DemoError(f"repeated command got different responses: {bodies}")
    demo.fan_runs = await async_count_commands(demo.cluster)
    print_progress(f"fan command sent twice: {demo.fan_runs} run, response {bodies[0]}")


async def async_count_commands(cluster: Cluster) -> int:
    """Return how many commands the servers recorded as run."""
    records = [await cluster.async_records(item.address) for item in cluster.services]
    runs = [run for record in records for run in record["runs"]]
    return sum(run["method"] == "POST" for run in runs)


async def async_measure_added(demo: Demo) -> None:
    """Compare requests through the system with requests directly to a leader."""
    cluster = demo.cluster
    node = cluster.nodes[0]
    groups = await async_serving_groups(cluster, node)
    leaders = [members[0] for members in groups.values()]
    leader = next((vm for vm in leaders if vm.startswith(node.zone)), leaders[0])
    address = cluster.engine_address(leader)
    _, health = await cluster.async_get(f"{address}/health")
    for number in range(PAIRS):
        headers = {
            "X-Group": str(health["group"]),
            "X-Generation": str(health["generation"]),
            "X-Request-Id": f"direct-{number}",
        }
        messages = [{"role": "user", "content": f"Pair {number}"}]
        direct = await async_chat(
            demo.session, address, messages, PAIR_TOKENS, model=MODEL, headers=headers
        )
        through = await async_send_chat(demo, node, PAIR_TOKENS)
        if direct.outcome != "whole":
            raise DemoError(f"directly to the leader: {direct.outcome} {direct.error}")
        demo.added_ms.append(through.total_ms - direct.total_ms)
    print_progress(
        f"added latency: {percentile(demo.added_ms, MEDIAN)} ms at the median"
    )


async def async_show_failure(demo: Demo) -> None:
    """Kill a member in the zone with spare VMs; a new group replaces its group."""
    cluster = demo.cluster
    groups = await async_serving_groups(cluster, cluster.nodes[0])
    zones = {vm.vm: vm.zone for vm in cluster.vms}
    used = Counter(zones[vm] for members in groups.values() for vm in members)
    group, members = min(groups.items(), key=lambda item: used[zones[item[1][0]]])
    killed_vm = members[-1]
    start_s = time.monotonic()
    cluster.kill(killed_vm)
    print_progress(f"killed {killed_vm} of group {group}")

    async def async_is_closed() -> bool:
        views = [async_serving_groups(cluster, item) for item in cluster.nodes]
        return not any(
            killed_vm in members
            for view in await asyncio.gather(*views)
            for members in view.values()
        )

    closed_s = await async_wait_for(async_is_closed, CLOSE_LIMIT_S, f"{group} closes")
    print_progress(f"group {group} closed on every node after {closed_s:.2f} s")
    await asyncio.gather(
        *(async_send_chat(demo, item, CHAT_TOKENS) for item in cluster.nodes)
    )
    await async_wait_serving(cluster, GROUPS, REGROUP_LIMIT_S, (killed_vm,))
    demo.regroup_s = time.monotonic() - start_s
    print_progress(f"{GROUPS} groups serve again after {demo.regroup_s:.2f} s")
    await asyncio.gather(
        *(async_send_chat(demo, item, CHAT_TOKENS) for item in cluster.nodes)
    )


async def async_show_planned_stop(demo: Demo) -> None:
    """Stop an entry node during a stream, which must still finish."""
    cluster, node = demo.cluster, demo.cluster.nodes[-1]
    stream = asyncio.create_task(async_send_chat(demo, node, LONG_STREAM_TOKENS))

    async def async_is_streaming() -> bool:
        checks = [
            cluster.async_get(f"{cluster.engine_address(vm.vm)}/health")
            for vm in cluster.vms
        ]
        responses = await asyncio.gather(*checks)
        return any(health and health["active"] for _, health in responses)

    await async_wait_for(async_is_streaming, SERVE_LIMIT_S, "the long stream")
    for program in ("entry", "control", "admin"):
        cluster.terminate(node.name, program)
    print_progress(f"stopping {node.name} during a stream")
    result = await stream
    for program in ("entry", "control", "admin"):
        process = cluster.process(node.name, program)
        code = await process.async_wait_ended(STOP_LIMIT_S)
        if code != 0:
            raise DemoError(f"{process.name} exited with {code}:\n{process.log_tail()}")
    print_progress(f"{node.name} stopped; the stream was {result.outcome}")


async def _async_show_all(demo: Demo) -> None:
    cluster = demo.cluster
    await async_apply(cluster, declared_objects(cluster))
    served_s = await async_wait_serving(cluster, GROUPS, SERVE_LIMIT_S)
    await cluster.async_wait_accepting(SERVE_LIMIT_S)
    print_progress(f"{GROUPS} groups serve {served_s:.2f} s after the configuration")
    await async_show_requests(demo)
    await async_measure_added(demo)
    await async_show_failure(demo)
    await async_show_planned_stop(demo)
    demo.fan_runs = await async_count_commands(cluster)


async def async_demo(directory: Path) -> dict[str, Any]:
    """Run the demonstration and return its report."""
    print_progress("starting the cluster")
    start_s = time.monotonic()
    cluster = Cluster(ClusterOptions(service=SERVICE), directory=directory)
    finished = False
    async with aiohttp.ClientSession() as session:
        demo = Demo(cluster, session)
        try:
            async with cluster:
                count = len(cluster.processes.by_name)
                took_s = time.monotonic() - start_s
                print_progress(
                    f"{count} processes on {HOST} are ready after {took_s:.1f} s"
                )
                await _async_show_all(demo)
                finished = True
        except (DemoError, ProcessError) as exc:
            print_progress(f"failed: {exc}")
    return demo.report(finished=finished)


@click.command()
@click.option(
    "--directory",
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    help="Keep logs and settings here instead of in a temporary directory.",
)
def main(directory: Path | None) -> None:
    """Run the demonstration; the last line of the output is its report."""
    with tempfile.TemporaryDirectory(prefix="demo-") as temporary:
        report = asyncio.run(async_demo(directory or Path(temporary)))
    click.echo(json.dumps(report))
    sys.exit(0 if report["ok"] else 1)


if __name__ == "__main__":
    main()
