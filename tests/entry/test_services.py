"""Tests of requests to plain services."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import pytest
from aiohttp import web

from gooseberryhall.claims.budget import WriteBudget
from gooseberryhall.claims.runner import ClaimService
from gooseberryhall.config.models import PlainService, RequestKind, ServiceServer
from tests.entry.conftest import TOKEN, Cluster, free_port
from tests.fakes import FakeObjects, FakeTable


@dataclass
class FakeService:
    """A server of the silo control service that records the requests that it runs."""

    name: str
    runs: list[str] = field(default_factory=list)
    abort: bool = False
    status: int = 200
    echo: str | None = None
    hang: bool = False
    # Three digits that are sent in place of the status.
    raw_status: str = ""
    address: str = ""
    release: asyncio.Event = field(default_factory=asyncio.Event)

    async def async_start(self, stack: AsyncExitStack) -> None:
        """Listen on an ephemeral port."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._async_handle)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.address = f"http://127.0.0.1:{runner.addresses[0][1]}"

    async def _async_handle(self, req: web.Request) -> web.Response:
        await req.read()
        self.runs.append(f"{req.method} {req.path_qs}")
        if self.hang:
            await self.release.wait()
        if self.abort and req.transport is not None:
            req.transport.abort()
        if self.raw_status and req.transport is not None:
            head = f"HTTP/1.1 {self.raw_status} X\r\nContent-Length: 0\r\n"
            request_id = req.headers["X-Request-Id"]
            req.transport.write(f"{head}X-Request-Id: {request_id}\r\n\r\n".encode())
            await self.release.wait()
        headers = {"X-Request-Id": self.echo or req.headers["X-Request-Id"]}
        return web.json_response(
            {"server": self.name}, status=self.status, headers=headers
        )


@dataclass
class Silo:
    """The entry program with servers of the silo service in two zones."""

    cluster: Cluster
    near: FakeService
    far: FakeService
    table: FakeTable

    async def async_send(
        self, method: str, path: str, key: str | None = None
    ) -> tuple[int, dict[str, dict[str, str]]]:
        """Send a request and return the status and the JSON body."""
        headers = {"Authorization": f"Bearer {TOKEN}"}
        if key is not None:
            headers["Idempotency-Key"] = key
        url = f"{self.cluster.url}/services/silo{path}"
        async with self.cluster.client.request(
            method, url, headers=headers
        ) as response:
            return response.status, await response.json()


@pytest.fixture
async def silo(cluster: Cluster) -> AsyncIterator[Silo]:
    """Declare the silo service with idempotent status reads and fan commands."""
    near, far = FakeService("near"), FakeService("far")
    for server in (near, far):
        await server.async_start(cluster.stack)
    servers = [("b-near", "obihiro", near.address), ("c-far", "sapporo", far.address)]
    cluster.declare(
        PlainService(
            name="silo",
            servers=tuple(
                ServiceServer(name=name, zone=zone, address=address)
                for name, zone, address in servers
            ),
        ),
        RequestKind(
            name="status",
            service="silo",
            method="GET",
            path_prefix="/fans",
            idempotent=True,
        ),
        RequestKind(name="command", service="silo", method="PUT", path_prefix="/fans"),
    )
    table = FakeTable()
    budget = WriteBudget(lambda: 300.0)
    cluster.frontend.claims = ClaimService(table, FakeObjects(), budget, "entry-1", "i")
    yield Silo(cluster, near, far, table)
    near.release.set()


async def test_status_reads_prefer_the_local_zone(silo: Silo) -> None:
    """Guards against reads from another zone, which add latency."""
    status, body = await silo.async_send("GET", "/fans/3?full=1")
    assert (status, body["server"]) == (200, "near")
    assert silo.near.runs == ["GET /fans/3?full=1"]


@pytest.mark.parametrize("fault", ["abort", "status", "echo"])
async def test_idempotent_read_is_retried_on_another_server(
    silo: Silo, fault: str
) -> None:
    """Guards against a failed read while another server can respond."""
    values = {"abort": True, "status": 503, "echo": "req-of-another-caller"}
    setattr(silo.near, fault, values[fault])
    status, body = await silo.async_send("GET", "/fans/3")
    assert (status, body["server"]) == (200, "far")


