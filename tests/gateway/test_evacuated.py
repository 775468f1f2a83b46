"""Tests of requests while availability zones are evacuated."""

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from gooseberryhall.fleet.evacuation import Evacuations, EvacuationUpdate
from gooseberryhall.fleet.models import ServedGroup
from gooseberryhall.gateway.evacuated import draw_share
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


async def _async_end(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(stream_head(request) + chunk(event(3)) + chunk(b""))


async def _async_break(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Break off after the second event."""
    writer.write(stream_head(request) + chunk(event(1)))
    await asyncio.sleep(0.2)
    writer.write(chunk(event(2)))
    await writer.drain()
    writer.transport.abort()


def _place(gateway: Gateway, **zones: str) -> None:
    """Move servers to zones, none of which is evacuated; this node is in zone z."""
    for key, zone in zones.items():
        gateway.servers[key] = replace(gateway.servers[key], zone=zone)
    gateway.groups[:] = [
        ServedGroup(group.model, gateway.servers[group.leader.server_id])
        for group in gateway.groups
    ]
    gateway.state.evacuations = Evacuations(LIMIT_S, ("y", "z"))
    gateway.state.evacuations.apply_peer({}, 0.0)


def _evacuate(gateway: Gateway, *zones: str, share: float = 0.0) -> None:
    """Evacuate zones, of whose usual traffic a share may still be sent there."""
    updates = EvacuationUpdate(5, active=True, age_s=LIMIT_S / 2 * (1 - share))
    now_s = asyncio.get_running_loop().time()
    gateway.state.evacuations.apply_peer(dict.fromkeys(zones, updates), now_s)


@pytest.mark.parametrize("grouped", [False, True])
async def test_evacuated_zones_get_no_request(grouped: bool) -> None:
    """Guards against requests to an evacuated zone, and against vain waiting.

    A request is refused at once if all zones are evacuated, or all with its servers.
    """
    script = _async_end if grouped else _async_ok
    servers = (ScriptedServer("s1", script), ScriptedServer("s2", script))
    tested = stream_route(latency_objective_s=8.0) if grouped else route()
    async with async_gateway(
        (tested,), () if grouped else servers, servers if grouped else ()
    ) as gateway:
        _place(gateway, s1="z", s2="y")
        _evacuate(gateway, "z")
        served = await gateway.async_request()
        redirects = gateway.state.metrics.evacuation_redirects.get({"route": "r"})
        async with asyncio.timeout(0.5):
            _place(gateway, s2="z")
            _evacuate(gateway, "z")
            refused = [await gateway.async_request()]
            _evacuate(gateway, "y")
            gateway.groups.clear()
            refused.append(await gateway.async_request())
    assert served.startswith(b"HTTP/1.1 200")
    assert redirects == 1
    for response in refused:
        assert response.startswith(b"HTTP/1.1 503")
        assert b"all servers are in evacuated zones" in response
        assert b"retry-after: 1" in response.lower()
    assert [len(server.requests) for server in servers] == [0, 1]


async def test_request_is_checked_when_the_connection_is_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request whose zone is cut off while it connects."""
    server = ScriptedServer("s1", _async_ok)
    connect = ConnectionPool._async_connect
    async with async_gateway((route(idempotent=False),), (server,)) as gateway:
        _place(gateway, s1="z")

        async def async_connect(*args: Any) -> ClientConnection:
            conn = await connect(*args)
            _evacuate(gateway, "z")
            return conn

        monkeypatch.setattr(ConnectionPool, "_async_connect", async_connect)
        response = await gateway.async_request(method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 503")
    assert server.requests == []


@pytest.mark.parametrize("share", [0.0, 0.999])
async def test_stream_goes_on_until_it_breaks_and_then_elsewhere(share: float) -> None:
    """Guards against a stream that is cut, or resumed in a zone that is evacuated."""
    scripts = {"s1": _async_break, "s2": _async_end, "s3": _async_end}
    leaders = tuple(ScriptedServer(name, script) for name, script in scripts.items())
    async with async_gateway((stream_route(),), leaders=leaders) as gateway:
        _place(gateway, s1="z", s2="z", s3="y")
        gateway.prefer("s1")
        stream = asyncio.create_task(gateway.async_request())
        await async_until(lambda: bool(leaders[0].requests))
        _evacuate(gateway, "z", share=share)
        assert event_ids(await stream) == [1, 2, 3]
    assert leaders[1].requests == []
    assert leaders[2].requests[0].headers["last-event-id"] == "2"


async def test_load_is_shifted_while_other_zones_can_take_it() -> None:
    """Guards against a shift that is a jump, and against refusals during the shift.

    A request must not draw until it may use the zone, so its id decides.
    """
    ids = [b"%x" % number for number in range(4000)]
    assert 900 < sum(draw_share(name) < 0.25 for name in ids) < 1100
    draw = draw_share(b"17")
    servers = (ScriptedServer("s1", _async_ok), ScriptedServer("s2", _async_ok))
    async with async_gateway((route(),), servers) as gateway:
        _place(gateway, s1="z", s2="y")
        _evacuate(gateway, "z", share=draw + 0.05)
        await gateway.async_request()
        assert [len(server.requests) for server in servers] == [1, 0]
        _evacuate(gateway, "z", share=draw - 0.05)
        await gateway.async_request()
        assert [len(server.requests) for server in servers] == [1, 1]
        gateway.state.backends.peer_load = {"s2": 99}
        await gateway.async_request()
    assert [len(server.requests) for server in servers] == [2, 1]


async def test_requests_wait_while_updates_may_be_unread() -> None:
    """Guards against refusing what arrived in a pause, and giving up broken streams."""
    leaders = (ScriptedServer("s1", _async_break), ScriptedServer("s2", _async_end))
    routes = (stream_route(), route(prefix=b"/a/plain"))
    plain = ScriptedServer("p1", _async_ok)
    async with async_gateway(routes, (plain,), leaders) as gateway:
        gateway.prefer("s1")
        stream = asyncio.create_task(gateway.async_request())
        await async_until(lambda: bool(leaders[0].requests))
        gateway.state.is_held = lambda: True
        request = asyncio.create_task(gateway.async_request(path="/a/plain"))
        await asyncio.sleep(0.5)
        assert not plain.requests
        gateway.state.is_held = lambda: False
        assert event_ids(await stream) == [1, 2, 3]
        assert (await request).startswith(b"HTTP/1.1 200")
