"""Helpers of the cluster tests: requests, views, table rows, edits and faults."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from standins.client import ChatResult, ServiceResult, async_chat, async_service_call
from standins.cluster import Cluster, async_wait_for
from standins.demo import MODEL, SERVICE, SPEC, TEAM_TOKEN, declared_objects
from standins.http import boot_time_s
from standins.layout import PROGRAMS, ClusterOptions, NodeLayout
from standins.proxy import FaultProxy

ZONES = ("obihiro", "asahikawa")
MIN_GROUPS = 2
GROUPS = 3
SIZES = ClusterOptions(
    zones=ZONES,
    vm_list_lag_s=0.0,
    weight_bytes=256 * 1024,
    # The settings then state that engines may ignore fencing tokens.
    ignore_fence_every=1,
)
TEAM_HEADERS = {"Authorization": f"Bearer {TEAM_TOKEN}"}

SERVE_LIMIT_S = 40.0
CONFIG_LIMIT_S = 8.0
# Promises P1 and P6: a group gets no new request later than this after a fault.
CLOSE_LIMIT_S = 3.0
# Tolerance for the time between the choice of a group and the record at its leader.
ARRIVAL_TOLERANCE_S = 0.2
SAMPLE_PERIOD_S = 0.1
SHORT_TOKENS = 3
# At 5 ms per token, a stream of this length takes 6 s.
LONG_TOKENS = 1200


@dataclass(frozen=True, slots=True)
class TableGroup:
    """Group as stored in the table; the leader is the first member."""

    name: str
    generation: int
    members: tuple[str, ...]
    phase: str
    zone: str
    version: str

    @property
    def leader(self) -> str:
        """Return the VM that takes the requests of the group."""
        return self.members[0]


@dataclass(slots=True)
class SentChat:
    """Result of a chat with the times at which it was sent and ended."""

    node: str
    at_s: float
    ended_s: float
    result: ChatResult


@dataclass(slots=True)
class System:
    """Running cluster and the HTTP session of its callers."""

    cluster: Cluster
    session: aiohttp.ClientSession
    chat_numbers: Iterator[int] = field(default_factory=itertools.count)

    # Requests

    async def async_send(
        self, node: NodeLayout, tokens: int = SHORT_TOKENS
    ) -> SentChat:
        """Send a streamed chat through an entry VM and wait for its end."""
        content = f"Silo {next(self.chat_numbers)}?"
        at_s = boot_time_s()
        result = await async_chat(
            self.session,
            node.address("entry"),
            [{"role": "user", "content": content}],
            tokens,
            model=MODEL,
            headers=TEAM_HEADERS,
        )
        return SentChat(node.name, at_s, boot_time_s(), result)

    async def async_read_fan(self, node: NodeLayout) -> ServiceResult:
        """Read the state of a fan, which is idempotent."""
        url = f"{node.address('entry')}/services/{SERVICE}/fans/1"
        return await async_service_call(
            self.session, "GET", url, headers=TEAM_HEADERS, timeout_s=10.0
        )

    async def async_start_fan(self, node: NodeLayout, key: str) -> ServiceResult:
        """Send a fan command, which is not idempotent."""
        url = f"{node.address('entry')}/services/{SERVICE}/fans/1/start"
        headers = {**TEAM_HEADERS, "Idempotency-Key": key}
        return await async_service_call(self.session, "POST", url, headers=headers)

    @asynccontextmanager
    async def async_send_chats_continuously(
        self, nodes: Iterable[NodeLayout], period_s: float = SAMPLE_PERIOD_S
    ) -> AsyncIterator[list[SentChat]]:
        """Send short chats through nodes periodically and wait for all at the end."""
        sent: list[SentChat] = []
        nodes = tuple(nodes)

        async def async_send_one(node: NodeLayout) -> None:
            sent.append(await self.async_send(node))

        async with asyncio.TaskGroup() as requests:

            async def async_send_all() -> None:
                for node in nodes:
                    requests.create_task(async_send_one(node))

            async with async_run_periodically(async_send_all, period_s):
                yield sent

    # Views

    async def async_status(self, node: NodeLayout, program: str) -> dict[str, Any]:
        """Return the status from an ops port, or an empty dict without a response."""
        _, body = await self.cluster.async_get(f"{node.ops_address(program)}/status")
        return body if isinstance(body, dict) else {}

    async def async_serving_groups(self, node: NodeLayout) -> dict[str, dict[str, Any]]:
        """Return the serving groups by name, as the node's admin program sees them."""
        headers = {"Authorization": f"Bearer {self.cluster.layout.reader_token}"}
        url = f"{node.address('admin')}/v1/status"
        try:
            async with self.cluster.session.get(url, headers=headers) as response:
                body = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return {}
        return {
            item["group"]: item
            for item in body.get("groups", ())
            if item["closed"] is None and item["spec"] == SPEC
        }

    async def async_rows(self) -> dict[str, dict[str, Any]]:
        """Return all rows of the table from one consistent read; none if it fails."""
        url = f"{self.cluster.platform_address}/rows?prefix=&limit=1000"
        status, body = await self.cluster.async_get(url)
        if status != 200:
            return {}
        assert not body["more"]
        return {row["key"]: row for row in body["rows"]}

    async def async_groups(self) -> dict[str, TableGroup]:
        """Return the groups in the table by name."""
        rows = await self.async_rows()
        return {
            row["value"]["group"]: TableGroup(
                name=row["value"]["group"],
                generation=row["value"]["generation"] or row["version"],
                members=tuple(item["vm"] for item in row["value"]["members"]),
                phase=row["value"]["phase"],
                zone=row["value"]["zone"],
                version=row["value"]["model_version"],
            )
            for key, row in rows.items()
            if key.startswith("group/")
        }

    async def async_group_with_spare(self) -> TableGroup:
        """Return the only group of its zone, whose other fabric domain is free."""
        groups = (await self.async_groups()).values()
        zones = [group.zone for group in groups]
        return next(group for group in groups if zones.count(group.zone) == 1)

    async def async_lease_holder(self, zone: str) -> str:
        """Return the node that holds a zone's lease according to the table."""
        row = (await self.async_rows()).get(f"lease/{zone}")
        return str(row["value"]["node"]) if row else ""

    async def async_health(self, vm: str) -> dict[str, Any]:
        """Return an engine's health, bypassing its proxy; empty without a response."""
        url = f"{self.cluster.engine_address(vm)}/health"
        _, body = await self.cluster.async_get(url)
        return body if isinstance(body, dict) else {}

    async def async_arrivals(self, group: TableGroup) -> list[float]:
        """Return when requests, also refused ones, reached the leader of a group."""
        address = self.cluster.engine_address(group.leader)
        records = await self.cluster.async_records(address)
        named = (group.name, str(group.generation))
        return [
            item["started_at_s"]
            for item in (*records["runs"], *records["refusals"])
            if (item["named_group"], item["named_generation"]) == named
        ]

    # Waits

    async def async_wait_serving(
        self,
        limit_s: float = SERVE_LIMIT_S,
        count: int = GROUPS,
        excluded_generations: Iterable[tuple[str, int]] = (),
    ) -> float:
        """Wait until every node sees `count` groups and no excluded generation.

        Return the seconds that it took.
        """
        excluded = set(excluded_generations)

        async def async_all_serve() -> bool:
            views = await asyncio.gather(
                *map(self.async_serving_groups, self.cluster.nodes)
            )
            return all(
                len(view) >= count
                and not excluded
                & {(item["group"], item["generation"]) for item in view.values()}
                for view in views
            )

        return await async_wait_for(
            async_all_serve, limit_s, f"{count} groups serve", SAMPLE_PERIOD_S
        )

    async def async_wait_settled(self, limit_s: float = SERVE_LIMIT_S) -> None:
        """Wait until the table contains exactly the declared groups, all serving."""

        async def async_is_settled() -> bool:
            groups = (await self.async_groups()).values()
            phases = [group.phase for group in groups]
            return phases == ["serving"] * GROUPS

        await async_wait_for(async_is_settled, limit_s, "the groups are settled")

    async def async_wait_closed(self, group: TableGroup, limit_s: float) -> float:
        """Wait until no node sees the group serving; return the seconds it took."""

        async def async_is_closed() -> bool:
            views = await asyncio.gather(
                *map(self.async_serving_groups, self.cluster.nodes)
            )
            return not any(
                item["generation"] == group.generation
                for view in views
                for item in view.values()
                if item["group"] == group.name
            )

        return await async_wait_for(async_is_closed, limit_s, f"{group.name} closes")

    # Edits and faults

    async def async_edit(
        self, node: NodeLayout, base: int, objects: Iterable[dict[str, Any]]
    ) -> tuple[int, dict[str, Any]]:
        """Send an edit to a node's admin program and return status and body."""
        headers = {"Authorization": f"Bearer {self.cluster.layout.editor_token}"}
        url = f"{node.address('admin')}/v1/config/edits"
        body = {
            "base_revision": base,
            "operations": [{"op": "put", "object": item} for item in objects],
        }
        async with self.session.post(url, json=body, headers=headers) as response:
            return response.status, await response.json()

    async def async_revision(self) -> int:
        """Return the configuration revision in the table."""
        return int((await self.async_rows())["config/head"]["value"]["revision"])

    async def async_apply_edit(self, objects: Iterable[dict[str, Any]]) -> int:
        """Apply an edit, check that it is accepted and return its revision."""
        base = await self.async_revision()
        status, body = await self.async_edit(self.cluster.nodes[0], base, objects)
        assert status == 200, body
        return int(body["change"]["revision"])

    async def async_inject_platform_fault(self, **values: Any) -> None:
        """Inject faults into the platform, or end them."""
        await self.cluster.async_control(self.cluster.platform_address, **values)

    async def async_inject_engine_fault(self, vm: str, **values: Any) -> None:
        """Inject faults into an engine, or end them."""
        await self.cluster.async_control(self.cluster.engine_address(vm), **values)

    def proxies(self) -> list[FaultProxy]:
        """Return all fault proxies of the cluster."""
        cluster = self.cluster
        return [
            *cluster.platform_proxies.values(),
            *cluster.control_proxies.values(),
            *cluster.engine_proxies.values(),
        ]


