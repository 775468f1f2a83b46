"""Groups, streams, orders and faults of the engine stand-in."""

import json
from typing import Any

import aiohttp

from standins.answers import expected_answer
from standins.cluster import Cluster, async_wait_for

MESSAGES = [{"role": "user", "content": "how dry is silo 4"}]
START_LIMIT_S = 5.0


async def _async_order(
    cluster: Cluster, vm: str, rank: int, fence: int, order: str = "form"
) -> int:
    members = [
        {"vm": item.vm, "address": cluster.engine_address(item.vm)}
        for item in cluster.vms[:2]
    ]
    body = {"order": order, "fence": fence, "group": "g1", "generation": fence}
    body |= {"rank": rank, "members": members, "model": "m", "version": "1"}
    headers = {"Authorization": f"Bearer {cluster.layout.options.order_token}"}
    url = f"{cluster.engine_address(vm)}/orders"
    async with cluster.session.post(url, json=body, headers=headers) as response:
        return response.status


async def _async_health(cluster: Cluster, vm: str) -> dict[str, Any]:
    return (await cluster.async_get(f"{cluster.engine_address(vm)}/health"))[1] or {}


async def _async_wait_state(cluster: Cluster, vm: str, state: str) -> None:
    async def async_has_state() -> bool:
        return (await _async_health(cluster, vm)).get("state") == state

    await async_wait_for(async_has_state, START_LIMIT_S, f"{vm} {state}")


async def _async_form(cluster: Cluster, fence: int = 7) -> str:
    for rank, item in enumerate(cluster.vms[:2]):
        assert await _async_order(cluster, item.vm, rank, fence) == 200
    await _async_wait_state(cluster, cluster.vms[0].vm, "serving")
    return cluster.engine_address(cluster.vms[0].vm)


def _post(
    cluster: Cluster, leader: str, request_id: str, tokens: int, generation: int = 7
) -> Any:
    headers = {"X-Request-Id": request_id, "X-Group": "g1"}
    headers["X-Generation"] = str(generation)
    body = {"model": "m", "messages": MESSAGES, "max_tokens": tokens, "stream": True}
    url = f"{leader}/v1/chat/completions"
    return cluster.session.post(url, json=body, headers=headers)


def _text(raw: bytes) -> str:
    lines = [line[6:] for line in raw.splitlines() if line.startswith(b"data: ")]
    chunks = [json.loads(line) for line in lines if line != b"[DONE]"]
    parts = [c["delta"].get("content", "") for k in chunks for c in k["choices"]]
    return "".join(parts)


async def test_a_group_serves_only_with_all_members(cluster: Cluster) -> None:
    """Guards against a leader that serves while a member is missing."""
    leader, other = cluster.vms[0].vm, cluster.vms[1].vm
    assert await _async_order(cluster, leader, 0, 7) == 200

    async def async_is_loaded() -> bool:
        return (await _async_health(cluster, leader))["load_fraction"] == 1.0

    await async_wait_for(async_is_loaded, START_LIMIT_S, "weights")
    assert (await _async_health(cluster, leader))["state"] == "loading"
    assert await _async_order(cluster, other, 1, 7) == 200
    await _async_wait_state(cluster, leader, "serving")
    cluster.kill(other)
    await _async_wait_state(cluster, leader, "failed")
    await cluster.async_restart(other)
    await cluster.async_wait_ready(other)
    assert (await _async_health(cluster, leader))["state"] == "failed"


async def test_the_response_is_complete_and_echoes_its_request(
    cluster: Cluster,
) -> None:
    """Guards against responses that a caller cannot verify as its own."""
    leader = await _async_form(cluster)
    async with _post(cluster, leader, "r1", 40) as response:
        raw = await response.read()
        echoed = [response.headers[f"X-{n}"] for n in ("Request-Id", "Group")]
    assert echoed == ["r1", "g1"]
    assert _text(raw) == expected_answer(MESSAGES, 40)
    ids = [int(line[4:]) for line in raw.splitlines() if line.startswith(b"id: ")]
    assert ids == list(range(1, 43))
    assert raw.endswith(b"data: [DONE]\n\n")
    async with _post(cluster, leader, "r2", 4, generation=6) as response:
        assert response.status == 409
        assert await response.json() == {"error": "wrong_group"}


