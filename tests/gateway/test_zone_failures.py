"""Tests of zones whose servers are out of reach."""

import asyncio
from dataclasses import replace

from gooseberryhall.fleet.models import ServedGroup
from gooseberryhall.gateway.zone_failures import FAILURE_LIFETIME_S, ZoneFailures
from gooseberryhall.transport.address import Address

from .common import (
    ReceivedRequest,
    ScriptedServer,
    async_gateway,
    chunk,
    event,
    stream_head,
    stream_route,
)


def test_zone_is_suspected_after_two_servers() -> None:
    """Guards against a zone that is avoided for the loss of a single server."""
    failures = ZoneFailures()
    failures.record_failure("a", "s1", 1.0)
    failures.record_failure("a", "s1", 1.1)
    failures.record_failure("b", "s3", 1.1)
    assert not failures.is_suspected("a", 1.1)
    failures.record_failure("a", "s2", 1.2)
    assert failures.is_suspected("a", 1.2)
    assert not failures.is_suspected("b", 1.2)


def test_zone_is_used_again() -> None:
    """Guards against a zone that is avoided after its servers are back."""
    failures = ZoneFailures()
    for server_id in ("s1", "s2"):
        failures.record_failure("a", server_id, 1.0)
    assert not failures.is_suspected("a", 1.0 + FAILURE_LIFETIME_S)
    for server_id in ("s1", "s2"):
        failures.record_failure("a", server_id, 3.0)
    failures.record_progress("a")
    assert not failures.is_suspected("a", 3.0)


async def test_request_is_served_by_another_zone_if_its_own_is_lost() -> None:
    """Guards against requests that try four lost servers of a zone and are refused."""

    async def async_script(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(request) + chunk(event(1)) + chunk(b""))

    remote = ScriptedServer("remote", async_script)
    async with async_gateway((stream_route(),), leaders=(remote,)) as gateway:
        alive = gateway.servers["remote"] = replace(gateway.servers["remote"], zone="y")
        gateway.groups[:] = [ServedGroup("large", alive)]
        for number in range(8):
            # No server listens on port 9 of these addresses.
            address = Address(f"127.0.0.{100 + number}", 9)
            lost = replace(alive, server_id=f"s{number}", address=address, zone="z")
            gateway.servers[lost.server_id] = lost
            gateway.groups.append(ServedGroup("large", lost))
        responses = [await gateway.async_request() for _ in range(3)]
    assert all(response.startswith(b"HTTP/1.1 200") for response in responses)


async def test_server_of_the_only_zone_is_tried_after_failures_of_others() -> None:
    """Guards against sound groups that are refused as no zone seems within reach."""

    async def async_script(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(stream_head(request) + chunk(event(1)) + chunk(b""))

    alive = ScriptedServer("alive", async_script)
    async with async_gateway((stream_route(),), leaders=(alive,)) as gateway:
        now_s = asyncio.get_running_loop().time()
        for server_id in ("s1", "s2"):
            gateway.state.zone_failures.record_failure("z", server_id, now_s)
        response = await gateway.async_request()
    assert response.startswith(b"HTTP/1.1 200")
