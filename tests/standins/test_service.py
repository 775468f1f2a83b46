"""The plain service runs every command that arrives and counts it."""

import aiohttp
import pytest

from standins.cluster import Cluster


async def test_a_lost_answer_has_run(cluster: Cluster) -> None:
    """Guards against a service that hides a second run of a command."""
    address = cluster.services[0].address
    headers = {"X-Request-Id": "r1", "Idempotency-Key": "k1"}
    await cluster.async_control(address, lose_answers=1)
    with pytest.raises(aiohttp.ClientError):
        await cluster.session.post(f"{address}/fans/7/start", headers=headers)
    async with cluster.session.post(
        f"{address}/fans/7/start", headers=headers
    ) as response:
        assert response.headers["X-Request-Id"] == "r1"
        body = await response.json()
    assert (body["state"], body["run"]) == ("running", 2)
    runs = (await cluster.async_records(address))["runs"]
    assert [run["idempotency_key"] for run in runs] == ["k1", "k1"]


async def test_collections_change_balances(cluster: Cluster) -> None:
    """Guards against charges that a balance check does not show."""
    address = cluster.services[0].address
    charge = {"member": "m1", "amount": 40}
    async with cluster.session.post(f"{address}/charges", json=charge) as response:
        assert response.status == 200
    assert (await cluster.async_get(f"{address}/balances/m1"))[1]["balance"] == 40
