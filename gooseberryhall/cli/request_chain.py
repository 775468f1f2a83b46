"""Finds the events of a request and their causes in the logs of node programs."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from ..telemetry.catalogue import LogEvent
from .node_logs import LogLine

# A lost server is detected and its group dissolved within a few seconds. The clocks of
# nodes may differ by about the same amount.
WINDOW_BEFORE = timedelta(seconds=5)
WINDOW_AFTER = timedelta(seconds=2)

_SERVER_EVENTS = {
    LogEvent.GROUP_SILENT,
    LogEvent.SERVER_SILENT,
    LogEvent.SERVER_CHANGED,
}
_GROUP_EVENTS = {
    LogEvent.GROUP_PLANNED,
    LogEvent.GROUP_OPEN,
    LogEvent.GROUP_FAILED,
    LogEvent.GROUP_DISSOLVED,
    LogEvent.GROUP_ADOPTED,
}
# Events that change the capacity and so explain a refusal.
_CAPACITY_EVENTS = {
    LogEvent.GROUP_DISSOLVED,
    LogEvent.GROUP_FAILED,
    LogEvent.GROUP_OPEN,
    LogEvent.SPARE_PREPARED,
    LogEvent.ZONE_OWNED,
    LogEvent.SERVER_STATEMENT,
}
_NODE_EVENTS = {
    LogEvent.PROGRAM_STARTED,
    LogEvent.PROGRAM_STOPPING,
    LogEvent.READINESS_CHANGED,
    LogEvent.STORE_LOST,
    LogEvent.STORE_REGAINED,
    LogEvent.TASK_FAILED,
    LogEvent.OWNER_PAUSED,
}


@dataclass(frozen=True, slots=True)
class RequestChain:
    """Log lines of a request and the lines that explain them, both sorted by time."""

    request: str
    outcome: str
    lines: tuple[LogLine, ...]
    # Decisions about the servers and groups that the request reached and events of its
    # node. For a refusal without a server: the capacity at that time.
    causes: tuple[LogLine, ...]
    # Number of failed sends of other requests at that time for each server that the
    # request reached. It distinguishes a failing server from a failing request.
    other_failures: dict[str, int]


def find_chain(lines: Sequence[LogLine], request: str) -> RequestChain | None:
    """Return the chain of a request, or None if no line contains it.

    `lines` has to be sorted by time.
    """
    request_lines = [line for line in lines if line.get("request") == request]
    if not request_lines:
        return None
    window = _lines_in_window(lines, request_lines)
    servers = {str(line.get("server")) for line in request_lines if line.get("server")}
    groups = _find_groups(lines, servers)
    members = servers.union(*groups.values())
    nodes = {line.node for line in request_lines}
    causes = [
        line
        for line in window
        if line.get("request") is None
        and (
            (line.event in _SERVER_EVENTS and line.get("server") in members)
            or (line.event in _GROUP_EVENTS and line.get("group") in groups)
            or (line.event in _NODE_EVENTS and line.node in nodes)
        )
    ]
    if not servers:
        causes += [line for line in window if line.event in _CAPACITY_EVENTS]
        causes += _latest_zone_summaries(lines, request_lines[-1])
    ordered_causes = sorted(
        {id(line): line for line in causes}.values(), key=lambda x: x.time
    )
    return RequestChain(
        request,
        _describe_outcome(request_lines),
        tuple(request_lines),
        tuple(ordered_causes),
        _count_other_failures(window, request, servers),
    )


def _count_other_failures(
    window: Iterable[LogLine], request: str, servers: set[str]
) -> dict[str, int]:
    counts = dict.fromkeys(sorted(servers), 0)
    for line in window:
        server = line.get("server")
        failed = line.event == LogEvent.SEND_FAILED
        if failed and server in counts and line.get("request") != request:
            counts[server] += 1
    return counts


def _lines_in_window(
    lines: Iterable[LogLine], request_lines: Sequence[LogLine]
) -> list[LogLine]:
    first, last = (
        request_lines[0].time - WINDOW_BEFORE,
        request_lines[-1].time + WINDOW_AFTER,
    )
    return [line for line in lines if first <= line.time <= last]


def _find_groups(lines: Iterable[LogLine], servers: set[str]) -> dict[str, set[str]]:
    """Return the members of each group that contained one of the servers."""
    groups = {}
    for line in lines:
        members = line.get("members")
        if line.event == LogEvent.GROUP_PLANNED and servers & set(members or ()):
            groups[str(line.get("group"))] = set(members)
    return groups


def _latest_zone_summaries(lines: Iterable[LogLine], end: LogLine) -> list[LogLine]:
    """Return the last summary of each zone's groups and servers up to `end`."""
    latest: dict[str, LogLine] = {}
    for line in lines:
        if line.event == LogEvent.ZONE_SUMMARY and line.time <= end.time:
            latest[str(line.get("zone"))] = line
    return list(latest.values())


def _describe_outcome(request_lines: Sequence[LogLine]) -> str:
    last = request_lines[-1]
    if last.event == LogEvent.REQUEST_REFUSED:
        ran_on = ", ".join(map(str, last.get("ran_on") or ()))
        ran = f"may have run on {ran_on}" if ran_on else "has not run"
        return f"answered with {last.get('status')}: {last.message}; the request {ran}"
    if last.event == LogEvent.STREAM_CUT:
        return f"cut in mid-stream: {last.message}"
    return (
        f"no failure is logged; last: {last.message}. The answer was complete, its "
        "caller left, or the node ended"
    )
