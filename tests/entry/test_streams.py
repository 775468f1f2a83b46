"""Tests of streams that break, stall or contain chunks of other requests."""

import asyncio
import json

import pytest

from gooseberryhall.entry.metrics import entry_metrics
from gooseberryhall.links.messages import MemberFailure, SuspectReport
from tests.entry.conftest import Cluster, async_until, chat
from tests.entry.engine import Script

COMPLETE = "Silo seven is dry."


def text_of(body: str) -> str:
    """Return the concatenated text of a streamed response."""
    text = ""
    for event in body.split("\n\n"):
        data = event.removeprefix("data: ")
        if data and data != "[DONE]" and "choices" in data:
            for choice in json.loads(data)["choices"]:
                text += choice["delta"].get("content") or ""
    return text


@pytest.mark.parametrize(
    "script",
    [
        Script(break_after=3),
        Script(stall_after=3),
        Script(skip_after=3),
        Script(foreign_after=3),
    ],
    ids=["broken", "silent", "gap", "foreign"],
)
async def test_faulty_stream_is_resumed_without_loss(
    cluster: Cluster, script: Script
) -> None:
    """Guards against a lost, repeated or foreign chunk that reaches the caller (P3)."""
    engine = cluster.engines[0]
    engine.scripts.append(script)
    async with cluster.post(chat(stream=True)) as response:
        body = await response.text()
    assert text_of(body) == COMPLETE
    assert body.endswith("data: [DONE]\n\n")
    assert engine.resumed_after == [3]
    assert len(engine.requests) == 1
    engine.release.set()


@pytest.mark.parametrize(
    "header", ["X-Request-Id", "X-Group", "X-Generation", "X-Boot-Id"]
)
async def test_wrong_echo_passes_no_byte_on(cluster: Cluster, header: str) -> None:
    """Guards against content from an engine that runs another group."""
    cluster.engines[0].scripts.append(Script(echo={header: "other"}))
    second = await cluster.async_add_engine(2, zone="sapporo")
    second.tokens = ("second",)
    async with cluster.post(chat(stream=True)) as response:
        assert text_of(await response.text()) == "second"
    assert any(isinstance(message, MemberFailure) for message in cluster.sent)


async def test_break_before_content_restarts_on_another_group(cluster: Cluster) -> None:
    """Guards against an error response while another group can run the request."""
    cluster.engines[0].scripts.append(Script(break_after=1, resumable=False))
    second = await cluster.async_add_engine(2, zone="sapporo")
    async with cluster.post(chat(stream=True)) as response:
        body = await response.text()
    assert text_of(body) == COMPLETE
    assert body.count('"role"') == 1
    assert len(second.requests) == 1


async def test_break_after_content_ends_with_an_error(cluster: Cluster) -> None:
    """Guards against a restart after content, or an end without an error.

    A restart would mix two responses, and an end without an error would look complete.
    """
    cluster.engines[0].scripts.append(Script(break_after=3, resumable=False))
    second = await cluster.async_add_engine(2, zone="sapporo")
    async with cluster.post(chat(stream=True)) as response:
        events = (await response.text()).split("\n\n")
    error = json.loads(events[-2].removeprefix("data: "))["error"]
    assert error["ran"] == "unknown"
    assert error["request_id"] == response.headers["X-Request-Id"]
    assert "[DONE]" not in events[-2]
    assert second.requests == []


async def test_response_without_streaming_is_never_partial(cluster: Cluster) -> None:
    """Guards against a partial response without streaming; it must be an error."""
    cluster.engines[0].scripts.append(Script(break_after=3, resumable=False))
    async with cluster.post(chat()) as response:
        body = await response.json()
    assert response.status == 502
    assert body["error"]["ran"] == "unknown"
    assert "choices" not in body


async def test_at_most_two_resumes(cluster: Cluster) -> None:
    """Guards against endless resumes of a stream that breaks repeatedly."""
    engine = cluster.engines[0]
    engine.scripts += [Script(break_after=3)] + [Script(break_after=0)] * 5
    async with cluster.post(chat(stream=True)) as response:
        body = await response.text()
    assert "[DONE]" not in body
    assert engine.resumed_after == [3, 3]
    cluster.ctx.ops.collect()
    assert entry_metrics().resumes.get({}) == 2


async def test_caller_disconnect_cancels_the_stream(cluster: Cluster) -> None:
    """Guards against an engine that keeps generating after the caller disconnected."""
    engine = cluster.engines[0]
    engine.scripts.append(Script(stall_after=3))
    response = await cluster.post(chat(stream=True))
    await asyncio.wait_for(engine.started.wait(), 5)
    response.close()
    await asyncio.wait_for(engine.cancel_seen.wait(), 5)
    assert engine.cancelled == [response.headers["X-Request-Id"]]
    await async_until(lambda: not cluster.state.requests.active)
    assert cluster.state.routing.loads[engine.group].in_flight == 0
    engine.release.set()


async def test_deadline_ends_a_stalled_stream(cluster: Cluster) -> None:
    """Guards against a request that runs at the engine after its deadline."""
    engine = cluster.engines[0]
    engine.scripts.append(Script(stall_after=1))
    async with cluster.post(chat(), X_Deadline_Ms="300") as response:
        body = await response.json()
    assert response.status == 504
    assert body["error"]["code"] == "deadline_exceeded"
    assert body["error"]["ran"] == "unknown"
    await asyncio.wait_for(engine.cancel_seen.wait(), 5)
    assert 0 < int(engine.headers[0]["X-Deadline-Ms"]) <= 300
    engine.release.set()


async def test_crash_makes_the_request_a_suspect(cluster: Cluster) -> None:
    """Guards against a crash that is not reported.

    Other nodes would then crash more servers with the same request.
    """
    engine = cluster.engines[0]
    engine.scripts.append(Script(break_after=3, resumable=False))

    async def async_read() -> str:
        async with cluster.post(chat(stream=True)) as response:
            return await response.text()

    caller = asyncio.create_task(async_read())
    await async_until(lambda: bool(cluster.state.requests.suspects.possible_crashes))
    assert not caller.done()
    engine.boot_id = "boot-1b"
    cluster.record_serving(engine)
    assert "[DONE]" not in await caller
    await async_until(
        lambda: any(isinstance(message, SuspectReport) for message in cluster.sent)
    )
    report = next(item for item in cluster.sent if isinstance(item, SuspectReport))
    assert (report.vm, report.boot_id) == ("vm-1", "boot-1")
