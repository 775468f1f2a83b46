"""Tests of second copies of requests for streams."""

import asyncio

import pytest

from gooseberryhall.fleet.models import Route
from tests.gateway.common import (
    ReceivedRequest,
    Script,
    async_hedging_gateway,
    chunk,
    encode_response,
    event,
    event_ids,
    hedge_events,
    route,
    stream_head,
    stream_route,
)

ROUTES = [stream_route(), route(streaming=True)]


def _stream(name: str, head_s: float, events_s: float) -> Script:
    """Return a script that sends a head and, later, two events."""

    async def async_stream(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(head_s)
        writer.write(stream_head(request, name))
        await asyncio.sleep(events_s)
        writer.write(chunk(event(1)))
        await asyncio.sleep(0.05)
        writer.write(chunk(event(2)) + chunk(b""))

    return async_stream


async def _async_failure(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(0.05)
    writer.write(encode_response(request, b"bad", status=500))


@pytest.mark.parametrize("used", ROUTES)
@pytest.mark.parametrize(
    "first", [_stream("one", 9, 0), _stream("one", 0, 9), _stream("one", 0.06, 9)]
)
async def test_second_copy_gives_the_first_event(first: Script, used: Route) -> None:
    """Guards against a late first event while another server has a free slot."""
    second = _stream("two", 0, 0.1)
    async with async_hedging_gateway(used, first, second) as (gateway, *_):
        response = await gateway.async_request()
        assert event_ids(response) == [1, 2]
        assert b"x-signature: two" in response
        assert b"x-signature: one" not in response
        assert response.endswith(b"0\r\n\r\n")
        assert hedge_events(gateway) == [1, 1, 0]
        assert gateway.state.backends.failure_rate("s1") == 0
        assert gateway.state.backends.local_load() == {}


async def test_copies_of_a_plain_stream_have_the_whole_time() -> None:
    """Guards against ending both copies when the time of a single first one is over."""
    first, second = _stream("one", 9, 0), _stream("two", 0, 0.65)
    async with async_hedging_gateway(ROUTES[1], first, second) as (gateway, *_):
        assert event_ids(await gateway.async_request()) == [1, 2]


@pytest.mark.parametrize("used", ROUTES)
async def test_first_server_may_go_on_after_the_copy(used: Route) -> None:
    """Guards against a stream that mixes the events of two servers."""
    first, second = _stream("one", 0.06, 0), _stream("two", 0, 9)
    async with async_hedging_gateway(used, first, second) as (gateway, _, other):
        response = await gateway.async_request()
        assert event_ids(response) == [1, 2]
        assert b"x-signature: one" in response
        assert len(other.requests) == 1
        assert hedge_events(gateway) == [1, 0, 1]
        assert gateway.state.backends.local_load() == {}


@pytest.mark.parametrize("used", ROUTES)
async def test_failure_does_not_end_the_second_copy(used: Route) -> None:
    """Guards against a failed stream while another server is about to answer."""
    second = _stream("two", 0, 0.1)
    async with async_hedging_gateway(used, _async_failure, second) as (
        gateway,
        _,
        other,
    ):
        response = await gateway.async_request()
        assert event_ids(response) == [1, 2]
        assert len(other.requests) == 1


async def test_started_stream_has_no_second_copy() -> None:
    """Guards against extra work for a stream whose first event came in time."""
    first, second = _stream("one", 0, 0), _stream("two", 0, 0)
    async with async_hedging_gateway(ROUTES[0], first, second) as (gateway, _, other):
        assert event_ids(await gateway.async_request()) == [1, 2]
        assert not other.requests
        assert hedge_events(gateway) == [0, 0, 0]
