"""What the tests of a whole cluster share: requests, views, rows and edits."""

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
    # The settings then say that engines may ignore fencing numbers.
    ignore_fence_every=1,
)
AUTHORIZATION = {"Authorization": f"Bearer {TEAM_TOKEN}"}

SERVE_LIMIT_S = 40.0
CONFIG_LIMIT_S = 8.0
# P1 and P6: a group takes no new request this long after the fault.
CLOSE_LIMIT_S = 3.0
# Time of a request between the choice of its group and its record at the lead.
ARRIVAL_S = 0.2
SAMPLE_PERIOD_S = 0.1
SHORT_TOKENS = 3
# At 5 ms a token such a stream takes 6 s.
LONG_TOKENS = 1200


@dataclass(frozen=True, slots=True)
class GroupPlace:
    """A group as the table names it; the lead comes first."""

    name: str
    generation: int
    members: tuple[str, ...]
    phase: str
    zone: str
    version: str

    @property
    def lead(self) -> str:
        """Return the VM that takes the group's requests."""
        return self.members[0]


@dataclass(slots=True)
class Sent:
    """A chat with the times when it was sent and answered."""

    node: str
    at_s: float
    ended_s: float
    result: ChatResult


@dataclass(slots=True)
class System:
    """A running cluster and a caller's session."""

    cluster: Cluster
    session: aiohttp.ClientSession
    numbers: Iterator[int] = field(default_factory=itertools.count)

    # Requests

    async def async_send(self, node: NodeLayout, tokens: int = SHORT_TOKENS) -> Sent:
        """Send a streamed chat through an entry VM."""
        content = f"Silo {next(self.numbers)}?"
        at_s = boot_time_s()
        result = await async_chat(
            self.session,
            node.address("entry"),
            [{"role": "user", "content": content}],
            tokens,
            model=MODEL,
            headers=AUTHORIZATION,
        )
        return Sent(node.name, at_s, boot_time_s(), result)

    async def async_read_fan(self, node: NodeLayout) -> ServiceResult:
        """Read the state of a fan."""
        url = f"{node.address('entry')}/services/{SERVICE}/fans/1"
        return await async_service_call(
            self.session, "GET", url, headers=AUTHORIZATION, timeout_s=10.0
        )

    async def async_start_fan(self, node: NodeLayout, key: str) -> ServiceResult:
        """Send a fan command, which is not idempotent."""
        url = f"{node.address('entry')}/services/{SERVICE}/fans/1/start"
        headers = {**AUTHORIZATION, "Idempotency-Key": key}
        return await async_service_call(self.session, "POST", url, headers=headers)

    @asynccontextmanager
    async def async_calling(
        self, nodes: Iterable[NodeLayout], period_s: float = SAMPLE_PERIOD_S
    ) -> AsyncIterator[list[Sent]]:
        """Send short chats through nodes all the time; wait for all at the end."""
        sent: list[Sent] = []
        nodes = tuple(nodes)

        async def async_one(node: NodeLayout) -> None:
            sent.append(await self.async_send(node))

        async with asyncio.TaskGroup() as requests:

            async def async_send_all() -> None:
                for node in nodes:
                    requests.create_task(async_one(node))

            async with async_repeating(async_send_all, period_s):
                yield sent

    # Views

    async def async_status(self, node: NodeLayout, program: str) -> dict[str, Any]:
        """Return the status from an ops port; empty without an answer."""
        _, body = await self.cluster.async_get(f"{node.ops_address(program)}/status")
        return body if isinstance(body, dict) else {}

    async def async_serving(self, node: NodeLayout) -> dict[str, dict[str, Any]]:
        """Return the groups that serve as the node's administration sees them."""
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
        """Return all rows of the table in one consistent read; empty when down."""
        url = f"{self.cluster.platform_address}/rows?prefix=&limit=1000"
        status, body = await self.cluster.async_get(url)
        if status != 200:
            return {}
        assert not body["more"]
        return {row["key"]: row for row in body["rows"]}

    async def async_groups(self) -> dict[str, GroupPlace]:
        """Return the groups in the table."""
        rows = await self.async_rows()
        return {
            row["value"]["group"]: GroupPlace(
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

    async def async_group_with_spare(self) -> GroupPlace:
        """Return a group in the zone whose other fabric domain is free."""
        groups = (await self.async_groups()).values()
        zones = [group.zone for group in groups]
        return next(group for group in groups if zones.count(group.zone) == 1)

    async def async_holder(self, zone: str) -> str:
        """Return the node that holds a zone's lease by the table."""
        row = (await self.async_rows()).get(f"lease/{zone}")
        return str(row["value"]["node"]) if row else ""

    async def async_health(self, vm: str) -> dict[str, Any]:
        """Return an engine's health past its proxy; empty without an answer."""
        url = f"{self.cluster.engine_address(vm)}/health"
        _, body = await self.cluster.async_get(url)
        return body if isinstance(body, dict) else {}

    async def async_arrivals(self, group: GroupPlace) -> list[float]:
        """Return when requests for a group reached its lead, refused ones too."""
        address = self.cluster.engine_address(group.lead)
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
        without: Iterable[tuple[str, int]] = (),
    ) -> float:
        """Wait until every node sees `count` groups, none by a given generation."""
        excluded = set(without)

        async def async_all_serve() -> bool:
            views = await asyncio.gather(*map(self.async_serving, self.cluster.nodes))
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
        """Wait until the table holds the declared groups and no other ones."""

        async def async_is_settled() -> bool:
            groups = (await self.async_groups()).values()
            phases = [group.phase for group in groups]
            return phases == ["serving"] * GROUPS

        await async_wait_for(async_is_settled, limit_s, "the groups are settled")

    async def async_wait_closed(self, group: GroupPlace, limit_s: float) -> float:
        """Wait until no node sees the group serving."""

        async def async_is_closed() -> bool:
            views = await asyncio.gather(*map(self.async_serving, self.cluster.nodes))
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
        """Send an edit to an administration program; return status and body."""
        headers = {"Authorization": f"Bearer {self.cluster.layout.editor_token}"}
        url = f"{node.address('admin')}/v1/config/edits"
        body = {
            "base_revision": base,
            "operations": [{"op": "put", "object": item} for item in objects],
        }
        async with self.session.post(url, json=body, headers=headers) as response:
            return response.status, await response.json()

    async def async_revision(self) -> int:
        """Return the revision in the table."""
        return int((await self.async_rows())["config/head"]["value"]["revision"])

    async def async_accept(self, objects: Iterable[dict[str, Any]]) -> int:
        """Have an edit accepted and return its revision."""
        base = await self.async_revision()
        status, body = await self.async_edit(self.cluster.nodes[0], base, objects)
        assert status == 200, body
        return int(body["change"]["revision"])

    async def async_platform(self, **values: Any) -> None:
        """Inject a fault into the platform."""
        await self.cluster.async_control(self.cluster.platform_address, **values)

    async def async_engine(self, vm: str, **values: Any) -> None:
        """Inject a fault into an engine."""
        await self.cluster.async_control(self.cluster.engine_address(vm), **values)

    def proxies(self) -> list[FaultProxy]:
        """Return all proxies."""
        cluster = self.cluster
        return [
            *cluster.platform_proxies.values(),
            *cluster.control_proxies.values(),
            *cluster.engine_proxies.values(),
        ]


async def async_observe_until(end_s: float) -> None:
    """Let samplers and callers go on until a time of the boot clock."""
    await asyncio.sleep(max(0.0, end_s - boot_time_s()))


@asynccontextmanager
async def async_repeating(
    sample: Callable[[], Awaitable[None]], period_s: float = SAMPLE_PERIOD_S
) -> AsyncIterator[None]:
    """Call `sample` all the time; raise its failure at the end."""

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
    """Return the spec, of which one zone has a spare fabric domain."""
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
    """Return a team without tokens, to be used as a harmless edit."""
    return {"kind": "team", "name": name, "labels": {}, "token_sha256": []}


def node_programs(cluster: Cluster) -> list[tuple[NodeLayout, str]]:
    """Return every program of every entry VM."""
    return [(node, program) for node in cluster.nodes for program in PROGRAMS]
