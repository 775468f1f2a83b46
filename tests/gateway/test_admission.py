"""Tests of admission with scripted servers."""

import asyncio
import re

import pytest

from gooseberryhall.admission.decision import WaitEnd
from gooseberryhall.gateway.app import route_request
from gooseberryhall.gateway.context import RequestContext
from gooseberryhall.gateway.models import CallerRequest
from gooseberryhall.gateway.stopping import StopSchedule
from gooseberryhall.gossip.models import PeerTraffic
from gooseberryhall.node.traffic import apply_peer_traffic
from tests.gateway.common import (
    ReceivedRequest,
    ScriptedServer,
    async_gateway,
    async_until,
    chunk,
    encode_response,
    event,
    route,
    stream_head,
    stream_route,
)


async def _async_ok(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(request))


async def _async_stream(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(stream_head(request) + chunk(event(1)) + chunk(b""))


@pytest.mark.parametrize(
    ("extra", "expected"),
    [
        ("x-deadline: 1000\r\n", "2"),
        ("x-deadline: 700\r\n", "6"),
        ("x-deadline: 700\r\nx-priority: 0\r\n", "6"),
    ],
)
async def test_late_request_is_sent_with_a_less_urgent_priority(
    extra: str, expected: str
) -> None:
    """Guards against late requests that a server starts before others.

    After the loss of all nodes, callers come back when their objective has passed.
    """
    server = ScriptedServer("s1", _async_ok)
    async with async_gateway((route(),), (server,)) as gateway:
        await gateway.async_request("x-deadline: 1000\r\n")
        await gateway.async_request(extra)
    assert server.requests[-1].headers["x-priority"] == expected


async def test_request_without_a_deadline_does_not_make_others_late() -> None:
    """Guards against callers with deadlines that count as late ever after.

    The time already spent follows from the longest deadline that callers declared.
    """
    server = ScriptedServer("s1", _async_ok)
    async with async_gateway((route(),), (server,)) as gateway:
        await gateway.async_request()
        await gateway.async_request("x-deadline: 700\r\n")
    assert server.requests[-1].headers["x-priority"] == "2"


@pytest.mark.parametrize("digits", [400, 5000])
@pytest.mark.parametrize("header", ["x-deadline: {}", "x-tokens: 1,{}"])
async def test_number_with_many_digits_is_ignored(header: str, digits: int) -> None:
    """Guards against a fault of the program when a header holds a huge number."""
    server = ScriptedServer("s1", _async_ok)
    async with async_gateway((route(),), (server,)) as gateway:
        response = await gateway.async_request(header.format("9" * digits) + "\r\n")
    assert response.startswith(b"HTTP/1.1 200")


async def test_resumed_stream_is_not_late() -> None:
    """Guards against a broken stream that waits behind requests without events."""

    async def async_break(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(request) + chunk(event(1)))
        await writer.drain()
        await asyncio.sleep(0.25)
        writer.transport.abort()

    async def async_go_on(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(request) + chunk(event(2)) + chunk(b""))

    leaders = (ScriptedServer("a", async_break), ScriptedServer("b", async_go_on))
    async with async_gateway((stream_route(),), (), leaders) as gateway:
        gateway.prefer("a")
        response = await gateway.async_request()
    assert response.endswith(b"0\r\n\r\n")
    assert leaders[1].requests[0].headers["x-priority"] == "2"


async def test_plain_request_waits_for_room() -> None:
    """Guards against refusals while the servers are full for a moment."""
    server = ScriptedServer("s1", _async_ok)
    async with async_gateway((route(latency_objective_s=0.8),), (server,)) as gateway:
        gateway.state.backends.peer_load = {"s1": 12}
        request = asyncio.create_task(gateway.async_request())
        await asyncio.sleep(0.03)
        assert not request.done()
        gateway.state.backends.peer_load = {}
        gateway.state.waiting.wake()
        response = await request
    assert response.startswith(b"HTTP/1.1 200")


async def test_request_that_was_rejected_is_sent_when_a_request_ends() -> None:
    """Guards against the refusal of a request that its server could run soon.

    Pattern: a burst in which the only server rejects requests for some milliseconds.
    """
    release = asyncio.Event()

    async def async_run(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if not release.is_set() and len(server.requests) > 1:
            writer.write(encode_response(request, status=503, extra="x-not-run: 1\r\n"))
            return
        await release.wait()
        writer.write(encode_response(request))

    server = ScriptedServer("s1", async_run)
    async with async_gateway((route(latency_objective_s=0.8),), (server,)) as gateway:
        requests = [asyncio.create_task(gateway.async_request()) for _ in range(2)]
        await async_until(lambda: len(server.requests) == 2)
        await asyncio.sleep(0.03)
        assert len(server.requests) == 2
        release.set()
        responses = await asyncio.gather(*requests)
    assert all(response.startswith(b"HTTP/1.1 200") for response in responses)
    assert len(server.requests) == 3


async def test_refused_caller_keeps_most_of_its_time() -> None:
    """Guards against a `Retry-After` that no caller honours."""
    async with async_gateway((route(),), (ScriptedServer("s1", _async_ok),)) as gateway:
        gateway.state.backends.peer_load = {"s1": 12}
        response = await gateway.async_request("x-deadline: 300\r\n")
    assert response.startswith(b"HTTP/1.1 503")
    (value,) = re.findall(rb"retry-after: ([0-9.]+)", response)
    assert 0.05 <= float(value) <= 0.1


async def test_stop_refuses_waiting_streams() -> None:
    """Guards against streams that wait at a node that stops."""
    leader = ScriptedServer("a", _async_stream)
    streaming = stream_route(latency_objective_s=4.0, timeout_s=4.0)
    async with async_gateway((streaming,), (), (leader,)) as gateway:
        gateway.state.backends.peer_load = {"a": 8}
        request = asyncio.create_task(gateway.async_request())
        await asyncio.sleep(0.03)
        assert not request.done()
        now_s = asyncio.get_running_loop().time()
        gateway.state.begin_stop(StopSchedule(now_s + 1, now_s + 2, now_s + 3))
        response = await request
    assert response.startswith(b"HTTP/1.1 503")
    assert b"this node is stopping" in response


async def test_node_that_has_just_started_takes_groups_for_half_full() -> None:
    """Guards against filling groups whose load a node does not know yet.

    Pattern: all nodes restart and each believes that all groups are idle.
    """
    leader = ScriptedServer("a", _async_stream)
    async with async_gateway((stream_route(),), (), (leader,)) as gateway:
        state = gateway.state
        state.backends.traffic_known = False
        request = CallerRequest(
            b"GET", b"/a/1", [(b"host", b"example"), (b"x-id", b"1")], b"", False, 0.0
        )
        request.headers.append((b"authorization", b"Key secret"))
        ctx = route_request(state, state.configuration(), request)
        assert isinstance(ctx, RequestContext)
        assert [item.in_flight for item in state.candidates(ctx, 0.0)] == [2]
        apply_peer_traffic(state.backends, {})
        assert [item.in_flight for item in state.candidates(ctx, 0.0)] == [2]
        apply_peer_traffic(state.backends, {"b": PeerTraffic(1)})
        assert [item.in_flight for item in state.candidates(ctx, 0.0)] == [0]


async def test_request_for_a_model_that_is_not_configured_does_not_wait() -> None:
    """Guards against callers of unknown models that take the places of others."""
    leader = ScriptedServer("a", _async_stream)
    async with async_gateway((stream_route(),), (), (leader,)) as gateway:
        state = gateway.state
        now_s = asyncio.get_running_loop().time()
        headers = [(b"host", b"example"), (b"x-id", b"1"), (b"x-model", b"other")]
        headers.append((b"authorization", b"Key secret"))
        request = CallerRequest(b"GET", b"/a/1", headers, b"", False, now_s)
        ctx = route_request(state, state.configuration(), request)
        assert isinstance(ctx, RequestContext)
        assert await state.waiting.async_choose(ctx) is None
    assert ctx.wait_end is WaitEnd.UNSERVABLE


async def test_slots_go_to_streams_that_can_be_in_time() -> None:
    """Guards against late streams that take the slots of those in time.

    Pattern: callers come back after an outage while new ones arrive; a group has two
    free slots.
    """
    order = []

    async def async_serve(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        order.append(request.headers["x-priority"])
        await asyncio.sleep(0.02)
        writer.write(stream_head(request) + chunk(event(1)) + chunk(b""))

    leader = ScriptedServer("a", async_serve)
    streaming = stream_route(latency_objective_s=0.8, timeout_s=4.0)
    async with async_gateway((streaming,), (), (leader,)) as gateway:
        await gateway.async_request("x-deadline: 4000\r\n")
        gateway.state.backends.peer_load = {"a": 2}
        deadlines = (2000, 2000, 2000, 2000, 4000, 4000)
        requests = [
            gateway.async_request(f"x-deadline: {deadline}\r\n")
            for deadline in deadlines
        ]
        responses = await asyncio.gather(*requests)
    assert all(response.startswith(b"HTTP/1.1 200") for response in responses)
    assert order[0] == "2"
    assert order[1:5].count("2") == 2
    assert order.count("6") == 4
