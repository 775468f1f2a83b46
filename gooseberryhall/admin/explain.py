"""Explanations of groups, VMs, teams and requests from the state of this process."""

from collections.abc import Sequence
from typing import Any

from ..config.const import DRAIN_LABEL
from ..config.models import GroupSpec, ObjectKind, RequestKind, Team
from ..config.selectors import parse_selector
from ..config.spec_checks import UNDECLARED_KIND, spec_sort_key
from ..core.state import State
from ..groups.models import Group, GroupPhase, Member
from ..membership.evidence import (
    ClosedReason,
    group_closed_reason,
    member_closed_reason,
)
from ..membership.models import Evidence
from .exceptions import UnknownObjectError
from .models import Explanation

REASON_TEXT = {
    ClosedReason.PHASE: "the group is not in the phase serving",
    ClosedReason.NO_EVIDENCE: "no probe result has arrived",
    ClosedReason.STALE: "the last probe result is too old",
    ClosedReason.NOT_ANSWERING: "it does not answer probes",
    ClosedReason.RESTARTED: "it restarted and lost its memory",
    ClosedReason.OTHER_GROUP: "it reports another group or generation",
    ClosedReason.NOT_SERVING: "its engine is not in the state serving",
    ClosedReason.LEAVING: "it is leaving",
}
PHASE_TEXT = {
    GroupPhase.LOADING: "its members are loading the model",
    GroupPhase.SERVING: "",
    GroupPhase.DRAINING: "it takes no new work and finishes its streams",
    GroupPhase.RELEASING: "its members are being released",
}


def explain_group(state: State, name: str, now_s: float) -> Explanation:
    """Explain a group, or all groups of a spec with this name."""
    group = state.groups.groups.get(name)
    if group is not None:
        return _explain_one_group(state, group, now_s)
    spec = state.config.objects.get((ObjectKind.GROUP_SPEC, name))
    if isinstance(spec, GroupSpec):
        return _explain_spec(state, spec, now_s)
    raise UnknownObjectError(
        f"no group or group spec has the name {name!r}",
        field="name",
        fix="list the groups with `status`; closed groups are removed",
    )


def explain_vm(state: State, name: str, now_s: float) -> Explanation:
    """Explain the group of a VM, or why it is in none."""
    labels = state.config.labels_of_vm(name)
    evidence = state.membership.evidence.get(name)
    listed = state.groups.vms.get(name)
    groups = _groups_of_vm(state, name)
    if not (labels or evidence or listed or groups):
        raise UnknownObjectError(
            f"no VM with the name {name!r} is labelled, listed or probed",
            field="name",
            fix="list labelled VMs with `get vm-labels`",
        )
    details: dict[str, Any] = {
        "labels": labels,
        "evidence": _describe_evidence(evidence, now_s),
    }
    if listed is not None:
        details["fabric_domain"] = listed.fabric_domain
        details["state"] = listed.state
    if groups:
        summary = f"member of the group {groups[0].group} ({groups[0].phase})"
        reasons = _member_reasons(groups[0], state, now_s, only=name)
    else:
        summary = "in no group"
        reasons = _idle_reasons(state, labels, evidence)
    return Explanation(
        kind="vm", name=name, summary=summary, reasons=tuple(reasons), details=details
    )


def explain_team(state: State, name: str) -> Explanation:
    """Explain which spec serves the requests of a team, for each request kind."""
    team = state.config.objects.get((ObjectKind.TEAM, name))
    if not isinstance(team, Team):
        raise UnknownObjectError(
            f"no team has the name {name!r}",
            field="name",
            fix="list teams with `get team`",
        )
    kinds = sorted(state.config.of_type(RequestKind), key=lambda kind: kind.name)
    reasons = [_explain_kind(state, team, kind) for kind in kinds]
    models = {spec.model for spec in state.config.of_type(GroupSpec)}
    for model in sorted(models - {kind.model for kind in kinds}):
        undeclared = RequestKind(name=UNDECLARED_KIND, model=model)
        reasons.append(_explain_kind(state, team, undeclared))
    if not team.token_sha256:
        reasons.insert(0, "the team has no token, so it cannot send requests")
    limits = {"requests_per_s", "max_in_flight", "weight", "priority"}
    return Explanation(
        kind="team",
        name=name,
        summary=f"{len(team.token_sha256)} tokens, {len(kinds)} request kinds",
        reasons=tuple(reasons),
        details={"labels": team.labels, "limits": team.model_dump(include=limits)},
    )


def add_planner_view(explanation: Explanation, planner: dict[str, Any]) -> Explanation:
    """Add the view that the control program of this entry VM has of a group or VM."""
    name = explanation.name
    section = "vms" if explanation.kind == "vm" else "groups"
    planner_view = planner.get(section, {}).get(name)
    missing = {
        zone: reasons[name]
        for zone, reasons in planner.get("missing", {}).items()
        if name in reasons
    }
    if planner_view is None and not missing:
        return explanation
    details = {**explanation.details, "planner": planner_view or {"missing": missing}}
    return explanation.model_copy(update={"details": details})


def explain_request(name: str, events: Sequence[dict[str, Any]]) -> Explanation:
    """Explain a request by the time line events that mention it."""
    if not events:
        raise UnknownObjectError(
            f"no time line on this entry VM mentions the request {name!r}",
            field="name",
            fix="name the ops ports of all entry VMs with `timeline --request --ops`",
        )
    ordered = sorted(events, key=lambda event: event["time_s"])
    steps = tuple(
        f"{event['kind']}: {_format_fields(event['fields'])}" for event in ordered
    )
    return Explanation(
        kind="request",
        name=name,
        summary=f"{len(ordered)} events, the last is {ordered[-1]['kind']}",
        reasons=steps,
        details={"entries": ordered},
    )