async def async_sleep_until(end_s: float) -> None:
    """Sleep until a time of the boot clock while background tasks continue."""
    await asyncio.sleep(max(0.0, end_s - boot_time_s()))


@asynccontextmanager
async def async_run_periodically(
    sample: Callable[[], Awaitable[None]], period_s: float = SAMPLE_PERIOD_S
) -> AsyncIterator[None]:
    """Call `sample` periodically in the background; raise its failure at the end."""

    async def async_repeat() -> None:
        while True:
            await sample()
            await asyncio.sleep(period_s)

    task = asyncio.create_task(async_repeat())
    try:
        yield
    finally:
        if not task.done():
            task.cancel()
        results = await asyncio.gather(task, return_exceptions=True)
    failure = results[0]
    if isinstance(failure, Exception):
        raise failure


def configuration(cluster: Cluster, version: str = "1") -> list[dict[str, Any]]:
    """Return the declared objects of these tests."""
    return [
        group_spec(version) if item["kind"] == "group-spec" else item
        for item in declared_objects(cluster)
    ]


def group_spec(version: str) -> dict[str, Any]:
    """Return the group spec; its groups leave a fabric domain of one zone unused."""
    return {
        "kind": "group-spec",
        "name": SPEC,
        "model": MODEL,
        "version": version,
        "members": 2,
        "min_groups": MIN_GROUPS,
        "max_groups": GROUPS,
        "vm_selector": "pool=assistant",
        "team_selector": "site=hokkaido",
        "kind_selector": "use=assistant",
    }


def team(name: str) -> dict[str, Any]:
    """Return a team without tokens, which serves as an edit without side effects."""
    return {"kind": "team", "name": name, "labels": {}, "token_sha256": []}


def node_programs(cluster: Cluster) -> list[tuple[NodeLayout, str]]:
    """Return all pairs of an entry VM and one of its programs."""
    return [(node, program) for node in cluster.nodes for program in PROGRAMS]
