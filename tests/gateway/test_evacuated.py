"""Tests of requests while availability zones are evacuated."""

import asyncio
from collections.abc import Mapping
from dataclasses import replace

import pytest

from gooseberryhall.fleet.evacuation import EvacuationNews, EvacuationRows, Evacuations
from gooseberryhall.fleet.models import ServedGroup
from gooseberryhall.gateway.evacuated import direct_away, draw_share
from gooseberryhall.gateway.placement import Candidate
from gooseberryhall.transport.address import Address
from gooseberryhall.transport.client import ClientConnection
from gooseberryhall.transport.pool import ConnectionPool
from tests.gateway.common import (
    Gateway,
    ReceivedRequest,
    ScriptedServer,
    async_gateway,
    async_until,
    chunk,
    encode_response,
    event,
    event_ids,
    route,
    stream_head,
    stream_route,
)

LIMIT_S = 1000.0


async def _async_ok(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(request))


async def _async_whole(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send the events up to 3 that the caller lacks, with pauses."""
    writer.write(stream_head(request))
    for number in range(int(request.headers.get("last-event-id", 0)) + 1, 4):
        writer.write(chunk(event(number)))
        await asyncio.sleep(0.1)
    writer.write(chunk(b""))


async def _async_break(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(stream_head(request) + chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(0.2)
    writer.transport.abort()


def _place(gateway: Gateway, zones: Mapping[str, str]) -> None:
    """Move servers to zones; this node is in zone z."""
    for server_id, zone in zones.items():
        gateway.servers[server_id] = replace(gateway.servers[server_id], zone=zone)
    gateway.groups[:] = [
        ServedGroup(group.model, gateway.servers[group.leader.server_id])
        for group in gateway.groups
    ]
    evacuations = Evacuations(LIMIT_S, ("y", "z"))
    evacuations.apply_rows(EvacuationRows({}, 1, True), 0.0, recent=False)
    gateway.state.evacuations = evacuations


def _evacuate(gateway: Gateway, *zones: str, share: float = 0.0) -> None:
    """Evacuate zones, of whose usual traffic a share may still be sent there."""
    age_s = LIMIT_S / 2 * (1 - share)
    news = {zone: EvacuationNews(5, active=True, age_s=age_s) for zone in zones}
    gateway.state.evacuations.apply_peer(news, asyncio.get_running_loop().time())


@pytest.mark.parametrize("grouped", [False, True])
async def test_evacuated_zone_gets_no_request(grouped: bool) -> None:
    """Guards against requests to servers that the operator takes down."""
    servers = tuple(
        ScriptedServer(name, _async_whole if grouped else _async_ok)
        for name in ("s1", "s2")
    )
    tested = stream_route() if grouped else route()
    async with async_gateway(
        (tested,), () if grouped else servers, servers if grouped else ()
    ) as gateway:
        _place(gateway, {"s1": "z", "s2": "y"})
        _evacuate(gateway, "z")
        responses = [await gateway.async_request() for _ in range(3)]
        counted = gateway.state.metrics.evacuation_redirects.get({"route": "r"})
    assert all(response.startswith(b"HTTP/1.1 200") for response in responses)
    assert [len(server.requests) for server in servers] == [0, 3]
    assert counted == 3


@pytest.mark.parametrize("grouped", [False, True])
@pytest.mark.parametrize("zones", [("y", "z"), ("z",)])
async def test_request_without_another_zone_is_refused_at_once(
    grouped: bool, zones: tuple[str, ...]
) -> None:
    """Guards against requests that wait although none can be served.

    All zones are evacuated, or all that have a server of the service.
    """
    server = ScriptedServer("s1", _async_ok)
    tested = stream_route(latency_objective_s=8.0) if grouped else route()
    async with async_gateway(
        (tested,), () if grouped else (server,), (server,) if grouped else ()
    ) as gateway:
        _place(gateway, {"s1": "z"})
        _evacuate(gateway, *zones)
        async with asyncio.timeout(0.5):
            response = await gateway.async_request()
    assert response.startswith(b"HTTP/1.1 503")
    assert b"all servers are in evacuated zones" in response
    assert b"retry-after: 1" in response.lower()
    assert server.requests == []


async def test_request_is_checked_when_the_connection_is_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request whose zone is cut off while it connects."""
    server = ScriptedServer("s1", _async_ok)
    connect = ConnectionPool._async_connect
    async with async_gateway((route(idempotent=False),), (server,)) as gateway:
        _place(gateway, {"s1": "z"})

        async def async_connect(
            pool: ConnectionPool, address: Address, timeout_s: float
        ) -> ClientConnection:
            conn = await connect(pool, address, timeout_s)
            _evacuate(gateway, "z")
            return conn

        monkeypatch.setattr(ConnectionPool, "_async_connect", async_connect)
        response = await gateway.async_request(method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 503")
    assert server.requests == []


async def test_streams_in_progress_are_not_cut() -> None:
    """Guards against lost streams; the servers serve until the zone is idle."""
    leaders = (ScriptedServer("s1", _async_whole), ScriptedServer("s2", _async_whole))
    async with async_gateway((stream_route(),), leaders=leaders) as gateway:
        _place(gateway, {"s1": "z", "s2": "y"})
        stream = asyncio.create_task(gateway.async_request())
        await async_until(lambda: bool(leaders[0].requests))
        _evacuate(gateway, "z")
        response = await stream
    assert event_ids(response) == [1, 2, 3]
    assert leaders[1].requests == []


@pytest.mark.parametrize("share", [0.0, 0.999])
async def test_broken_stream_is_resumed_in_another_zone(share: float) -> None:
    """Guards against a stream that is resumed in a zone that is evacuated."""
    leaders = tuple(
        ScriptedServer(name, script)
        for name, script in [
            ("s1", _async_break),
            ("s2", _async_whole),
            ("s3", _async_whole),
        ]
    )
    tested = stream_route(timeout_s=3.0)
    async with async_gateway((tested,), leaders=leaders) as gateway:
        _place(gateway, {"s1": "z", "s2": "z", "s3": "y"})
        gateway.prefer("s1")
        stream = asyncio.create_task(gateway.async_request())
        await async_until(lambda: bool(leaders[0].requests))
        _evacuate(gateway, "z", share=share)
        response = await stream
    assert event_ids(response) == [1, 2, 3]
    assert leaders[1].requests == []
    assert leaders[2].requests[0].headers["last-event-id"] == "1"


async def test_load_is_shifted_while_other_zones_can_take_it() -> None:
    """Guards against refusals during the shift, and against a shift that is a jump."""
    servers = (ScriptedServer("s1", _async_ok), ScriptedServer("s2", _async_ok))
    draw = draw_share(b"17")
    async with async_gateway((route(),), servers) as gateway:
        _place(gateway, {"s1": "z", "s2": "y"})
        _evacuate(gateway, "z", share=min(1.0, draw + 0.05))
        await gateway.async_request()
        assert [len(server.requests) for server in servers] == [1, 0]
        _evacuate(gateway, "z", share=draw - 0.05)
        await gateway.async_request()
        assert [len(server.requests) for server in servers] == [1, 1]
        gateway.state.backends.peer_load = {"s2": 99}
        response = await gateway.async_request()
    assert response.startswith(b"HTTP/1.1 200")
    assert [len(server.requests) for server in servers] == [2, 1]


async def test_nothing_is_sent_while_news_may_be_unread() -> None:
    """Guards against requests to a zone that was evacuated during a pause."""
    server = ScriptedServer("s1", _async_ok)
    async with async_gateway((route(),), (server,)) as gateway:
        held = True
        gateway.state.is_held = lambda: held
        request = asyncio.create_task(gateway.async_request())
        await asyncio.sleep(0.1)
        assert server.requests == []
        held = False
        response = await request
    assert response.startswith(b"HTTP/1.1 200")


def test_requests_are_drawn_evenly_and_once() -> None:
    """Guards against a request that draws until it may use the zone."""
    candidates = [
        Candidate("a", 0, 1, True, zone_share=0.25),
        Candidate("b", 0, 1, False),
    ]
    ids = [b"%x" % number for number in range(4000)]
    kept = sum(len(direct_away(candidates, draw_share(name))) == 2 for name in ids)
    assert 900 < kept < 1100
    assert draw_share(b"17") == draw_share(b"17")
    assert direct_away(candidates, 1.0) == candidates[1:]
