"""Tests of the ops port and the time line."""

import json
import logging

import pytest
from aiohttp.test_utils import TestClient, TestServer

from gooseberryhall.telemetry.catalogue import LogEvent
from gooseberryhall.telemetry.const import TIMELINE_PAGE_EVENTS
from gooseberryhall.telemetry.logs import log_event, setup_logging
from gooseberryhall.telemetry.ops import OpsState, create_ops_app
from gooseberryhall.telemetry.timeline import Timeline


def create_client(ops: OpsState) -> TestClient:  # type: ignore[type-arg]
    """Return a client of an ops port."""
    return TestClient(TestServer(create_ops_app(ops)))


async def test_readiness_status_and_metrics() -> None:
    """Load balancers and operators must get the current state, not an older one."""
    ops = OpsState(Timeline())
    ops.add_status("config", lambda: {"revision": 7})
    collected: list[bool] = []
    ops.add_collector(lambda: collected.append(True))
    async with create_client(ops) as client:
        assert (await client.get("/ready")).status == 503
        ops.ready = True
        assert (await client.get("/ready")).status == 200
        status = await (await client.get("/status")).json()
        assert status == {"config": {"revision": 7}}
        assert (await client.get("/metrics")).status == 200
        assert collected == [True]


async def test_pages_hold_every_event_of_the_timeline() -> None:
    """A client that reads page by page must not miss an event that is still kept."""
    ops = OpsState(Timeline())
    for number in range(TIMELINE_PAGE_EVENTS + 5):
        ops.timeline.record("group_serving", group=f"g{number}")
    async with create_client(ops) as client:
        first = await (await client.get("/timeline")).json()
        assert first["more"]
        last = first["entries"][-1]["seq"]
        second = await (await client.get(f"/timeline?after={last}")).json()
    groups = [item["fields"]["group"] for item in first["entries"] + second["entries"]]
    assert groups == [f"g{number}" for number in range(TIMELINE_PAGE_EVENTS + 5)]


@pytest.mark.parametrize("after", ["x", "-1", "1e3", "²", "9" * 19])
async def test_malformed_sequence_number_is_refused(after: str) -> None:
    """A malformed query must get a typed error instead of a server error."""
    async with create_client(OpsState(Timeline())) as client:
        response = await client.get("/timeline", params={"after": after})
        assert response.status == 400
        assert (await response.json())["error"]["code"] == "invalid_input"


def test_timeline_keeps_the_newest_events() -> None:
    """The time line of a busy process must not use unbounded memory."""
    timeline = Timeline(capacity=3)
    for number in range(5):
        timeline.record("event", number=number)
    kept = [event["fields"]["number"] for event in timeline.page(0)["entries"]]
    assert kept == [2, 3, 4]


def test_log_line_is_json_with_number(capsys: pytest.CaptureFixture[str]) -> None:
    """Without number, program and node, log collectors cannot find an event."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    try:
        setup_logging(program="entry", node="entry-1", level="INFO")
        log_event(logging.getLogger("x"), LogEvent.PROGRAM_STARTED, "started", a=1)
    finally:
        root.handlers[:], root.level = handlers, level
    line = json.loads(capsys.readouterr().err)
    assert (line["event"], line["program"], line["node"]) == (
        "GH1002",
        "entry",
        "entry-1",
    )
    assert line["a"] == 1
