"""Tests of requests to plain services, with servers that misbehave."""

import asyncio
from dataclasses import replace

from gooseberryhall.transport.pool import Address
from tests.gateway.common import (
    ReceivedRequest,
    ScriptedServer,
    answer,
    async_gateway,
    async_until,
    route,
)


async def _async_ok(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(request))


async def _async_reset(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def _async_failure(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(answer(request, b"broken", status=500))


async def _async_full(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(request, status=503, extra="x-not-run: 1\r\n"))


async def test_request_is_forwarded_with_team_and_without_key() -> None:
    """A server must see the caller's team and never the key."""
    server = ScriptedServer("s1", _async_ok)
    async with async_gateway((route(),), (server,)) as gateway:
        response = await gateway.async_ask("x-team: forged\r\nx-deadline: 500\r\n")
    assert response.startswith(b"HTTP/1.1 200")
    assert response.endswith(b"done")
    assert b"x-signature: s1" in response
    (request,) = server.requests
    assert request.request_line == "GET /a/1 HTTP/1.1"
    assert request.headers["x-team"] == "team-a"
    assert request.headers["x-server"] == "s1"
    assert 0 < int(request.headers["x-deadline"]) <= 500
    assert "authorization" not in request.headers


async def test_unsafe_request_is_not_sent_again_after_a_reset() -> None:
    """A command that may have run must not run twice, nor be called not run."""
    servers = (ScriptedServer("s1", _async_reset), ScriptedServer("s2", _async_reset))
    unsafe = route(idempotent=False, attempts=1)
    async with async_gateway((unsafe,), servers) as gateway:
        response = await gateway.async_ask(method="POST", body="start")
    assert response.startswith(b"HTTP/1.1 502")
    assert sum(len(server.requests) for server in servers) == 1


async def test_rejected_unsafe_request_goes_to_another_server() -> None:
    """A rejection states that the command did not run, so it may be sent again."""
    full = ScriptedServer("s1", _async_full)
    free = ScriptedServer("s2", _async_ok)
    unsafe = route(idempotent=False, attempts=1)
    async with async_gateway((unsafe,), (full, free)) as gateway:
        gateway.state.backends.peer_load = {"s2": 1}
        response = await gateway.async_ask(method="POST", body="start")
    assert response.startswith(b"HTTP/1.1 200")
    assert len(full.requests) == len(free.requests) == 1


async def test_rejection_by_all_servers_is_a_refusal() -> None:
    """Nothing ran, so the caller is told to come back."""
    full = ScriptedServer("s1", _async_full)
    async with async_gateway((route(idempotent=False),), (full,)) as gateway:
        response = await gateway.async_ask(method="POST", body="start")
    assert response.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in response
    assert b"x-signature" not in response


async def test_safe_request_is_sent_again_after_a_failure() -> None:
    """A status read that one server fails is answered by another."""
    servers = (ScriptedServer("s1", _async_failure), ScriptedServer("s2", _async_ok))
    async with async_gateway((route(),), servers) as gateway:
        gateway.state.backends.peer_load = {"s2": 1}
        response = await gateway.async_ask()
    assert response.startswith(b"HTTP/1.1 200")


async def test_safe_request_runs_on_no_more_servers_than_allowed() -> None:
    """The route's attempts bound the servers that run one request."""
    servers = tuple(ScriptedServer(f"s{n}", _async_reset) for n in range(4))
    async with async_gateway((route(attempts=2),), servers) as gateway:
        response = await gateway.async_ask()
    assert response.startswith(b"HTTP/1.1 502")
    assert sum(len(server.requests) for server in servers) == 2


async def test_server_failure_keeps_its_status_and_signature() -> None:
    """A server's own failure is the caller's answer when no try is left."""
    server = ScriptedServer("s1", _async_failure)
    async with async_gateway((route(attempts=1),), (server,)) as gateway:
        response = await gateway.async_ask()
    assert response.startswith(b"HTTP/1.1 500")
    assert b"x-signature: s1" in response


async def test_success_without_signature_is_not_passed_on() -> None:
    """An unsigned success may come from something else than the server."""

    async def async_unsigned(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(answer(request, extra=""))

    server = ScriptedServer("s1", async_unsigned)
    async with async_gateway((route(),), (server,)) as gateway:
        response = await gateway.async_ask()
    assert response.startswith(b"HTTP/1.1 502")


async def test_late_answer_of_an_earlier_request_is_skipped() -> None:
    """Bytes that answer another request must not reach this caller."""

    async def async_late(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(answer(request, b"other", request_id="3"))
        writer.write(answer(request, b"mine"))

    server = ScriptedServer("s1", async_late)
    async with async_gateway((route(),), (server,)) as gateway:
        response = await gateway.async_ask()
    assert response.endswith(b"mine")


async def test_connection_with_extra_bytes_is_not_used_again() -> None:
    """Bytes after a whole answer would be read as the next request's answer."""

    async def async_extra(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(answer(request, b"mine") + answer(request, b"extra"))

    server = ScriptedServer("s1", async_extra)
    async with async_gateway((route(),), (server,)) as gateway:
        responses = [await gateway.async_ask() for _ in range(3)]
    assert all(response.endswith(b"mine") for response in responses)
    assert server.connections == 3


async def test_truncated_answer_is_not_passed_on() -> None:
    """A body that ends early must not look complete."""

    async def async_cut(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(request, b"long body")[:-3])
        await writer.drain()
        writer.close()

    server = ScriptedServer("s1", async_cut)
    async with async_gateway((route(attempts=1),), (server,)) as gateway:
        response = await gateway.async_ask()
    assert response.startswith(b"HTTP/1.1 502")
    assert b"long" not in response


async def test_answer_without_length_is_whole_when_its_connection_ends() -> None:
    """A server may mark the end of an answer by closing."""

    async def async_unframed(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        head = f"HTTP/1.1 200 OK\r\nx-id: {request.headers['x-id']}\r\n"
        writer.write(f"{head}x-signature: s\r\n\r\nwhole".encode())
        await writer.drain()
        writer.close()

    server = ScriptedServer("s1", async_unframed)
    async with async_gateway((route(),), (server,)) as gateway:
        response = await gateway.async_ask()
    assert response.startswith(b"HTTP/1.1 200")
    assert b"content-length: 5" in response.lower()
    assert response.endswith(b"whole")


async def test_route_timeout_gets_a_final_answer() -> None:
    """A caller must not wait beyond the route's timeout."""

    async def async_hang(_: ReceivedRequest, __: asyncio.StreamWriter) -> None:
        await asyncio.sleep(5)

    server = ScriptedServer("s1", async_hang)
    slow = route(timeout_s=0.2, idempotent=False, attempts=1)
    async with async_gateway((slow,), (server,)) as gateway:
        started_s = asyncio.get_running_loop().time()
        response = await gateway.async_ask(method="POST", body="x")
        waited_s = asyncio.get_running_loop().time() - started_s
    assert response.startswith(b"HTTP/1.1 504")
    assert waited_s < 0.7


async def test_caller_that_leaves_cancels_its_request() -> None:
    """A server must not go on working for a caller that is gone."""

    async def async_hang(_: ReceivedRequest, __: asyncio.StreamWriter) -> None:
        await asyncio.sleep(5)

    server = ScriptedServer("s1", async_hang)
    async with async_gateway((route(timeout_s=5.0),), (server,)) as gateway:
        _, writer = await asyncio.open_connection(
            gateway.address.host, gateway.address.port
        )
        writer.write(
            b"GET /a/1 HTTP/1.1\r\nhost: example\r\nx-id: 1\r\n"
            b"authorization: Key secret\r\n\r\n"
        )
        await async_until(lambda: bool(server.requests))
        left_s = asyncio.get_running_loop().time()
        writer.close()
        await async_until(lambda: not gateway.state.backends.local_load())
        assert asyncio.get_running_loop().time() - left_s < 0.5


async def test_unknown_key_and_route_are_refused() -> None:
    """Requests that the configuration does not allow reach no server."""
    server = ScriptedServer("s1", _async_ok)
    async with async_gateway((route(),), (server,)) as gateway:
        wrong_path = await gateway.async_ask(path="/b/1")
        gateway.state.configuration().teams_by_key.clear()  # type: ignore[union-attr]
        wrong_key = await gateway.async_ask()
    assert wrong_path.startswith(b"HTTP/1.1 404")
    assert wrong_key.startswith(b"HTTP/1.1 401")
    assert server.requests == []


async def test_unreachable_server_does_not_fail_a_command() -> None:
    """Nothing was sent to a server that accepts no connection."""
    gone = ScriptedServer("s1", _async_ok)
    server = ScriptedServer("s2", _async_ok)
    unsafe = route(idempotent=False, attempts=1)
    async with async_gateway((unsafe,), (gone, server)) as gateway:
        gateway.servers["s1"] = replace(
            gateway.servers["s1"], address=Address("127.0.0.1", 1)
        )
        gateway.state.backends.peer_load = {"s2": 1}
        response = await gateway.async_ask(method="POST", body="x")
    assert response.startswith(b"HTTP/1.1 200")
    assert gone.requests == []
