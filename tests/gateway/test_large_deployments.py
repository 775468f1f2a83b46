"""Tests of the work for a request in a deployment with many servers."""

import asyncio

import pytest

from gooseberryhall.fleet.models import BackendServer, ServedGroup
from gooseberryhall.gateway.app import route_request
from gooseberryhall.gateway.backends import Backends
from gooseberryhall.gateway.context import RequestContext
from gooseberryhall.gateway.explain import explain_route
from gooseberryhall.gateway.explain_query import ExplainQuery
from gooseberryhall.gateway.models import CallerRequest
from gooseberryhall.gateway.state import GatewayState
from gooseberryhall.transport.address import Address
from tests.gateway.common import async_gateway, route, stream_route

GROUPS = 400
ZONES = 5
# Servers that are looked at for one request, however many there are.
MAX_LOOKED_AT = 32


def _server(number: int, service: str) -> BackendServer:
    address = Address("127.0.0.1", 1)
    zone = f"z{number % ZONES}"
    return BackendServer(f"s{number}", service, address, zone, False, 4)


def _context(state: GatewayState, path: bytes) -> RequestContext:
    headers = [(b"host", b"example"), (b"x-id", b"1"), (b"x-model", b"large")]
    headers.append((b"authorization", b"Key secret"))
    now_s = asyncio.get_running_loop().time()
    request = CallerRequest(b"GET", path, headers, b"", False, now_s)
    ctx = route_request(state, state.configuration(), request)
    assert isinstance(ctx, RequestContext)
    return ctx


async def test_explanation_names_servers_that_are_not_looked_at() -> None:
    """Guards against a server that is called cold because it was not drawn."""
    async with async_gateway((route(),)) as gateway:
        servers = [_server(number, "plain") for number in range(GROUPS)]
        gateway.servers.update({item.server_id: item for item in servers})
        query = ExplainQuery(host="example", path="/a/1", team="team-a")
        now_s = asyncio.get_running_loop().time()
        answer = explain_route(gateway.state, query, now_s)
    reasons = [item["reason"] for item in answer["candidates"]]
    missing = reasons.count("not drawn among the servers that are looked at")
    assert GROUPS - MAX_LOOKED_AT - 1 <= missing < GROUPS


@pytest.mark.parametrize("in_flight", [0, 3, 6, 20])
@pytest.mark.parametrize("service", ["engine", "plain"])
async def test_request_looks_at_a_bounded_number_of_servers(
    monkeypatch: pytest.MonkeyPatch, service: str, in_flight: int
) -> None:
    """Guards against work for all servers for each request and each that waits."""
    looked_at: list[str] = []
    find_load = Backends.known_load

    def count_load(
        self: Backends, server_id: str, slots: int, max_queued: int, now_s: float
    ) -> tuple[int, int]:
        looked_at.append(server_id)
        return find_load(self, server_id, slots, max_queued, now_s)

    monkeypatch.setattr(Backends, "known_load", count_load)
    used = stream_route() if service == "engine" else route()
    async with async_gateway((used,)) as gateway:
        state = gateway.state
        servers = [_server(number, service) for number in range(GROUPS)]
        gateway.servers.update({item.server_id: item for item in servers})
        if service == "engine":
            gateway.groups.extend(ServedGroup("large", item) for item in servers)
        state.backends.peer_load = {item.server_id: in_flight for item in servers}
        ctx = _context(state, b"/a/1")
        choice = state.waiting.chooser.choose(ctx, asyncio.get_running_loop().time())
    assert (choice.candidate is not None) == (in_flight < 20)
    assert len(looked_at) <= MAX_LOOKED_AT
