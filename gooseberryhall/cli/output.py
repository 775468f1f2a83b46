"""Formats the text and JSON output of commands."""

import json
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any

from ..admin.models import EditConflictView, Explanation, PlanView, StatusView
from ..config.difference import ObjectDifference
from ..config.findings import Finding
from ..config.models import AnyObject
from ..config.operations import Operation, PutObject
from .node_logs import LogLine
from .request_chain import RequestChain
from .timeline import MergedEvent

INDENT = "  "


def to_json(data: Any) -> str:
    """Serialize data to indented JSON."""
    return json.dumps(data, indent=2, sort_keys=False)


def format_time(time_s: float) -> str:
    """Format a wall-clock time as UTC with milliseconds."""
    text = datetime.fromtimestamp(time_s, UTC).isoformat(timespec="milliseconds")
    return text.replace("+00:00", "Z")


def table_lines(rows: Sequence[Sequence[str]]) -> list[str]:
    """Format rows as aligned columns."""
    if not rows:
        return []
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def object_rows(objects: Iterable[AnyObject]) -> list[list[str]]:
    """Return a header and one row per object with its kind, name and fields."""
    rows = [["KIND", "NAME", "FIELDS"]]
    for item in objects:
        fields = item.model_dump(mode="json", exclude={"kind", "name"})
        rows.append([item.kind, item.name, _format_fields(fields)])
    return rows


def operation_line(operation: Operation) -> str:
    """Format an operation as one line."""
    name = "/".join(operation.key)
    if isinstance(operation, PutObject):
        fields = operation.object.model_dump(mode="json", exclude={"kind", "name"})
        return f"put {name} {_format_fields(fields)}"
    return f"delete {name}"


def conflict_lines(conflict: EditConflictView) -> list[str]:
    """Format the refused operations and the changes that they conflict with."""
    lines = ["your change:"]
    lines += [INDENT + operation_line(item) for item in conflict.operations]
    lines.append(f"accepted after revision {conflict.base_revision}:")
    if not conflict.accepted:
        lines.append(INDENT + "(the changes are no longer kept)")
    for change in conflict.accepted:
        timestamp = format_time(change.accepted_at_s)
        lines.append(
            f"{INDENT}revision {change.revision} by {change.actor} at {timestamp}"
        )
        lines += [2 * INDENT + operation_line(item) for item in change.operations]
    return lines


def finding_lines(findings: Iterable[Finding]) -> list[str]:
    """Format findings, each with its field and fix."""
    lines: list[str] = []
    for item in findings:
        name = f"{item.kind}/{item.name} " if item.kind else ""
        lines.append(f"{item.level}: {name}{item.field}: {item.message}")
        lines.append(f"{INDENT}fix: {item.fix}")
    return lines


def difference_lines(differences: Iterable[ObjectDifference]) -> list[str]:
    """Format the changed fields of objects."""
    lines: list[str] = []
    for item in differences:
        lines.append(f"{item.action} {item.kind}/{item.name}")
        lines += [
            f"{INDENT}{field.field}: {_format_value(field.before)}"
            f" -> {_format_value(field.after)}"
            for field in item.fields
        ]
    return lines


def plan_lines(plan: PlanView) -> list[str]:
    """Format the effects that an edit would have."""
    verdict = "would be accepted" if plan.accepted else "would be refused"
    return [
        f"at revision {plan.revision} the edit {verdict}",
        *finding_lines(plan.findings),
        *difference_lines(plan.differences),
        f"affected groups: {', '.join(plan.affected_groups) or '(none)'}",
        f"affected VMs: {', '.join(plan.affected_vms) or '(none)'}",
    ]


def status_lines(status: StatusView) -> list[str]:
    """Format the status of a node, its specs and its groups."""
    table = (
        f"revision {status.table_revision}"
        if status.table_reachable
        else "not reachable"
    )
    specs = [["SPEC", "SERVING", "GROUPS", "MIN", "MAX"]]
    specs += [
        [s.spec, *map(str, (s.serving, s.groups, s.min_groups, s.max_groups))]
        for s in status.specs
    ]
    groups = [["GROUP", "SPEC", "ZONE", "PHASE", "TAKES REQUESTS", "MEMBERS"]]
    groups += [
        [
            g.group,
            g.spec,
            g.zone,
            g.phase,
            _format_takes_requests(g.closed),
            ",".join(g.members),
        ]
        for g in status.groups
    ]
    unresponsive = ", ".join(status.vms_not_answering) or "(none)"
    return [
        f"node {status.node} in {status.zone}: configuration revision "
        f"{status.revision}; table: {table}; "
        f"control link: {'open' if status.control_linked else 'closed'}",
        f"VMs with evidence: {status.vms_with_evidence}; not answering: {unresponsive}",
        *table_lines(specs),
        *table_lines(groups),
    ]


def explanation_lines(explanation: Explanation) -> list[str]:
    """Format an explanation with its reasons and details."""
    lines = [f"{explanation.kind} {explanation.name}: {explanation.summary}"]
    lines += [f"{INDENT}- {reason}" for reason in explanation.reasons]
    lines += [
        f"{INDENT}{key}: {_format_value(value)}"
        for key, value in explanation.details.items()
    ]
    return lines


def timeline_lines(events: Iterable[MergedEvent]) -> list[str]:
    """Format events with their time, uncertainty and process."""
    rows = [["TIME", "UNCERTAINTY", "PROCESS", "EVENT", "FIELDS"]]
    rows += [
        [
            format_time(event.time_s),
            f"{event.uncertainty_s * 1000:.1f} ms",
            event.source,
            event.kind,
            _format_fields(event.fields),
        ]
        for event in events
    ]
    return table_lines(rows)


def chain_lines(chain: RequestChain) -> list[str]:
    """Format the log lines of a request and the events that explain them."""
    return [
        f"request {chain.request}: {chain.outcome}",
        *table_lines([_log_row(line) for line in chain.lines]),
        "decisions and events that explain it (clocks of nodes may differ):",
        *table_lines([_log_row(line) for line in chain.causes] or [["(none)"]]),
        *(
            f"other requests that failed at {server} at that time: {count}"
            for server, count in chain.other_failures.items()
        ),
    ]


def chain_data(chain: RequestChain) -> dict[str, Any]:
    """Return the chain of a request as data for JSON output."""
    return {
        "request": chain.request,
        "outcome": chain.outcome,
        "lines": [line.model_dump(mode="json") for line in chain.lines],
        "causes": [line.model_dump(mode="json") for line in chain.causes],
        "other_failures": chain.other_failures,
    }


def _log_row(line: LogLine) -> list[str]:
    timestamp = format_time(line.time.timestamp())
    return [
        INDENT + timestamp,
        line.node,
        line.event,
        line.message,
        _format_fields(line.fields),
    ]


def _format_takes_requests(closed: str | None) -> str:
    return "yes" if closed is None else f"no ({closed})"


def _format_fields(fields: dict[str, Any]) -> str:
    return " ".join(f"{key}={_format_value(value)}" for key, value in fields.items())


def _format_value(value: Any) -> str:
    return json.dumps(value, separators=(",", ":"))
