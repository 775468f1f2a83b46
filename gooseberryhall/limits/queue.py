"""Weighted fair queue between teams; each request costs 1 / weight.

See `admission/fair_queue.py`.
"""

from ..admission.fair_queue import advance, charge, next_start_tag, refund
from ..requests.models import ModelRequest
from .const import SERVICE_TIME_EWMA_WEIGHT
from .state import LimitsState, QueuedRequest


def enqueue(state: LimitsState, request: ModelRequest, now_s: float) -> None:
    """Add a request to the queue."""
    start_tag = charge(state, request.team, 1.0 / request.weight)
    state.queued[request.request_id] = QueuedRequest(request, start_tag, now_s)


def requeue(state: LimitsState, request: ModelRequest, now_s: float) -> None:
    """Put a request that was dispatched before back at the head of the queue."""
    state.queued[request.request_id] = QueuedRequest(
        request, state.virtual_time, now_s, restarted=True
    )


def in_dispatch_order(state: LimitsState) -> list[QueuedRequest]:
    """Return the queued requests in the order of dispatch."""
    return sorted(
        state.queued.values(),
        key=lambda item: (not item.restarted, item.start_tag, item.queued_at_s),
    )


def dequeue(state: LimitsState, queued: QueuedRequest) -> None:
    """Remove a request from the queue and count it as running."""
    request = queued.request
    del state.queued[request.request_id]
    advance(state, queued.start_tag)
    state.running[request.team] = state.running.get(request.team, 0) + 1


def release_slot(state: LimitsState, team: str, service_s: float) -> None:
    """Release the slot that a request has used for `service_s` seconds."""
    state.running[team] -= 1
    if state.running[team] == 0:
        del state.running[team]
    if state.mean_service_s == 0.0:
        state.mean_service_s = service_s
    state.mean_service_s += SERVICE_TIME_EWMA_WEIGHT * (
        service_s - state.mean_service_s
    )


def remove(state: LimitsState, request_id: str) -> None:
    """Remove a request from the queue without running it."""
    queued = state.queued.pop(request_id, None)
    if queued is None or queued.restarted:
        return
    request = queued.request
    others = (
        other for other in state.queued.values() if other.request.team == request.team
    )
    cost = 1.0 / request.weight
    refund(state, request.team, cost, queued.start_tag, others)


def expected_wait_s(state: LimitsState, ahead: int) -> float:
    """Return the expected wait behind `ahead` requests, by Little's law."""
    running = sum(state.running.values())
    if running == 0:
        return 0.0
    return ahead * state.mean_service_s / running


def expected_team_wait_s(state: LimitsState, team: str) -> float:
    """Return the expected wait of a new request of a team without a free slot."""
    ahead = sum(1 for item in state.queued.values() if item.request.team == team)
    return (ahead + 1) * state.mean_service_s / max(state.running.get(team, 0), 1)


def requests_ahead(state: LimitsState, request: ModelRequest) -> int:
    """Return how many queued requests would be dispatched before a new one."""
    start_tag = next_start_tag(state, request.team)
    return sum(1 for item in state.queued.values() if item.start_tag <= start_tag)


def find_request_to_shed(
    state: LimitsState, request: ModelRequest
) -> ModelRequest | None:
    """Return the queued request to drop for a new one when the queue is full.

    It is the newest request of the team with the most queued requests relative to its
    weight. Returns None if the team of the new request would have the largest share.
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
    largest_team = max(shares, key=lambda team: shares[team])
    new_share = shares.get(request.team, 0.0) + 1.0 / request.weight
    if largest_team == request.team or shares[largest_team] <= new_share:
        return None
    return newest[largest_team]
