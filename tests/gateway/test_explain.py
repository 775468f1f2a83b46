"""Tests of the explanation where a request would be sent."""

import asyncio
import json
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import Any

import msgspec
import pytest
from aioprometheus.renderer import render

from gooseberryhall.admission.estimate import UNKNOWN_TIMES
from gooseberryhall.exceptions import InvalidInputError
from gooseberryhall.fleet.cold import ColdLimit
from gooseberryhall.fleet.evacuation import EvacuationUpdate
from gooseberryhall.fleet.models import Limits, ServedGroup
from gooseberryhall.gateway.explain import explain_route
from gooseberryhall.gateway.explain_query import ExplainQuery, parse_query
from gooseberryhall.gateway.hedging import Hedging
from gooseberryhall.gateway.intake import Intake
from gooseberryhall.node.explain import create_explain_handler
from gooseberryhall.node.listeners import (
    TEXT_FORMAT,
    async_listen,
    create_metrics_handler,
)
from gooseberryhall.transport.address import Address
from tests.gateway.common import (
    MEMORY_BYTES,
    Gateway,
    ReceivedRequest,
    ScriptedServer,
    async_gateway,
    chunk,
    event,
    route,
    stream_head,
    stream_route,
)

QUERY = ExplainQuery(host="example", path="/a/1", team="team-a", model="large")


async def _async_stream(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    head = stream_head(request, request.headers["x-server"])
    writer.write(head + chunk(event(1)) + chunk(b""))


def _explain(gateway: Gateway, **changes: Any) -> dict[str, Any]:
    query = msgspec.structs.replace(QUERY, **changes)
    return explain_route(gateway.state, query, asyncio.get_running_loop().time())


def _fingerprint(gateway: Gateway) -> str:
    """Return all that a decision could change."""
    state = gateway.state
    counters, _ = render(state.metrics.registry, [TEXT_FORMAT])
    return f"{state} {state.rng.getstate()} {counters!r}"


def _use_all_parts(gateway: Gateway) -> None:
    """Make one server cold, shift the load of a zone, and let times be known."""
    state, now_s = gateway.state, asyncio.get_running_loop().time()
    state.hedging = Hedging(0.5, 0.95)
    cold = {"cold_remaining_s": 100.0, "arrived_s": state.cold.clock()}
    for server_id, changes in (("s0", {"zone": "y"}), ("s1", cold)):
        server = gateway.servers[server_id]
        gateway.servers[server_id] = replace(server, **changes)  # type: ignore[arg-type]
    gateway.groups[:] = [
        ServedGroup("large", item) for item in gateway.servers.values()
    ]
    state.cold.limit = lambda _: ColdLimit(100.0, 14.0, 1.5, 5.0)
    state.cold.update(gateway.servers.values())
    state.evacuations.limit_s, state.evacuations.zones = 1000.0, ("y", "z")
    state.evacuations.apply_peer({"y": EvacuationUpdate(5, active=True)}, now_s - 400)
    kind = ("engine", "large")
    state.observed.record_first_event(kind, UNKNOWN_TIMES, 0.01)
    state.observed.record_complete(kind, UNKNOWN_TIMES, 2.0)


async def test_same_choice_as_the_request_path_and_no_change() -> None:
    """Guards against an explanation of another choice, and against side effects."""
    servers = tuple(ScriptedServer(f"s{number}", _async_stream) for number in range(6))
    async with async_gateway((stream_route(),), (), servers) as gateway:
        _use_all_parts(gateway)
        for _ in range(8):
            before = _fingerprint(gateway)
            counts = [len(server.requests) for server in servers]
            answer = _explain(gateway, id="17")
            assert _fingerprint(gateway) == before
            assert counts == [len(server.requests) for server in servers]
            response = await gateway.async_request("x-model: large\r\n")
            assert f"x-signature: {answer['server']}\r\n".encode() in response
            reasons = {
                item["server_id"]: item["reason"] for item in answer["candidates"]
            }
            assert reasons[answer["server"]] == "chosen"
            assert reasons["s0"].startswith("evacuation")
            assert reasons["s1"].startswith("cold")
    assert "secret" not in str(answer)


async def test_reasons_and_refusals() -> None:
    """Guards against a wrong reason, and a status that callers do not get."""
    server = ScriptedServer("s1", _async_stream)
    async with async_gateway((route(),), (server,)) as gateway:
        assert _explain(gateway, host="other")["status"] == 404
        assert _explain(gateway, team="")["status"] == 401
        now_s = asyncio.get_running_loop().time()
        gateway.state.backends.mark_full("s1", now_s)
        answer = _explain(gateway)
        assert answer["verdict"] == "wait"
        assert answer["candidates"][0]["reason"].startswith("full")
        gateway.servers["s1"] = replace(gateway.servers["s1"], leaving=True)
        answer = _explain(gateway)
        gateway.state.waiting.close()
        assert _explain(gateway)["reason"] == "this node is stopping"
        assert answer["candidates"][0]["reason"] == "leaves"
    assert not server.requests


async def test_listener_answers_and_refuses_malformed_queries() -> None:
    """Guards against a query that ends in a fault, and against lost metrics."""
    server = ScriptedServer("s1", _async_stream)
    async with (
        async_gateway((route(),), (server,)) as gateway,
        AsyncExitStack() as stack,
    ):
        metrics = gateway.state.metrics
        listener = await async_listen(
            stack,
            Address("127.0.0.1", 0),
            create_explain_handler(
                gateway.state, create_metrics_handler(metrics.registry)
            ),
            limits=Limits,
            intake=Intake(gateway.held, metrics, MEMORY_BYTES, id_header=b"x-id"),
        )
        address = Address(*listener.server.sockets[0].getsockname()[:2])
        asked = replace(gateway, address=address)
        target = "/explain?host=example&path=/a/1"
        good = await asked.async_request(path=f"{target}&team=team-a")
        assert json.loads(good.partition(b"\r\n\r\n")[2])["server"] == "s1"
        for path in (f"{target}&team=none", "/explain"):
            bad = await asked.async_request(path=path)
            assert bad.startswith(b"HTTP/1.1 400")
        assert b"gooseberryhall_" in await asked.async_request(path="/metrics")
    assert not server.requests


@pytest.mark.parametrize(
    "query",
    [
        b"",
        b"host=a&path=b",
        b"host=a&host=b&path=/",
        b"host=a&path=/&key=k",
        b"host=a&path=/&tokens=1",
        b"host=a&path=/%0d%0a",
    ],
)
def test_malformed_query(query: bytes) -> None:
    """Guards against a query of which a part is silently ignored."""
    with pytest.raises(InvalidInputError):
        parse_query(query)
