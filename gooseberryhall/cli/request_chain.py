"""Finds what happened to a request, and why, in the logs of node programs."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from ..telemetry.catalogue import LogEvent
from .node_logs import LogLine

# A lost server is noticed and its group dissolved within a few seconds. Clocks of
# nodes may differ by about as much.
BEFORE = timedelta(seconds=5)
AFTER = timedelta(seconds=2)

_OF_SERVERS = {LogEvent.GROUP_SILENT, LogEvent.SERVER_SILENT, LogEvent.SERVER_CHANGED}
_OF_GROUPS = {
    LogEvent.GROUP_PLANNED,
    LogEvent.GROUP_OPEN,
    LogEvent.GROUP_FAILED,
    LogEvent.GROUP_DISSOLVED,
    LogEvent.GROUP_ADOPTED,
}
# What changed the capacity while a request was refused.
_OF_CAPACITY = {
    LogEvent.GROUP_DISSOLVED,
    LogEvent.GROUP_FAILED,
    LogEvent.GROUP_OPEN,
    LogEvent.SPARE_PREPARED,
    LogEvent.ZONE_OWNED,
}
_OF_NODE = {
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
    """The lines of a request, and those that explain them, both in order of time."""

    request: str
    outcome: str
    lines: tuple[LogLine, ...]
    # Decisions about the servers and groups that it reached, events of its node, and
    # for a refusal without a server the capacity at that time.
    causes: tuple[LogLine, ...]
    # Failed sends of other requests at that time, by the servers that it reached:
    # they tell a failing server from a failing request.
    other_failures: dict[str, int]


def find_chain(lines: Sequence[LogLine], request: str) -> RequestChain | None:
    """Return the chain of a request, or None if no line mentions it."""
    own = [line for line in lines if line.get("request") == request]
    if not own:
        return None
    nearby = _between(lines, own)
    servers = {str(line.get("server")) for line in own if line.get("server")}
    groups = _groups_of(lines, servers)
    members = servers.union(*groups.values())
    nodes = {line.node for line in own}
    causes = [
        line
        for line in nearby
        if line.get("request") is None
        and (
            (line.event in _OF_SERVERS and line.get("server") in members)
            or (line.event in _OF_GROUPS and line.get("group") in groups)
            or (line.event in _OF_NODE and line.node in nodes)
        )
    ]
    if not servers:
        causes += [line for line in nearby if line.event in _OF_CAPACITY]
        causes += _last_summaries(lines, own[-1])
    ordered = sorted({id(line): line for line in causes}.values(), key=lambda x: x.time)
    return RequestChain(
        request,
        _outcome(own),
        tuple(own),
        tuple(ordered),
        _count_other_failures(nearby, request, servers),
    )


def _count_other_failures(
    nearby: Iterable[LogLine], request: str, servers: set[str]
) -> dict[str, int]:
    counts = dict.fromkeys(sorted(servers), 0)
    for line in nearby:
        server = line.get("server")
        failed = line.event == LogEvent.SEND_FAILED
        if failed and server in counts and line.get("request") != request:
            counts[server] += 1
    return counts


def _between(lines: Iterable[LogLine], own: Sequence[LogLine]) -> list[LogLine]:
    first, last = own[0].time - BEFORE, own[-1].time + AFTER
    return [line for line in lines if first <= line.time <= last]


def _groups_of(lines: Iterable[LogLine], servers: set[str]) -> dict[str, set[str]]:
    """Return the members of all groups that one of the servers belonged to."""
    groups = {}
    for line in lines:
        members = line.get("members")
        if line.event == LogEvent.GROUP_PLANNED and servers & set(members or ()):
            groups[str(line.get("group"))] = set(members)
    return groups


def _last_summaries(lines: Iterable[LogLine], end: LogLine) -> list[LogLine]:
    """Return what each zone's owner said last of its groups and servers."""
    found: dict[str, LogLine] = {}
    for line in lines:
        if line.event == LogEvent.ZONE_SUMMARY and line.time <= end.time:
            found[str(line.get("zone"))] = line
    return list(found.values())


def _outcome(own: Sequence[LogLine]) -> str:
    last = own[-1]
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
