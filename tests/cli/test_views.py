"""Tests of the commands that show state and check files."""

import asyncio
import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from gooseberryhall.cli.timeline import ClockSample, ProcessTimeline, merge
from gooseberryhall.telemetry.ops import OpsState, create_ops_app
from gooseberryhall.telemetry.timeline import Timeline
from tests.admin.harness import SETTINGS, START_LIMIT_S, Admin

from .conftest import UNREACHABLE, Run

BASE_TIME_S = 1_800_000_000.0


class Clock:
    """A wall clock that is set by the test."""

    def __init__(self, ahead_s: float) -> None:
        """Start ahead of the common time."""
        self.ahead_s = ahead_s

    def __call__(self) -> float:
        """Return the time of the process."""
        return asyncio.get_running_loop().time() + BASE_TIME_S + self.ahead_s


@contextmanager
def ops_ports(*clocks: Clock) -> Iterator[list[str]]:
    """Serve one time line for each clock, filled in turn by one request."""
    ready, stop = threading.Event(), threading.Event()
    urls: list[str] = []

    async def async_run() -> None:
        timelines = [Timeline(clock=clock) for clock in clocks]
        for step in range(4):
            kind = f"step_{step}"
            timelines[step % len(timelines)].record(kind, request_id="r1")
            await asyncio.sleep(0.05)
        timelines[0].record("other", request_id="r2")
        runners = [web.AppRunner(create_ops_app(OpsState(t))) for t in timelines]
        for runner in runners:
            await runner.setup()
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            urls.append(f"http://127.0.0.1:{runner.addresses[0][1]}")
        ready.set()
        await asyncio.to_thread(stop.wait)
        for runner in runners:
            await runner.cleanup()

    thread = threading.Thread(target=asyncio.run, args=(async_run(),))
    thread.start()
    try:
        assert ready.wait(START_LIMIT_S)
        yield urls
    finally:
        stop.set()
        thread.join(START_LIMIT_S)


def test_timeline_orders_processes_whose_clocks_differ(run: Run) -> None:
    """Uncorrected clocks would show an effect before its cause."""
    with ops_ports(Clock(120.0), Clock(-300.0)) as urls:
        options = [part for url in [*urls, UNREACHABLE] for part in ("--ops", url)]
        outcome = run("timeline", *options, "--request", "r1", "--output", "json")
    assert outcome.code == 0
    kinds = [entry["kind"] for entry in outcome.data["entries"]]
    assert kinds == ["step_0", "step_1", "step_2", "step_3"]
    assert outcome.data["silent"] == [UNREACHABLE]
    assert UNREACHABLE in outcome.err


def test_timeline_without_any_answer_fails(run: Run) -> None:
    """An empty time line would look as if nothing had happened."""
    assert run("timeline", "--ops", UNREACHABLE).code == 4


@given(
    offset_s=st.floats(-1e6, 1e6),
    times=st.lists(st.floats(0, 100), min_size=1, max_size=8),
    round_trip_s=st.floats(0, 1),
    share=st.floats(0, 1),
)
def test_merge_keeps_the_order_of_each_process(
    offset_s: float, times: list[float], round_trip_s: float, share: float
) -> None:
    """A clock that was set back must not reorder the events of its process."""
    remote_s = offset_s + share * round_trip_s
    sample = ClockSample(0.0, round_trip_s, remote_s)
    assert abs(sample.offset_s - offset_s) <= sample.uncertainty_s + 1e-6
    entries = tuple(
        {"seq": seq, "time_s": time_s, "kind": "k", "fields": {}}
        for seq, time_s in enumerate(times)
    )
    line = ProcessTimeline("a", sample.offset_s, sample.uncertainty_s, entries)
    other = ProcessTimeline("b", 0.0, 0.0, entries)
    merged = merge([line, other])
    for source in "ab":
        own = [entry.seq for entry in merged if entry.source == source]
        assert own == sorted(own)
    assert [e.time_s for e in merged] == sorted(e.time_s for e in merged)


def test_status_and_explain_show_the_declared_state(run: Run, admin: Admin) -> None:
    """Operators ask first why something does not serve."""
    run("label", "vm", "vm-1", "pool=a")
    run("drain", "vm", "vm-1")
    assert run("status", "--output", "json").data["revision"] == 2
    outcome = run("explain", "vm", "vm-1")
    assert "the label gooseberryhall.io/drain keeps it out of groups" in outcome.out
    assert "no group spec selects it" in outcome.out
    assert run("explain", "team", "none").code == 1


def test_settings_check_names_every_field(run: Run, tmp_path: Path) -> None:
    """An operator would otherwise correct a file one error at a time."""
    file = tmp_path / "node.json"
    file.write_text(json.dumps(SETTINGS), encoding="utf-8")
    assert run("config", "validate", str(file)).code == 0
    broken = {**SETTINGS, "zone": "Obihiro", "log_levle": "INFO"}
    file.write_text(json.dumps(broken), encoding="utf-8")
    outcome = run("config", "validate", str(file))
    assert outcome.code == 1
    assert "zone: " in outcome.err
    assert "log_levle: " in outcome.err
    file.write_text("{", encoding="utf-8")
    assert "line 1 column 2" in run("config", "validate", str(file)).err
    assert run("config", "validate", str(tmp_path / "none.json")).code == 1


def test_completion_names_the_program(run: Run) -> None:
    """A script for another program name would complete nothing."""
    for shell in ("bash", "zsh", "fish"):
        assert "gooseberryhall" in run("completion", shell).out
