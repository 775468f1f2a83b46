"""Tests that the plain service runs and records every command that arrives."""

import aiohttp
import pytest

from standins.cluster import Cluster


async def test_command_with_a_lost_response_has_run(cluster: Cluster) -> None:
    """Guards against a stand-in that hides the second run of a repeated command."""
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


async def test_charge_changes_the_balance(cluster: Cluster) -> None:
    """Guards against charges that are missing from the balance."""
    address = cluster.services[0].address
    charge = {"member": "m1", "amount": 40}
    async with cluster.session.post(f"{address}/charges", json=charge) as response:
        assert response.status == 200
    assert (await cluster.async_get(f"{address}/balances/m1"))[1]["balance"] == 40
