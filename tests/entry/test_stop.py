"""Tests of the planned stop."""

import asyncio

from gooseberryhall.entry.stop import async_drain
from tests.entry.conftest import Cluster, async_until, chat
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
