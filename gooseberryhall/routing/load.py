"""Load of groups: the last report, corrected by the requests of this node."""

from collections.abc import Mapping

from ..const import EVIDENCE_MAX_AGE_S
from ..groups.models import Group
from ..membership.models import Evidence
from .state import GroupLoad, RoutingState


def record_start(state: RoutingState, group: str, now_s: float) -> None:
    """Count a request that is sent to a group."""
    _record_change(state, group, 1, now_s)
    state.loads[group].last_start_s = now_s


def record_end(state: RoutingState, group: str, now_s: float) -> None:
    """Count the end of a request in a group."""
    _record_change(state, group, -1, now_s)


def local_in_flight(state: RoutingState, group: str) -> int:
    """Return the number of this node's requests in a group."""
    load = state.loads.get(group)
    return 0 if load is None else load.in_flight


def last_start_s(state: RoutingState, group: str) -> float:
    """Return when this node last sent a request to a group, or -inf."""
    load = state.loads.get(group)
    return float("-inf") if load is None else load.last_start_s


def estimated_load(
    state: RoutingState, group: Group, evidence: Mapping[str, Evidence]
) -> int:
    """Return the estimated number of requests in a group.

    It is the load that the leader reported plus this node's changes since then, but at
    least the number of this node's requests.
    """
    local = state.loads.get(group.group) or GroupLoad()
    report = evidence.get(group.leader.vm)
    if report is None or report.health is None:
        return local.in_flight
    local_change = _net_change_since(local, report.observed_at_s)
    return max(
        local.in_flight, report.health.active + report.health.queued + local_change
    )


def _net_change_since(load: GroupLoad, since_s: float) -> int:
    """Return the net change of this node's requests in a group since a time."""
    total = 0
    # Iterates from the newest change, because most changes are older than the report.
    for at_s, sign in reversed(load.changes):
        if at_s <= since_s:
            break
        total += sign
    return total


def _record_change(state: RoutingState, group: str, sign: int, now_s: float) -> None:
    load = state.loads.setdefault(group, GroupLoad())
    load.in_flight += sign
    load.changes.append((now_s, sign))
    # A group with an older report is closed, so older changes are not needed.
    while load.changes[0][0] < now_s - EVIDENCE_MAX_AGE_S:
        load.changes.popleft()
