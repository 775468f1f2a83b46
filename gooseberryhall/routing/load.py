"""Load of the groups: the last report, corrected by this node's own requests."""

from collections.abc import Mapping

from ..const import EVIDENCE_MAX_AGE_S
from ..groups.models import Group
from ..membership.models import Evidence
from .state import GroupLoad, RoutingState


def note_start(state: RoutingState, group: str, now_s: float) -> None:
    """Count a request that is sent to a group."""
    _change(state, group, 1, now_s)
    state.loads[group].last_start_s = now_s


def note_end(state: RoutingState, group: str, now_s: float) -> None:
    """Count a request that no longer runs in a group."""
    _change(state, group, -1, now_s)


def own_in_flight(state: RoutingState, group: str) -> int:
    """Return this node's requests in a group."""
    load = state.loads.get(group)
    return 0 if load is None else load.in_flight


def last_start_s(state: RoutingState, group: str) -> float:
    """Return when this node last sent a request to a group."""
    load = state.loads.get(group)
    return float("-inf") if load is None else load.last_start_s


def estimated_load(
    state: RoutingState, group: Group, evidence: Mapping[str, Evidence]
) -> int:
    """Return the requests in a group, as far as this node can know."""
    own = state.loads.get(group.group) or GroupLoad()
    report = evidence.get(group.leader.vm)
    if report is None or report.health is None:
        return own.in_flight
    newer = _change_since(own, report.observed_at_s)
    return max(own.in_flight, report.health.active + report.health.queued + newer)


def _change_since(load: GroupLoad, since_s: float) -> int:
    """Return by how much this node's requests in a group changed after a time."""
    total = 0
    # The newest changes are last; a report is mostly much newer than the oldest one.
    for at_s, sign in reversed(load.changes):
        if at_s <= since_s:
            break
        total += sign
    return total


def _change(state: RoutingState, group: str, sign: int, now_s: float) -> None:
    load = state.loads.setdefault(group, GroupLoad())
    load.in_flight += sign
    load.changes.append((now_s, sign))
    # Reports older than this close the group, so they are never corrected.
    while load.changes[0][0] < now_s - EVIDENCE_MAX_AGE_S:
        load.changes.popleft()