async def test_a_stream_survives_its_connection_and_resumes(cluster: Cluster) -> None:
    """Guards against a stream that ends with its first connection."""
    leader = await _async_form(cluster)
    async with _post(cluster, leader, "r1", 60) as response:
        first_event = await response.content.readuntil(b"\n\n")
        response.close()
    async with cluster.session.get(f"{leader}/v1/streams/r1?after=1") as response:
        rest = await response.read()
    assert _text(first_event + rest) == expected_answer(MESSAGES, 60)
    async with cluster.session.delete(f"{leader}/v1/streams/r1") as response:
        assert response.status == 200
    assert (await cluster.async_get(f"{leader}/v1/streams/r1"))[0] == 404


async def test_the_loss_of_a_member_breaks_streams(cluster: Cluster) -> None:
    """Guards against a stream that looks complete although its group lost a member."""
    leader = await _async_form(cluster)
    async with _post(cluster, leader, "r1", 2000) as response:
        await response.content.readuntil(b"\n\n")
        cluster.kill(cluster.vms[1].vm)
        try:
            await response.read()
            raise AssertionError("the stream ended without an error")
        except aiohttp.ClientError:
            pass
    records = await cluster.async_records(leader)
    assert (records["broken"], records["finished"]) == (1, 0)


async def test_stale_orders_are_refused_or_followed(cluster: Cluster) -> None:
    """Guards against engines that ignore the fencing option."""
    vm = cluster.vms[0].vm
    address = cluster.engine_address(vm)
    await _async_form(cluster, fence=9)
    assert await _async_order(cluster, vm, 0, 8, "release") == 409
    await cluster.async_control(address, honour_fence=False)
    assert await _async_order(cluster, vm, 0, 8, "release") == 200
    assert (await _async_health(cluster, vm))["state"] == "idle"
    async with cluster.session.post(f"{address}/orders", json={}) as response:
        assert response.status == 401
    orders = (await cluster.async_records(address))["orders"]
    results = [order["result"] for order in orders]
    assert results == ["accepted", "stale_fence", "accepted", "wrong_token"]


async def test_a_pause_stops_the_whole_engine(cluster: Cluster) -> None:
    """Guards against a paused engine that still responds to probes."""
    address = cluster.engine_address(cluster.vms[0].vm)
    await cluster.async_control(address, pause_s=1.0)
    timeout = aiohttp.ClientTimeout(total=0.3)

    async def async_is_unresponsive() -> bool:
        try:
            async with cluster.session.get(f"{address}/health", timeout=timeout):
                return False
        except TimeoutError:
            return True

    await async_wait_for(async_is_unresponsive, 1.0, "pause")
    await cluster.async_wait_ready(cluster.vms[0].vm)


async def test_a_marked_prompt_crashes_the_engine(cluster: Cluster) -> None:
    """Guards against a crash marker that only fails the request."""
    leader = await _async_form(cluster)
    before = await _async_health(cluster, cluster.vms[0].vm)
    marked = [{"role": "user", "content": "please CRASH-SERVER now"}]
    headers = {"X-Request-Id": "r1", "X-Group": "g1", "X-Generation": "7"}
    body = {"model": "m", "messages": marked, "max_tokens": 9, "stream": True}
    url = f"{leader}/v1/chat/completions"
    async with cluster.session.post(url, json=body, headers=headers) as response:
        assert (await response.content.readline()).startswith(b"id: 1")
    process = cluster.process(cluster.vms[0].vm)
    assert await process.async_wait_ended(START_LIMIT_S) == 70
    process.start()
    await cluster.async_wait_ready(cluster.vms[0].vm)
    after = await _async_health(cluster, cluster.vms[0].vm)
    assert after["boot_id"] != before["boot_id"]
