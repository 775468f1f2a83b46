"""Explains where a request would be sent now, without sending it.

The decisions are those of the request path, made on a copy of its state.
"""

from dataclasses import asdict
from typing import Any, Final

from ..admission.decision import Verdict, WaitEnd
from ..fleet.models import BackendServer
from .app import route_request, startup_wait_s
from .const import DEFAULT_DEADLINE_S, MIN_REMAINING_S
from .context import RequestContext
from .evacuated import direct_away, draw_share
from .explain_query import ExplainQuery, create_request
from .hedging import WithheldReason
from .models import GatewayResponse
from .placement import Candidate, accepts
from .refusals import (
    crashing_request_response,
    evacuated_response,
    stopping_response,
)
from .refusing import unserved_response
from .second_copy import HedgedRequest, choose_copy, may_hedge, plan_times
from .snapshot import snapshot
from .state import GatewayState

Answer = dict[str, Any]

# Bounds the answer in deployments with many servers.
MAX_CANDIDATES: Final = 512
_MS_PER_S: Final = 1000


def explain_route(state: GatewayState, query: ExplainQuery, now_s: float) -> Answer:
    """Return where a request would be sent, and why. Raises `InvalidInputError`."""
    view = snapshot(state)
    cfg = view.configuration()
    request = create_request(query, cfg, view.header_names, now_s)
    if not view.is_started():
        deadline_ms = int(query.deadline_ms or DEFAULT_DEADLINE_S * _MS_PER_S)
        limit_s = startup_wait_s(deadline_ms / _MS_PER_S)
        return _wait("this node does not know its servers yet", limit_s)
    ctx = route_request(view, cfg, request)
    if isinstance(ctx, GatewayResponse):
        return _refuse(ctx)
    verdict = _decide(view, ctx, now_s)
    chosen = verdict.get("server")
    return {
        **verdict,
        "route": ctx.route.name,
        "service": ctx.service,
        "model": ctx.model,
        "team": ctx.team.name if ctx.team else None,
        "time_left_s": ctx.time_left_s(now_s),
        "deadline_s": ctx.deadline_s - now_s,
        "late": view.is_late(ctx, now_s),
        "retry_allowed": ctx.route.idempotent
        and view.budget(ctx.service).has_capacity(now_s),
        "omitted": max(0, len(view.servers_for(ctx)) - MAX_CANDIDATES),
        "candidates": _explain_candidates(view, ctx, chosen, now_s),
        # Last, as it excludes the chosen server.
        "hedging": _explain_hedging(view, ctx, chosen, now_s),
    }


def _decide(view: GatewayState, ctx: RequestContext, now_s: float) -> Answer:
    """Return the verdict, by the steps of the request path."""
    refusal = _refuse_early(view, ctx, now_s)
    if refusal is not None:
        return _refuse(refusal)
    if view.is_held():
        return _wait("this process was paused", ctx.deadline_s - now_s)
    waiting, chooser = view.waiting, view.waiting.chooser
    reason = "other requests wait before it"
    if not waiting.has_waiting(ctx.kind):
        choice = chooser.choose(ctx, now_s)
        server = chooser.find_server(choice)
        if server is not None:
            return _send(server)
        reason = "no server takes it now"
        if choice.delay_s is not None:
            reason = "this node has used its part of the scarce places"
    _, limit_s, expected_s, end = waiting.assess(ctx, now_s)
    if end is None:
        return {**_wait(reason, limit_s), "expected_wait_s": expected_s}
    if end is not WaitEnd.UNSERVABLE:
        server = chooser.find_server(chooser.choose(ctx, now_s))
        if server is not None:
            return _send(server)
    ctx.wait_end = end
    return {**_refuse(unserved_response(view, ctx)), "wait_end": end}


def _refuse_early(
    view: GatewayState, ctx: RequestContext, now_s: float
) -> GatewayResponse | None:
    if not view.stopping.accepts(ctx.request.received_s, ctx.deadline_s):
        return stopping_response(view.rng)
    if view.is_evacuated(ctx, now_s):
        return evacuated_response(view.rng)
    if view.crashes_servers(ctx):
        return crashing_request_response(may_have_run=False)
    if ctx.deadline_s - now_s < MIN_REMAINING_S:
        return unserved_response(view, ctx)
    return None


def _send(server: BackendServer) -> Answer:
    return {
        "verdict": Verdict.SEND,
        "reason": "it is expected to take the request",
        "server": server.server_id,
        "zone": server.zone,
    }


def _wait(reason: str, limit_s: float) -> Answer:
    return {"verdict": Verdict.WAIT, "reason": reason, "wait_limit_s": limit_s}


def _refuse(response: GatewayResponse) -> Answer:
    return {"verdict": Verdict.REFUSE, **asdict(response)}


def _explain_candidates(
    view: GatewayState, ctx: RequestContext, chosen: str | None, now_s: float
) -> list[Answer]:
    found = view.candidates(ctx, now_s)
    by_id = {item.server_id: item for item in found}
    draw = draw_share(ctx.request_id)
    used_ids = {item.server_id for item in direct_away(found, draw)}
    answers: list[Answer] = []
    for server in view.servers_for(ctx)[:MAX_CANDIDATES]:
        item = by_id.get(server.server_id)
        if server.server_id == chosen:
            reason = "chosen"
        elif item is None:
            reason = _withheld_reason(view, server, now_s)
        elif server.server_id not in used_ids:
            reason = "evacuation: the load of its zone is being shifted"
        else:
            reason = _unchosen_reason(item)
        figures = asdict(item) if item is not None else {"server_id": server.server_id}
        answers.append({**figures, "zone": server.zone, "reason": reason})
    return answers


def _withheld_reason(view: GatewayState, server: BackendServer, now_s: float) -> str:
    """Return why a server may not be chosen at all."""
    pause_s = view.statements.pause_s(server, now_s)
    if pause_s:
        return f"asked for a pause, {pause_s:.3f} s left"
    if view.statements.is_leaving(server, now_s):
        return "leaves"
    if not view.evacuations.may_send(server.zone, now_s):
        return "evacuation: its zone is cut off"
    if view.is_held():
        return "this process was paused"
    left_s = view.cold.left_s(server)
    if not left_s:
        return "not drawn among the servers that are looked at"
    return f"cold for {left_s:.3f} s, and this node may not send it more now"


def _unchosen_reason(item: Candidate) -> str:
    """Return why a candidate was not chosen."""
    if item.suspected:
        return "suspected: it, or its zone, failed or was silent a moment ago"
    if not accepts(item):
        return f"full: {item.in_flight} in flight, {item.limit} accepted"
    if item.leaving:
        return "usable, but its group loses a member soon"
    if not item.same_zone:
        return "usable, in another zone"
    return "usable, not drawn or more loaded"


def _explain_hedging(
    view: GatewayState, ctx: RequestContext, chosen: str | None, now_s: float
) -> str:
    """Return what would become of a second copy if it were due now."""
    if view.hedging is None or not may_hedge(ctx):
        return "off" if view.hedging is None else "the route does not allow it"
    if chosen is None:
        return "there is no first copy"
    ctx.excluded_servers.add(chosen)
    request = HedgedRequest(view, view.hedging, ctx)
    timing, plan = plan_times(request)
    if isinstance(plan, WithheldReason):
        return f"withheld: {plan}"
    other = choose_copy(request, view.servers()[chosen], timing, plan)
    if isinstance(other, WithheldReason):
        return f"withheld: {other}"
    return f"{other.server_id} after {plan.due_s - now_s:.3f} s"
