"""Tests of requests that are refused before they are executed."""

import pytest

from gooseberryhall.const import MAX_BODY_BYTES
from tests.entry.conftest import Cluster, chat


@pytest.mark.parametrize(
    "authorization", ["", "Bearer ", "Bearer wrong", "Basic aGk6aGk="]
)
async def test_wrong_token_is_refused(cluster: Cluster, authorization: str) -> None:
    """Guards against a caller without a valid token that reaches an engine."""
    async with cluster.post(chat(), Authorization=authorization) as response:
        body = await response.json()
    assert response.status == 401
    assert body["error"]["code"] == "invalid_token"
    assert body["error"]["ran"] == "no"
    assert cluster.engines[0].requests == []


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"{", "invalid_json"),
        (b"\xff\xfe", "invalid_json"),
        (b"[]", "invalid_request"),
        (b'{"model": "grain"}', "invalid_request"),
        (b'{"model": "grain", "messages": []}', "invalid_request"),
        (b'{"model": 7, "messages": [{}]}', "invalid_request"),
        (b"[" * 100_000, "invalid_json"),
    ],
)
async def test_malformed_body_is_explained(
    cluster: Cluster, body: bytes, code: str
) -> None:
    """Guards against malformed input that causes an internal error."""
    async with cluster.post(body) as response:
        error = (await response.json())["error"]
    assert (response.status, error["code"], error["ran"]) == (400, code, "no")


async def test_sizes_are_limited(cluster: Cluster) -> None:
    """Guards against oversize requests that exhaust the memory of an entry VM."""
    async with cluster.post(b"x" * (MAX_BODY_BYTES + 1)) as response:
        error = (await response.json())["error"]
    assert (response.status, error["code"]) == (413, "body_too_large")
    async with cluster.post(chat(), X_Filler="x" * 17_000) as response:
        error = (await response.json())["error"]
    assert (response.status, error["code"]) == (431, "headers_too_large")


async def test_unknown_model_and_path(cluster: Cluster) -> None:
    """Guards against a wrong model name or path that looks like an outage."""
    async with cluster.post({**chat(), "model": "other"}) as response:
        assert response.status == 404
        assert (await response.json())["error"]["code"] == "model_not_found"
    async with cluster.client.get(f"{cluster.url}/nothing") as response:
        assert response.status == 404
        assert (await response.json())["error"]["ran"] == "no"


async def test_stale_evidence_is_not_routed_to(cluster: Cluster) -> None:
    """Guards against requests to a group without fresh evidence (P1).

    Its VMs may belong to another group by then.
    """
    engine = cluster.engines[0]
    cluster.record_serving(engine, age_s=3.1)
    async with cluster.post(chat()) as response:
        error = (await response.json())["error"]
    assert (response.status, error["code"], error["ran"]) == (503, "no_group", "no")
    assert "Retry-After" in response.headers
    assert engine.requests == []


async def test_rate_limit_names_the_wait(cluster: Cluster) -> None:
    """Guards against a rate limit response without the time to retry."""
    team = next(
        item for item in cluster.state.config.objects.values() if item.kind == "team"
    )
    cluster.declare(team.model_copy(update={"requests_per_s": 0.5}))
    async with cluster.post(chat()) as response:
        assert response.status == 200
    async with cluster.post(chat()) as response:
        error = (await response.json())["error"]
    assert (response.status, error["code"]) == (429, "rate_limited")
    assert 0 < error["retry_after_s"] <= 2
