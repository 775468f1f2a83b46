"""Tests of requests explained from the logs of node programs."""

import json
from pathlib import Path
from typing import Any

from gooseberryhall.telemetry.catalogue import LogEvent

from .conftest import RunCommand

EXIT_USAGE = 2


def _line(at_s: float, node: str, event: LogEvent, text: str, **fields: Any) -> str:
    """Return a log line as node programs write it, `at_s` after 10:00:00."""
    seconds, milliseconds = divmod(round(at_s * 1000), 1000)
    common = {
        "time": f"2026-05-04 10:00:{seconds:02},{milliseconds:03}",
        "level": "INFO",
        "logger": "gooseberryhall.gateway.sending",
        "message": text,
        "program": "node",
        "node": node,
        "event": event,
    }
    return json.dumps(common | fields)


def _write_logs(directory: Path, **files: list[str]) -> str:
    for name, lines in files.items():
        (directory / f"{name}.log").write_text("\n".join(lines) + "\n")
    return str(directory)


def _owner_lines() -> list[str]:
    """Return the log of a zone owner whose groups each lose a member after 20 s."""
    planned, dissolved = LogEvent.GROUP_PLANNED, LogEvent.GROUP_DISSOLVED
    unresponsive = LogEvent.SERVER_SILENT
    return [
        _line(1, "n2", planned, "group is formed", group="g1", members=["s1", "s2"]),
        _line(2, "n2", planned, "group is formed", group="g2", members=["s3", "s4"]),
        _line(9, "n2", unresponsive, "server does not answer", server="s2"),
        _line(20.1, "n2", unresponsive, "server does not answer", server="s2"),
        _line(20.2, "n2", unresponsive, "server does not answer", server="s4"),
        _line(20.3, "n2", dissolved, "member lost", group="g1", lost=["s2"]),
        _line(20.4, "n2", dissolved, "member lost", group="g2", lost=["s4"]),
    ]


def test_cut_stream_shows_the_lost_member(run: RunCommand, tmp_path: Path) -> None:
    """Guards against missing the lost member, which only another node's log names."""
    logs = _write_logs(
        tmp_path,
        n1=[
            _line(18, "n1", LogEvent.STREAM_STARTED, "first event", request="r1"),
            _line(20, "n1", LogEvent.SEND_FAILED, "silent", request="r1", server="s1"),
            _line(20, "n1", LogEvent.STREAM_CUT, "ends incomplete", request="r1"),
            _line(20, "n1", LogEvent.STREAM_CUT, "ends incomplete", request="r2"),
        ],
        n2=_owner_lines(),
    )
    result = run("explain", "request", "r1", "--logs", logs, "--output", "json")
    assert result.code == 0
    assert result.data["outcome"] == "cut in mid-stream: ends incomplete"
    assert [line["request"] for line in result.data["lines"]] == ["r1"] * 3
    causes = [
        (line["message"], line.get("server") or line["group"])
        for line in result.data["causes"]
    ]
    assert causes == [("server does not answer", "s2"), ("member lost", "g1")]
    assert result.data["other_failures"] == {"s1": 0}


def test_refusal_shows_the_capacity_at_that_time(
    run: RunCommand, tmp_path: Path
) -> None:
    """Guards against a refusal without a cause.

    Its own lines name no server, so the last summaries of the zone owners explain it.
    """
    refused = LogEvent.REQUEST_REFUSED
    summary = LogEvent.ZONE_SUMMARY
    logs = _write_logs(
        tmp_path,
        n1=[_line(22, "n1", refused, "all full", request="r1", status=503, ran_on=[])],
        n2=[
            *_owner_lines(),
            _line(5, "n2", summary, "use", zone="z1", groups={"m": 2}),
            _line(21, "n2", summary, "use", zone="z1", groups={"m": 0}),
            _line(23, "n2", summary, "use", zone="z1", groups={"m": 1}),
        ],
    )
    result = run("explain", "request", "r1", "--logs", logs)
    assert result.code == 0
    first, *others = result.out.splitlines()
    assert first == "request r1: answered with 503: all full; the request has not run"
    assert next(line for line in others if "groups=" in line).endswith('groups={"m":0}')
    assert sum("member lost" in line for line in others) == 2


