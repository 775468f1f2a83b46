"""Dispatches queued requests to groups and releases their slots."""

from ..core.effects import Effect
from ..core.state import State
from ..limits import queue
from ..limits.admission import has_slot
from ..routing.choice import GroupQuery, choose_group
from ..routing.load import record_end, record_start
from ..routing.models import Target
from ..routing.prefix import record_sent_blocks
from .effects import StartAttempt
from .models import RequestPhase
from .state import RequestRecord
from .suspects import (
    awaits_confirmation,
    group_running_copy,
    groups_with_other_suspects,
    is_suspect,
)


def dispatch_queued(state: State, now_s: float) -> list[Effect]:
    """Start the queued requests for which a slot is free, in queue order."""
    effects: list[Effect] = []
    full_specs: set[str] = set()
    for queued in queue.in_dispatch_order(state.limits):
        request = queued.request
        if request.spec in full_specs or not has_slot(state, request.team):
            continue
        if awaits_confirmation(state, request.fingerprint):
            continue
        record = state.requests.active[request.request_id]
        query = _group_query(state, record)
        target = choose_group(state, query, now_s)
        if target is not None:
            queue.dequeue(state.limits, queued)
            effects.append(_start_attempt(state, record, target, now_s))
        elif query.required_group is None and not query.excluded_groups:
            full_specs.add(request.spec)
    return effects


def release_slot(state: State, record: RequestRecord, now_s: float) -> None:
    """Release the slots of a running request."""
    if record.phase is not RequestPhase.RUNNING or record.target is None:
        return
    queue.release_slot(
        state.limits, record.request.team, now_s - record.dispatched_at_s
    )
    record_end(state.routing, record.target.group, now_s)
    record.phase = RequestPhase.QUEUED


def _start_attempt(
    state: State, record: RequestRecord, target: Target, now_s: float
) -> StartAttempt:
    record.phase = RequestPhase.RUNNING
    record.target = target
    record.resumes = 0
    record.ending = False
    record.dispatched_at_s = now_s
    if record.first_dispatched_at_s is None:
        record.first_dispatched_at_s = now_s
    record_start(state.routing, target.group, now_s)
    blocks = record.request.blocks
    record_sent_blocks(state.routing, target.group, target.generation, blocks)
    return StartAttempt(record.request_id, target)


def _group_query(state: State, record: RequestRecord) -> GroupQuery:
    request = record.request
    excluded_groups = {
        name
        for name, generation in record.failed_groups
        if name in state.groups.groups
        and state.groups.groups[name].generation == generation
    }
    if is_suspect(state, request.fingerprint):
        excluded_groups |= groups_with_other_suspects(state, request.fingerprint)
    required_group = group_running_copy(state, record)
    return GroupQuery(request.spec, request.blocks, required_group, excluded_groups)
