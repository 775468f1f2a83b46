"""Tests of the planned stop."""

import asyncio
import socket

from gooseberryhall.entry.stop import async_drain
from tests.entry.conftest import LIMIT_S, Cluster, async_until, chat
from tests.entry.engine import Script


async def test_planned_stop_finishes_streams(stopping_cluster: Cluster) -> None:
    """A rolling restart must cut off no request (P7)."""
    cluster = stopping_cluster
    engine = cluster.engines[0]
    engine.scripts.append(Script(delay_s=0.15))
    async with cluster.client.get(f"{cluster.url}/ready") as ready:
        assert ready.status == 200
    response = await cluster.post(chat(stream=True))
    drain = asyncio.create_task(async_drain(cluster.front))
    await async_until(lambda: cluster.front.stopping)
    async with cluster.client.get(f"{cluster.url}/ready") as ready:
        assert ready.status == 503
    async with cluster.post(chat()) as during_notice:
        assert during_notice.status == 200
    await async_until(lambda: not cluster.front.accepting)
    async with cluster.post(chat()) as refused:
        error = (await refused.json())["error"]
    assert (refused.status, error["code"], error["ran"]) == (503, "stopping", "no")
    assert (await response.text()).endswith("data: [DONE]\n\n")
    await asyncio.wait_for(drain, 5)
    assert cluster.front.in_flight == 0


async def test_drain_limit_ends_with_an_error_event(cluster: Cluster) -> None:
    """A stream that outlives the drain limit must not pass for a complete one."""
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
    await asyncio.wait_for(async_drain(cluster.front), 5)
    body = await response.text()
    assert "[DONE]" not in body
    assert '"code": "stopping"' in body


async def test_requests_that_the_kernel_accepted_are_answered(
    cluster: Cluster,
) -> None:
    """Connections were reset when the listening socket closed at a planned stop.

    One chat of test_stopped_entry_vm_finishes_its_requests ended with ECONNRESET
    after 13 ms.
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
        answers = [await loop.sock_recv(caller, 20) for caller in callers]
    await closing
    assert {answer[:12] for answer in answers} == {b"HTTP/1.1 503"}
    for caller in callers:
        caller.close()
