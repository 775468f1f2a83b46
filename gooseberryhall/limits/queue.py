"""Weighted fair queue between teams (start-time fair queueing).

A request's start tag is the later of the virtual time and the finish tag of its team's
previous request; a finish tag lies 1 / weight after the start tag. The lowest start tag
goes first, so that a team with many queued requests delays no other team.
"""

from ..requests.models import ModelRequest
from .const import SERVICE_TIME_WEIGHT
from .state import LimitsState, QueuedRequest


def enqueue(state: LimitsState, request: ModelRequest, now_s: float) -> None:
    """Add a request to the queue."""
    start = max(state.virtual_time, state.last_finish.get(request.team, 0.0))
    state.last_finish[request.team] = start + 1.0 / request.weight
    state.queued[request.request_id] = QueuedRequest(request, start, now_s)


def requeue(state: LimitsState, request: ModelRequest, now_s: float) -> None:
    """Put a request that was dispatched before at the head of the queue."""
    state.queued[request.request_id] = QueuedRequest(
        request, state.virtual_time, now_s, restarted=True
    )


def in_dispatch_order(state: LimitsState) -> list[QueuedRequest]:
    """Return the queued requests, next one first."""
    return sorted(
        state.queued.values(),
        key=lambda item: (not item.restarted, item.start_tag, item.queued_at_s),
    )


def dequeue(state: LimitsState, waiting: QueuedRequest) -> None:
    """Move a request from the queue to the running ones."""
    request = waiting.request
    del state.queued[request.request_id]
    state.virtual_time = max(state.virtual_time, waiting.start_tag)
    state.running[request.team] = state.running.get(request.team, 0) + 1


def release_slot(state: LimitsState, team: str, service_s: float) -> None:
    """Free the slot of a running request."""
    state.running[team] -= 1
    if state.running[team] == 0:
        del state.running[team]
    if state.mean_service_s == 0.0:
        state.mean_service_s = service_s
    state.mean_service_s += SERVICE_TIME_WEIGHT * (service_s - state.mean_service_s)


def remove(state: LimitsState, request_id: str) -> None:
    """Take a request out of the queue without running it."""
    waiting = state.queued.pop(request_id, None)
    if waiting is None or waiting.restarted:
        return
    # The team's later requests must not pay for one that was not run.
    request = waiting.request
    cost = 1.0 / request.weight
    for other in state.queued.values():
        if other.request.team == request.team and other.start_tag > waiting.start_tag:
            other.start_tag -= cost
    state.last_finish[request.team] -= cost


def expected_wait_s(state: LimitsState, ahead: int) -> float:
    """Return how long a request behind `ahead` others will wait (Little's law)."""
    running = sum(state.running.values())
    if running == 0:
        return 0.0
    return ahead * state.mean_service_s / running


def expected_team_wait_s(state: LimitsState, team: str) -> float:
    """Return how long a new request of a team without a free slot will wait."""
    ahead = sum(1 for item in state.queued.values() if item.request.team == team)
    return (ahead + 1) * state.mean_service_s / max(state.running.get(team, 0), 1)


def requests_ahead(state: LimitsState, request: ModelRequest) -> int:
    """Return how many queued requests a new one has before it."""
    start_tag = max(state.virtual_time, state.last_finish.get(request.team, 0.0))
    return sum(1 for item in state.queued.values() if item.start_tag <= start_tag)


def find_request_to_shed(
    state: LimitsState, request: ModelRequest
) -> ModelRequest | None:
    """Return the queued request that makes room for a new one in a full queue.

    It is the newest of the team with the most queued requests for its weight, or None
    when the new request's own team would have the largest share.
    """
    shares: dict[str, float] = {}
    newest: dict[str, ModelRequest] = {}
    for item in state.queued.values():
        if item.restarted:
            continue
        team = item.request.team
        shares[team] = shares.get(team, 0.0) + 1.0 / item.request.weight
        newest[team] = item.request
    if not shares:
        return None
    largest = max(shares, key=lambda team: shares[team])
    own = shares.get(request.team, 0.0) + 1.0 / request.weight
    if largest == request.team or shares[largest] <= own:
        return None
    return newest[largest]