async def test_command_with_a_lost_response_runs_once(silo: Silo) -> None:
    """Guards against a second execution of a command whose response was lost (P5).

    The HTTP client repeats PUT by itself; a repeated command cycles a fan.
    """
    silo.near.abort = True
    status, body = await silo.async_send("PUT", "/fans/3/start", key="k1")
    assert (status, body["error"]["code"]) == (409, "outcome_unknown")
    assert body["error"]["ran"] == "unknown"
    again, _ = await silo.async_send("PUT", "/fans/3/start", key="k1")
    assert again == 409
    assert silo.near.runs == ["PUT /fans/3/start"]
    assert silo.far.runs == []


async def test_command_that_was_not_sent_may_use_another_server(silo: Silo) -> None:
    """Guards against a failed command after a refused connection.

    It was certainly not sent, so it can still run once on another server.
    """
    service = next(
        item
        for item in silo.cluster.state.config.objects.values()
        if isinstance(item, PlainService)
    )
    down = f"http://127.0.0.1:{free_port()}"
    first = service.servers[0].model_copy(update={"address": down})
    silo.cluster.declare(
        service.model_copy(update={"servers": (first, service.servers[1])})
    )
    status, _ = await silo.async_send("PUT", "/fans/3/start", key="k2")
    assert status == 200
    assert silo.far.runs == ["PUT /fans/3/start"]
    silo.cluster.declare(service.model_copy(update={"servers": (first,)}))
    status, body = await silo.async_send("PUT", "/fans/3/start", key="k3")
    assert (status, body["error"]["ran"]) == (503, "no")


async def test_repeated_command_gets_the_stored_response(silo: Silo) -> None:
    """Guards against a retry by the caller that starts the fan again."""
    first = await silo.async_send("PUT", "/fans/3/start", key="k1")
    second = await silo.async_send("PUT", "/fans/3/start", key="k1")
    assert first == second
    assert len(silo.near.runs) == 1


async def test_command_is_refused_while_the_table_is_down(silo: Silo) -> None:
    """Guards against a command that is sent without a claim (P4)."""
    silo.table.down = True
    status, body = await silo.async_send("PUT", "/fans/3/start", key="k1")
    assert (status, body["error"]["code"]) == (503, "claims_unavailable")
    assert body["error"]["ran"] == "no"
    assert silo.near.runs == []


async def test_command_without_key_is_refused(silo: Silo) -> None:
    """Guards against a command without a key, whose retry could not be detected."""
    status, body = await silo.async_send("PUT", "/fans/3/start")
    assert (status, body["error"]["ran"]) == (400, "no")
    assert silo.near.runs == []


@pytest.mark.parametrize(
    "path", ["/fans/..%2Fadmin", "/fans/%2e%2e/admin", "/fans//3", "/fans/3%5C4"]
)
async def test_ambiguous_path_is_refused(silo: Silo, path: str) -> None:
    """Guards against a path that the service interprets as another request kind."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", silo.cluster.ctx.settings.entry.port
    )
    head = f"GET /services/silo{path} HTTP/1.1\r\nHost: x\r\n"
    writer.write(f"{head}Authorization: Bearer {TOKEN}\r\n\r\n".encode())
    status_line = await asyncio.wait_for(reader.readline(), 5)
    writer.close()
    assert b" 400 " in status_line
    assert silo.near.runs == []


async def test_undeclared_kind_is_refused(silo: Silo) -> None:
    """Guards against a request of an unknown kind, which may be unsafe to repeat."""
    status, body = await silo.async_send("POST", "/fans/3")
    assert (status, body["error"]["code"]) == (404, "unknown_request_kind")


async def test_status_that_is_none_does_not_reach_the_caller(silo: Silo) -> None:
    """Guards against an answer with the status 000 (MIXED)."""
    silo.near.raw_status = "000"
    status, body = await silo.async_send("PUT", "/fans/3/start", key="k1")
    assert (status, body["error"]["code"]) == (409, "outcome_unknown")
    assert silo.far.runs == []
    status, answer = await silo.async_send("GET", "/fans/3")
    assert (status, answer["server"]) == (200, "far")
