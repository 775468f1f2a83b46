"""Moves queued requests to groups and frees their slots."""

from ..core.effects import Effect
from ..core.state import State
from ..limits import queue
from ..limits.admission import has_slot
from ..routing.choice import Wanted, choose_group
from ..routing.load import note_end, note_start
from ..routing.models import Target
from ..routing.prefix import remember_send
from .effects import StartAttempt
from .models import RequestPhase
from .state import Record
from .suspects import (
    group_of_copies,
    groups_with_other_suspects,
    is_held,
    is_suspect,
)


def dispatch_queued(state: State, now_s: float) -> list[Effect]:
    """Start the queued requests that have a free slot, in the order of the queue."""
    effects: list[Effect] = []
    full: set[str] = set()
    for waiting in queue.in_dispatch_order(state.limits):
        request = waiting.request
        if request.spec in full or not has_slot(state, request.team):
            continue
        if is_held(state, request.fingerprint):
            continue
        record = state.requests.active[request.request_id]
        wanted = _wanted(state, record)
        target = choose_group(state, wanted, now_s)
        if target is not None:
            queue.dequeue(state.limits, waiting)
            effects.append(_start(state, record, target, now_s))
        elif wanted.only is None and not wanted.avoid:
            full.add(request.spec)
    return effects


def release_slot(state: State, record: Record, now_s: float) -> None:
    """Free the slots that a running request holds."""
    if record.phase is not RequestPhase.RUNNING or record.target is None:
        return
    queue.release_slot(
        state.limits, record.request.team, now_s - record.dispatched_at_s
    )
    note_end(state.routing, record.target.group, now_s)
    record.phase = RequestPhase.QUEUED


def _start(state: State, record: Record, target: Target, now_s: float) -> StartAttempt:
    record.phase = RequestPhase.RUNNING
    record.target = target
    record.resumes = 0
    record.ending = False
    record.dispatched_at_s = now_s
    if record.first_dispatched_at_s is None:
        record.first_dispatched_at_s = now_s
    note_start(state.routing, target.group, now_s)
    blocks = record.request.blocks
    remember_send(state.routing, target.group, target.generation, blocks)
    return StartAttempt(record.request_id, target)


def _wanted(state: State, record: Record) -> Wanted:
    request = record.request
    avoid = {
        name
        for name, generation in record.avoid
        if name in state.groups.groups
        and state.groups.groups[name].generation == generation
    }
    if is_suspect(state, request.fingerprint):
        avoid |= groups_with_other_suspects(state, request.fingerprint)
    only = group_of_copies(state, record)
    return Wanted(request.spec, request.blocks, only, avoid)
