"""Admission control: decides whether a request is queued or refused."""

import math

from ..config.models import ObjectKind, Team
from ..core.state import State
from ..exceptions import Executed
from ..requests.const import STATUS_SERVICE_UNAVAILABLE, STATUS_TOO_MANY_REQUESTS
from ..requests.models import Failure, ModelRequest
from . import queue
from .const import MIN_RETRY_AFTER_S, SERVICE_RETRY_AFTER_S
from .rate import consume_rate, record_request


def count_live_nodes(state: State) -> int:
    """Return the number of live entry VMs, including this one."""
    others = set(state.membership.peers) - {state.identity.node}
    return len(others) + 1


def consume_team_rate(state: State, team_name: str, now_s: float) -> Failure | None:
    """Consume one request from this node's share of a team's rate.

    Returns the refusal if the rate is exceeded.
    """
    team = state.config.objects.get((ObjectKind.TEAM, team_name))
    wait_s = None
    if isinstance(team, Team):
        rate_per_s = team.requests_per_s / count_live_nodes(state)
        wait_s = consume_rate(state.limits, team_name, rate_per_s, now_s)
    if wait_s is None:
        record_request(state.limits, now_s)
        return None
    message = "the team's request rate is used up"
    return refusal(STATUS_TOO_MANY_REQUESTS, "rate_limited", message, wait_s)


def check_queue(state: State, request: ModelRequest, now_s: float) -> Failure | None:
    """Return the refusal of a request whose expected wait is too long.

    The wait is too long if it exceeds the request's deadline or the queue wait limit,
    also because the team has too many requests in flight.
    """
    limits = state.limits
    if not has_slot(state, request.team):
        wait_s = queue.expected_team_wait_s(limits, request.team)
        if wait_s > limits.queue_wait_limit_s:
            message = "the team has too many requests in flight"
            return refusal(
                STATUS_TOO_MANY_REQUESTS, "too_many_in_flight", message, wait_s
            )
    wait_s = queue.expected_wait_s(limits, queue.requests_ahead(limits, request))
    if request.deadline_s is not None and now_s + wait_s >= request.deadline_s:
        message = "the expected wait exceeds the request's deadline"
        return refusal(
            STATUS_SERVICE_UNAVAILABLE, "deadline_too_short", message, wait_s
        )
    if wait_s > limits.queue_wait_limit_s:
        message = "the expected wait exceeds the limit"
        return refusal(STATUS_SERVICE_UNAVAILABLE, "overloaded", message, wait_s)
    return None


def queue_full_refusal(state: State) -> Failure:
    """Return the refusal of a request that exceeds the limit of the queue."""
    wait_s = queue.expected_wait_s(state.limits, len(state.limits.queued))
    message = "too many requests are waiting"
    return refusal(STATUS_SERVICE_UNAVAILABLE, "overloaded", message, wait_s)


def refusal(
    status: int, code: str, message: str, retry_after_s: float | None
) -> Failure:
    """Return the failure of a request that was not executed."""
    kind = (
        "rate_limit_error"
        if status == STATUS_TOO_MANY_REQUESTS
        else "unavailable_error"
    )
    after = None if retry_after_s is None else max(retry_after_s, MIN_RETRY_AFTER_S)
    return Failure(status, kind, code, message, Executed.NO, after)


def has_slot(state: State, team_name: str) -> bool:
    """Return whether a team may run another model request on this node."""
    running = state.limits.running.get(team_name, 0)
    return running < _in_flight_share(state, team_name)


def check_service_slots(state: State, team_name: str) -> Failure | None:
    """Return the refusal of a plain service request above the team's limit."""
    services = state.requests.service_requests.values()
    running = sum(1 for record in services if record.team == team_name)
    if running < _in_flight_share(state, team_name):
        return None
    message = "the team has too many requests in flight"
    return refusal(
        STATUS_TOO_MANY_REQUESTS, "too_many_in_flight", message, SERVICE_RETRY_AFTER_S
    )


def _in_flight_share(state: State, team_name: str) -> float:
    team = state.config.objects.get((ObjectKind.TEAM, team_name))
    if not isinstance(team, Team):
        return math.inf
    return max(1, math.ceil(team.max_in_flight / count_live_nodes(state)))
