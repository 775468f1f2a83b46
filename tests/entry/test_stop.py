"""Tests of the planned stop of the entry program."""

import asyncio
import socket

from gooseberryhall.entry.stop import async_drain
from tests.entry.conftest import LIMIT_S, Cluster, async_until, chat
from tests.entry.engine import Script


async def test_planned_stop_finishes_streams(stopping_cluster: Cluster) -> None:
    """Guards against a rolling restart that cuts off requests (P7)."""
    cluster = stopping_cluster
    engine = cluster.engines[0]
    engine.scripts.append(Script(delay_s=0.15))
    async with cluster.client.get(f"{cluster.url}/ready") as ready:
        assert ready.status == 200
    response = await cluster.post(chat(stream=True))
    drain = asyncio.create_task(async_drain(cluster.frontend))
    await async_until(lambda: cluster.frontend.stopping)
    async with cluster.client.get(f"{cluster.url}/ready") as ready:
        assert ready.status == 503
    async with cluster.post(chat()) as during_notice:
        assert during_notice.status == 200
    await async_until(lambda: not cluster.frontend.accepting)
    async with cluster.post(chat()) as refused:
        error = (await refused.json())["error"]
    assert (refused.status, error["code"], error["ran"]) == (503, "stopping", "no")
    assert (await response.text()).endswith("data: [DONE]\n\n")
    await asyncio.wait_for(drain, 5)
    assert cluster.frontend.in_flight == 0


async def test_drain_limit_ends_with_an_error_event(cluster: Cluster) -> None:
    """Guards against a stream cut at the drain limit that looks complete."""
    engine = cluster.engines[0]
    engine.scripts.append(Script(delay_s=0.4))
    cluster.ctx.settings = cluster.ctx.settings.model_copy(
        update={
            "entry": cluster.ctx.settings.entry.model_copy(
                update={"drain_limit_s": 0.3}
            )
        }
    )
    response = await cluster.post(chat(stream=True))
    await asyncio.wait_for(async_drain(cluster.frontend), 5)
    body = await response.text()
    assert "[DONE]" not in body
    assert '"code": "stopping"' in body


async def test_requests_on_queued_connections_get_a_response(
    cluster: Cluster,
) -> None:
    """Guards against resets of connections when the listening socket closes.

    At a planned stop, one chat of test_stopped_entry_vm_finishes_its_requests ended
    with ECONNRESET after 13 ms.
    """
    closing = asyncio.create_task(cluster.stack.pop_all().aclose())
    await asyncio.sleep(0)
    # The listening socket closes when the event loop runs next.
    callers = [socket.create_connection(("127.0.0.1", cluster.port)) for _ in range(5)]
    for caller in callers:
        caller.sendall(b"GET /ready HTTP/1.1\r\nhost: a\r\n\r\n")
        caller.setblocking(False)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(LIMIT_S):
        responses = [await loop.sock_recv(caller, 20) for caller in callers]
    await closing
    assert {response[:12] for response in responses} == {b"HTTP/1.1 503"}
    for caller in callers:
        caller.close()