def test_outcome_of_a_command_that_may_have_run(
    run: RunCommand, tmp_path: Path
) -> None:
    """Guards against reporting a lost response as a command that has not run."""
    lost = _line(
        3,
        "n1",
        LogEvent.REQUEST_REFUSED,
        "connection closed",
        request="r1",
        status=502,
        ran_on=["s9"],
    )
    result = run("explain", "request", "r1", "--logs", _write_logs(tmp_path, n1=[lost]))
    assert "the request may have run on s9" in result.out


def test_failing_server_is_distinguished_from_failing_request(
    run: RunCommand, tmp_path: Path
) -> None:
    """Guards against missing a slow server of a plain service.

    Only the failures of other requests at that server reveal it.
    """
    failed, refused = LogEvent.SEND_FAILED, LogEvent.REQUEST_REFUSED
    late = "no answer in time"
    logs = _write_logs(
        tmp_path,
        n1=[
            _line(9, "n1", failed, late, request="r1", server="s1"),
            _line(9, "n1", refused, late, request="r1", status=504, ran_on=["s1"]),
            _line(9.1, "n1", failed, late, request="r2", server="s1"),
            _line(9.2, "n1", failed, late, request="r3", server="s2"),
        ],
        n2=[
            _line(8, "n2", failed, late, request="r4", server="s1"),
            _line(20, "n2", failed, late, request="r5", server="s1"),
        ],
    )
    result = run("explain", "request", "r1", "--logs", logs)
    assert "other requests that failed at s1 at that time: 2" in result.out


def test_events_of_the_node_of_the_request(run: RunCommand, tmp_path: Path) -> None:
    """Guards against blaming a stop of another node for a stream without an end."""
    stopping = LogEvent.PROGRAM_STOPPING
    logs = _write_logs(
        tmp_path,
        n1=[
            _line(3, "n1", LogEvent.STREAM_STARTED, "first event", request="r1"),
            _line(4, "n1", stopping, "node stopping"),
        ],
        n2=[_line(4, "n2", stopping, "node stopping")],
    )
    result = run("explain", "request", "r1", "--logs", logs, "--output", "json")
    assert "no failure is logged" in result.data["outcome"]
    assert [line["node"] for line in result.data["causes"]] == ["n1"]


def test_unparsable_lines_are_counted(run: RunCommand, tmp_path: Path) -> None:
    """Guards against rejecting a log for a stack trace or a truncated line."""
    refused = _line(
        3, "n1", LogEvent.REQUEST_REFUSED, "x", request="r1", status=503, ran_on=[]
    )
    logs = _write_logs(tmp_path, n1=["Traceback", refused, refused[:50], "{}"])
    result = run("explain", "request", "r1", "--logs", logs)
    assert result.code == 0
    assert "warning: 3 lines are not of a node's log" in result.err


def test_unknown_request_and_wrong_usage_are_refused(
    run: RunCommand, tmp_path: Path
) -> None:
    """Guards against errors that do not say what to correct."""
    logs = _write_logs(tmp_path, n1=_owner_lines())
    missing_request = run("explain", "request", "r9", "--logs", logs)
    assert missing_request.code == 1
    assert "no line mentions request r9" in missing_request.err
    wrong_kind = run("explain", "vm", "v1", "--logs", logs)
    assert wrong_kind.code == EXIT_USAGE
    assert "--logs explains requests only" in wrong_kind.err
    empty = tmp_path / "empty"
    empty.mkdir()
    no_files = run("explain", "request", "r1", "--logs", str(empty))
    assert no_files.code == 1
    assert "no log files" in no_files.err
