"""Tests of the wire formats and injected faults of the platform stand-in."""

from typing import Any

from gooseberryhall.adapters.exceptions import TableUnavailableError
from gooseberryhall.adapters.objects import HttpObjectStore
from gooseberryhall.adapters.table import HttpTable, Transaction
from standins.cluster import Cluster, async_wait_for


async def _async_txn(cluster: Cluster, **body: Any) -> tuple[int, Any]:
    payload = {"token": "t", "checks": [], "puts": [], "deletes": [], **body}
    url = f"{cluster.platform_address}/txn"
    async with cluster.session.post(url, json=payload) as response:
        return response.status, await response.json()


async def test_a_conflicting_transaction_changes_nothing(cluster: Cluster) -> None:
    """Guards against partial writes and conflicts that lack the current row."""
    first = {"checks": [{"key": "a", "version": 0}]}
    put = [{"key": "a", "value": {"n": 1}}, {"key": "b", "value": {"n": 2}}]
    assert await _async_txn(cluster, **first, puts=put) == (200, {"revision": 1})
    status, body = await _async_txn(
        cluster,
        checks=[{"key": "a", "version": 0}, {"key": "c", "version": 9}],
        puts=[{"key": "d", "value": {}}],
    )
    assert status == 409
    assert body["conflicts"] == [
        {"key": "a", "version": 1, "value": {"n": 1}},
        {"key": "c", "version": 0, "value": None},
    ]
    _, page = await cluster.async_get(
        f"{cluster.platform_address}/rows?prefix=&limit=1"
    )
    assert page == {
        "rows": [{"key": "a", "version": 1, "value": {"n": 1}}],
        "revision": 1,
        "more": True,
    }


async def test_adapter_recognizes_a_commit_whose_response_was_lost(
    cluster: Cluster,
) -> None:
    """Guards against a stand-in that loses the write along with the response."""
    table = HttpTable(cluster.session, cluster.platform_address)
    await cluster.async_control(cluster.platform_address, lose_answers=1)
    result = await table.async_commit(Transaction({"k": 0}, {"k": {"n": 1}}))
    row = await table.async_read("k")
    assert row is not None
    assert (result.ok_value, row.version) == (1, 1)
    records = await cluster.async_records(cluster.platform_address)
    assert (records["writes"], records["conflicts"]) == (1, 1)


async def test_outages_are_independent_and_end(cluster: Cluster) -> None:
    """Guards against an outage that affects another part or does not end."""
    address = cluster.platform_address
    table = HttpTable(cluster.session, address)
    objects = HttpObjectStore(cluster.session, address)
    await cluster.async_control(address, down=True)
    await objects.async_put("claims/1", b"data")
    try:
        await table.async_read("k")
        raise AssertionError("the table responded while it was down")
    except TableUnavailableError:
        pass
    await cluster.async_control(address, down=False)
    assert await table.async_read("k") is None
    assert await objects.async_get("claims/1") == b"data"
    async with cluster.session.post(f"{address}/_control", json={"x": 1}) as response:
        assert response.status == 400


async def test_vm_list_lags(cluster: Cluster) -> None:
    """Guards against a VM list that shows changes without its lag."""
    address, vm = cluster.platform_address, cluster.vms[0].vm

    async def async_states() -> dict[str, str]:
        _, body = await cluster.async_get(f"{address}/vms")
        return {item["vm"]: item["state"] for item in body["vms"]}

    await cluster.async_control(address, vm_state={vm: "leaving"})
    assert (await async_states())[vm] == "live"

    async def async_is_leaving() -> bool:
        return (await async_states())[vm] == "leaving"

    assert await async_wait_for(async_is_leaving, 2.0, "VM listed as leaving") > 0.1
    await cluster.async_control(address, remove_vm=[vm])

    async def async_is_gone() -> bool:
        return vm not in await async_states()

    await async_wait_for(async_is_gone, 2.0, "VM removed from the list")
