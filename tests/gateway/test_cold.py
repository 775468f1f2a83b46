"""Tests of requests to cold servers on the request path."""

import asyncio
from dataclasses import replace

import pytest

from gooseberryhall.core.clock import now_s as boot_time_s
from gooseberryhall.fleet.cold import ColdLimit
from gooseberryhall.fleet.models import ColdGrant
from gooseberryhall.gateway.cold import ColdServers
from gooseberryhall.platform.statements import decode_statement
from gooseberryhall.transport.address import Address
from gooseberryhall.transport.client import ClientConnection
from gooseberryhall.transport.pool import ConnectionPool
from tests.gateway.common import (
    Gateway,
    ReceivedRequest,
    ScriptedServer,
    async_gateway,
    encode_response,
    route,
)

_LIMIT = ColdLimit(30.0, 14.0, 1.5, 5.0)


async def _async_ok(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(request))


def _limit_cold_servers(gateway: Gateway) -> None:
    """Let the gateway know the limits of cold servers."""
    state = gateway.state
    state.cold = ColdServers(
        "n1",
        "z",
        lambda _: _LIMIT,
        state.statements.stated_cold,
    )


def _describe(gateway: Gateway, server_id: str, cold_s: float, requests: int) -> None:
    """Announce a server; all nodes are granted a number of requests."""
    now_s = boot_time_s()
    gateway.servers[server_id] = replace(
        gateway.servers[server_id],
        cold_remaining_s=cold_s,
        arrived_s=now_s,
        cold_grant=ColdGrant(0xFFFF, requests, "z", now_s) if requests else None,
    )
    gateway.state.cold.update(gateway.servers.values())


async def test_cold_server_gets_the_granted_requests_and_others_the_rest() -> None:
    """Guards against too many requests to a cold server, and refusals meanwhile."""
    cold = ScriptedServer("s1", _async_ok)
    warm = ScriptedServer("s2", _async_ok)
    async with async_gateway((route(),), (cold, warm)) as gateway:
        _limit_cold_servers(gateway)
        _describe(gateway, "s1", 30.0, 3)
        _describe(gateway, "s2", 0.0, 0)
        gateway.servers["s2"] = replace(gateway.servers["s2"], slots=50)
        gateway.prefer("s1")
        calls = [gateway.async_request() for _ in range(20)]
        responses = await asyncio.gather(*calls)
    assert all(response.startswith(b"HTTP/1.1 200") for response in responses)
    assert 0 < len(cold.requests) <= 3
    assert len(cold.requests) + len(warm.requests) == 20


async def test_request_is_refused_if_all_servers_are_cold() -> None:
    """Guards against a request that is held, or sent to a server without a grant."""
    cold = ScriptedServer("s1", _async_ok)
    async with async_gateway((route(),), (cold,)) as gateway:
        _limit_cold_servers(gateway)
        _describe(gateway, "s1", 0.4, 0)
        response = await gateway.async_request()
    assert response.startswith(b"HTTP/1.1 503")
    assert b"all servers are cold" in response
    assert cold.requests == []


async def test_server_that_becomes_cold_meanwhile_gets_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that is written although its server became cold."""
    server = ScriptedServer("s1", _async_ok)
    connect = ConnectionPool._async_connect
    async with async_gateway((route(idempotent=False),), (server,)) as gateway:
        _limit_cold_servers(gateway)
        _describe(gateway, "s1", 0.0, 0)

        async def async_connect(
            pool: ConnectionPool, address: Address, timeout_s: float
        ) -> ClientConnection:
            conn = await connect(pool, address, timeout_s)
            _describe(gateway, "s1", 30.0, 0)
            return conn

        monkeypatch.setattr(ConnectionPool, "_async_connect", async_connect)
        response = await gateway.async_request(method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 503")
    assert server.requests == []


async def test_failed_connections_do_not_count_as_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a grant that is used up by requests that were not written."""
    server = ScriptedServer("s1", _async_ok)
    connect = ConnectionPool._async_connect
    async with async_gateway((route(idempotent=False),), (server,)) as gateway:
        _limit_cold_servers(gateway)
        _describe(gateway, "s1", 30.0, 1)

        async def async_fail(*_: object) -> ClientConnection:
            await asyncio.sleep(0)
            raise asyncio.CancelledError

        monkeypatch.setattr(ConnectionPool, "_async_connect", async_fail)
        await gateway.async_request(method="POST", body="x")
        monkeypatch.setattr(ConnectionPool, "_async_connect", connect)
        response = await gateway.async_request(method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 200")


async def test_answer_tells_that_a_server_is_cold() -> None:
    """Guards against the usual load until the owner knows that a server is cold."""

    async def async_cold(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        extra = "x-signature: s1\r\nx-cold-milliseconds: 9000\r\n"
        writer.write(encode_response(request, extra=extra))

    server = ScriptedServer("s1", async_cold)
    async with async_gateway((route(),), (server,)) as gateway:
        gateway.state.decode_statement = decode_statement
        await gateway.async_request()
        await gateway.async_request()
        assert len(server.requests) == 2
        _limit_cold_servers(gateway)
        _describe(gateway, "s1", 0.0, 0)
        response = await gateway.async_request()
    assert response.startswith(b"HTTP/1.1 503")
    assert len(server.requests) == 2