def _explain_one_group(state: State, group: Group, now_s: float) -> Explanation:
    closed = group_closed_reason(group, state.membership.evidence, now_s)
    reasons = _member_reasons(group, state, now_s)
    if group.phase is not GroupPhase.SERVING:
        reasons.insert(0, f"phase {group.phase}: {PHASE_TEXT[group.phase]}")
    return Explanation(
        kind="group",
        name=group.group,
        summary="serving" if closed is None else "takes no requests",
        reasons=tuple(reasons),
        details={
            "spec": group.spec,
            "zone": group.zone,
            "fabric_domain": group.fabric_domain,
            "model": group.model,
            "version": group.model_version,
            "generation": group.generation,
            "phase": group.phase,
            "members": {
                member.vm: _describe_evidence(
                    state.membership.evidence.get(member.vm), now_s
                )
                for member in group.members
            },
        },
    )


def _explain_spec(state: State, spec: GroupSpec, now_s: float) -> Explanation:
    groups = [item for item in state.groups.groups.values() if item.spec == spec.name]
    evidence = state.membership.evidence
    closed = {
        group.group: group_closed_reason(group, evidence, now_s) for group in groups
    }
    serving = sum(reason is None for reason in closed.values())
    selector = parse_selector(spec.vm_selector)
    selected = [
        name
        for kind, name in state.config.objects
        if kind is ObjectKind.VM_LABELS
        and selector.matches(state.config.labels_of_vm(name))
    ]
    free = sorted(name for name in selected if not _groups_of_vm(state, name))
    reasons = [
        f"group {name}: takes no requests: {REASON_TEXT[reason]}"
        for name, reason in sorted(closed.items())
        if reason is not None
    ]
    if len(groups) < spec.min_groups and len(free) < spec.members:
        reasons.append(
            f"another group needs {spec.members} VMs of one fabric domain; the "
            f"selector {spec.vm_selector!r} leaves {len(free)} free VMs"
        )
    return Explanation(
        kind="group",
        name=spec.name,
        summary=f"{serving} of {spec.min_groups} declared groups serve",
        reasons=tuple(reasons),
        details={"groups": sorted(closed), "selected_vms": sorted(selected)}
        | {"free_vms": free},
    )


def _member_reasons(
    group: Group, state: State, now_s: float, only: str | None = None
) -> list[str]:
    members = [item for item in group.members if only in (None, item.vm)]
    reasons = (
        (item, _find_closed_reason(group, item, state, now_s)) for item in members
    )
    return [
        f"member {member.vm}: {REASON_TEXT[reason]}"
        for member, reason in reasons
        if reason is not None
    ]


def _find_closed_reason(
    group: Group, member: Member, state: State, now_s: float
) -> ClosedReason | None:
    evidence = state.membership.evidence.get(member.vm)
    return member_closed_reason(group, member, evidence, now_s)


def _idle_reasons(
    state: State, labels: dict[str, str], evidence: Evidence | None
) -> list[str]:
    reasons: list[str] = []
    if DRAIN_LABEL in labels:
        reasons.append(f"the label {DRAIN_LABEL} keeps it out of groups")
    if evidence is None or evidence.health is None:
        reasons.append("no probe of it has an answer")
    elif evidence.health.leaving:
        reasons.append("it is leaving")
    specs = sorted(state.config.of_type(GroupSpec), key=spec_sort_key)
    selecting = [s for s in specs if parse_selector(s.vm_selector).matches(labels)]
    if not selecting:
        reasons.append("no group spec selects it")
    for spec in selecting:
        count = sum(group.spec == spec.name for group in state.groups.groups.values())
        capacity = f"has its {count} groups" if count >= spec.max_groups else "has room"
        reasons.append(
            f"group spec {spec.name} selects it and {capacity} of at most "
            f"{spec.max_groups}; a group needs {spec.members} VMs of one fabric domain"
        )
    return reasons


def _explain_kind(state: State, team: Team, kind: RequestKind) -> str:
    if kind.service is not None:
        return f"request kind {kind.name}: plain service {kind.service}"
    specs = [s for s in state.config.of_type(GroupSpec) if s.model == kind.model]
    selecting = [
        spec
        for spec in sorted(specs, key=spec_sort_key)
        if parse_selector(spec.team_selector).matches(team.labels)
        and parse_selector(spec.kind_selector).matches(kind.labels)
    ]
    if not selecting:
        return (
            f"request kind {kind.name}: refused, no group spec of the model "
            f"{kind.model} selects this team and kind"
        )
    others = ", ".join(spec.name for spec in selecting[1:])
    suffix = f" before {others} (priority, then name)" if others else ""
    return f"request kind {kind.name}: group spec {selecting[0].name}{suffix}"


def _groups_of_vm(state: State, name: str) -> list[Group]:
    return [
        group
        for group in state.groups.groups.values()
        if any(member.vm == name for member in group.members)
    ]


def _describe_evidence(evidence: Evidence | None, now_s: float) -> dict[str, Any]:
    if evidence is None:
        return {"known": False}
    health = evidence.health
    description: dict[str, Any] = {
        "known": True,
        "age_s": round(now_s - evidence.observed_at_s, 2),
        "answers": health is not None,
    }
    if health is not None:
        description |= {
            "state": health.state,
            "group": health.group,
            "generation": health.generation,
            "leaving": health.leaving,
            "active": health.active,
            "queued": health.queued,
            "load_fraction": health.load_fraction,
        }
    return description


def _format_fields(fields: dict[str, Any]) -> str:
    return " ".join(f"{key}={value}" for key, value in fields.items())
