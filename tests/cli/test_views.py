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

from gooseberryhall.cli.timeline import ClockSample, ProcessTimeline, merge_timelines
from gooseberryhall.telemetry.ops import OpsState, create_ops_app
from gooseberryhall.telemetry.timeline import Timeline
from tests.admin.harness import SETTINGS, START_LIMIT_S, Admin

from .conftest import UNREACHABLE, RunCommand

BASE_TIME_S = 1_800_000_000.0


class Clock:
    """Wall clock with an offset that the test sets."""

    def __init__(self, ahead_s: float) -> None:
        """Set by how many seconds the clock is ahead of the common time."""
        self.ahead_s = ahead_s

    def __call__(self) -> float:
        """Return the wall-clock time of the process."""
        return asyncio.get_running_loop().time() + BASE_TIME_S + self.ahead_s


@contextmanager
def ops_ports(*clocks: Clock) -> Iterator[list[str]]:
    """Serve one time line per clock; one request adds events to each in turn."""
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


def test_timeline_orders_processes_whose_clocks_differ(run: RunCommand) -> None:
    """Guards against uncorrected clocks that show an effect before its cause."""
    with ops_ports(Clock(120.0), Clock(-300.0)) as urls:
        options = [part for url in [*urls, UNREACHABLE] for part in ("--ops", url)]
        result = run("timeline", *options, "--request", "r1", "--output", "json")
    assert result.code == 0
    kinds = [entry["kind"] for entry in result.data["entries"]]
    assert kinds == ["step_0", "step_1", "step_2", "step_3"]
    assert result.data["silent"] == [UNREACHABLE]
    assert UNREACHABLE in result.err


def test_timeline_without_any_response_fails(run: RunCommand) -> None:
    """Guards against an empty time line that looks as if nothing had happened."""
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
    """Guards against a clock that was set back and reorders events of its process."""
    remote_s = offset_s + share * round_trip_s
    sample = ClockSample(0.0, round_trip_s, remote_s)
    assert abs(sample.offset_s - offset_s) <= sample.uncertainty_s + 1e-6
    events = tuple(
        {"seq": seq, "time_s": time_s, "kind": "k", "fields": {}}
        for seq, time_s in enumerate(times)
    )
    timeline = ProcessTimeline("a", sample.offset_s, sample.uncertainty_s, events)
    other = ProcessTimeline("b", 0.0, 0.0, events)
    merged = merge_timelines([timeline, other])
    for source in "ab":
        seqs = [event.seq for event in merged if event.source == source]
        assert seqs == sorted(seqs)
    assert [e.time_s for e in merged] == sorted(e.time_s for e in merged)


def test_status_and_explain_show_the_declared_state(
    run: RunCommand, admin: Admin
) -> None:
    """Guards against output without the reason why a VM does not serve."""
    run("label", "vm", "vm-1", "pool=a")
    run("drain", "vm", "vm-1")
    assert run("status", "--output", "json").data["revision"] == 2
    result = run("explain", "vm", "vm-1")
    assert "the label gooseberryhall.io/drain keeps it out of groups" in result.out
    assert "no group spec selects it" in result.out
    assert run("explain", "team", "none").code == 1


def test_settings_check_names_every_field(run: RunCommand, tmp_path: Path) -> None:
    """Guards against reporting only the first of several errors in a file."""
    file = tmp_path / "node.json"
    file.write_text(json.dumps(SETTINGS), encoding="utf-8")
    assert run("config", "validate", str(file)).code == 0
    broken = {**SETTINGS, "zone": "Obihiro", "log_levle": "INFO"}
    file.write_text(json.dumps(broken), encoding="utf-8")
    result = run("config", "validate", str(file))
    assert result.code == 1
    assert "zone: " in result.err
    assert "log_levle: " in result.err
    file.write_text("{", encoding="utf-8")
    assert "line 1 column 2" in run("config", "validate", str(file)).err
    assert run("config", "validate", str(tmp_path / "none.json")).code == 1


def test_completion_names_the_program(run: RunCommand) -> None:
    """Guards against a completion script for another program name."""
    for shell in ("bash", "zsh", "fish"):
        assert "gooseberryhall" in run("completion", shell).out
