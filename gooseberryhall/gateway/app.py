"""Authenticates and routes callers' requests."""

import asyncio
import logging

from ..fleet.models import Configuration, Team
from ..telemetry.catalogue import LogEvent
from ..telemetry.logs import log_event
from .caller import CallerConnection
from .const import (
    DEFAULT_DEADLINE_S,
    MAX_LOGGED_PARTS,
    STARTUP_POLL_S,
    STARTUP_WAIT_S,
    STARTUP_WAIT_SHARE,
)
from .context import RequestContext, choose_service
from .crashes import request_fingerprint
from .header_values import decode_number
from .models import CallerRequest, GatewayResponse
from .observed import Kind
from .plain import async_forward_plain
from .prompt import declared_tokens
from .refusals import (
    crashing_request_response,
    evacuated_response,
    outcome_unknown_response,
    stopping_response,
)
from .sending import log_request
from .state import GatewayState
from .stopping import StopOutcome
from .stream import async_forward_stream

_LOGGER = logging.getLogger(__name__)

_MS_PER_S = 1000
_NOT_READY = GatewayResponse(503, "no configuration yet", 0.5)
# The request may have run.
_FAULT = GatewayResponse(500, "internal error")


async def async_handle_request(
    state: GatewayState, conn: CallerConnection, request: CallerRequest
) -> None:
    """Handle one request from a caller and write its response."""
    try:
        await _async_handle_request(state, conn, request)
    except Exception:  # noqa: BLE001
        request_id = request.get(state.header_names.request_id)
        log_event(
            _LOGGER,
            LogEvent.HANDLER_FAILED,
            "request hit a fault of this program",
            level=logging.ERROR,
            exc_info=True,
            request=request_id.decode("latin-1") if request_id else None,
            responded=conn.responded,
        )
        if not conn.responded:
            conn.respond(_FAULT, request_id, state.header_names.request_id)


async def _async_handle_request(
    state: GatewayState, conn: CallerConnection, request: CallerRequest
) -> None:
    state.traffic_seen = True
    await _async_wait_until_started(state, request)
    cfg = state.configuration()
    routed = route_request(state, cfg, request)
    request_id = request.get(state.header_names.request_id)
    if isinstance(routed, GatewayResponse):
        state.metrics.requests.inc({"route": "", "outcome": str(routed.status)})
        conn.respond(routed, request_id, state.header_names.request_id)
        return
    response = await _async_serve(state, routed, conn)
    outcome = "relayed" if response is None else str(response.status)
    state.metrics.requests.inc({"route": routed.route.name, "outcome": outcome})
    if response is None:
        return
    if response.status == 503:  # noqa: PLR2004
        state.metrics.refusals.inc({"reason": response.reason})
    if state.crashes_servers(routed):
        state.metrics.crash_refusals.inc({"route": routed.route.name})
    log_request(
        LogEvent.REQUEST_REFUSED,
        response.reason,
        routed,
        status=response.status,
        retry_after_s=response.retry_after_s,
        waited_s=round(routed.waited_s, 3),
        expected_wait_s=round(routed.expected_wait_s, 3),
        wait_end=routed.wait_end,
        sends=routed.sends,
        ran_on=routed.ran_on,
        parts=routed.prompt_parts[:MAX_LOGGED_PARTS],
        crashed=state.crashes.crashed_servers(routed.fingerprint),
    )
    conn.respond(response, request_id, state.header_names.request_id)


async def _async_serve(
    state: GatewayState, ctx: RequestContext, conn: CallerConnection
) -> GatewayResponse | None:
    """Forward a request; return a generated response if no server's was relayed."""
    if not state.stopping.accepts(ctx.request.received_s, ctx.deadline_s):
        state.stopping.outcomes[StopOutcome.REFUSED] += 1
        return stopping_response(state.rng)
    now_s = asyncio.get_running_loop().time()
    if state.is_evacuated(ctx, now_s):
        return evacuated_response(state.rng)
    state.budget(ctx.service).record_request(now_s)
    if state.hedging is not None:
        state.hedging.share(ctx.service).record_request(now_s)
    if state.crashes_servers(ctx):
        return crashing_request_response(may_have_run=False)
    try:
        async with state.stopping.async_limit(lambda: conn.responded):
            if ctx.route.streaming or state.is_grouped(ctx.service):
                return await async_forward_stream(state, ctx, conn)
            return await async_forward_plain(state, ctx, conn)
    except TimeoutError:
        if not conn.responded:
            return _stopped_response(state, ctx)
        state.stopping.outcomes[StopOutcome.CUT] += 1
        log_request(
            LogEvent.STREAM_CUT, "this node stops", ctx, sends=ctx.sends, on=ctx.ran_on
        )
        conn.abort()
        return None
    except asyncio.CancelledError:
        log_request(
            LogEvent.REQUEST_CANCELLED,
            "connection of the caller ended before the response",
            ctx,
            responded=conn.responded,
            sends=ctx.sends,
            on=ctx.ran_on,
        )
        raise


def _stopped_response(state: GatewayState, ctx: RequestContext) -> GatewayResponse:
    if ctx.sends:
        state.stopping.outcomes[StopOutcome.UNANSWERED] += 1
        return outcome_unknown_response("this node stopped before the answer")
    state.stopping.outcomes[StopOutcome.REFUSED] += 1
    return stopping_response(state.rng)


def startup_wait_s(timeout_s: float) -> float:
    """Return how long a request may wait for a node that has just started.

    After a restart of all nodes each of them knows its servers within a fraction of a
    second. A refusal would bring all callers back at the same time, a second later.
    """
    return min(STARTUP_WAIT_S, timeout_s * STARTUP_WAIT_SHARE)


async def _async_wait_until_started(
    state: GatewayState, request: CallerRequest
) -> None:
    """Wait for a short time until this node knows what it needs to send requests."""
    loop = asyncio.get_running_loop()
    wait_s = startup_wait_s(_caller_timeout_s(state, request))
    while loop.time() < request.received_s + wait_s:
        if state.is_started():
            return
        await asyncio.sleep(STARTUP_POLL_S)


def route_request(
    state: GatewayState, cfg: Configuration | None, request: CallerRequest
) -> RequestContext | GatewayResponse:
    """Return the context of a routed request, or the response that refuses it."""
    if cfg is None:
        return _NOT_READY
    host = (request.get(b"host") or b"").partition(b":")[0].lower()
    request_id = request.get(state.header_names.request_id)
    if not host or not request.target.startswith(b"/") or request_id is None:
        return GatewayResponse(400, "host, path or request id is missing")
    route = cfg.find_route(host, request.path)
    if route is None or not route.targets:
        return GatewayResponse(404, "no such route")
    team = _find_team(state, cfg, request)
    if cfg.has_teams and team is None and not route.anonymous:
        return GatewayResponse(401, "unknown key")
    header = request.get(state.header_names.model)
    model = header.decode("latin-1") if header else None
    service = choose_service(route, state.rng)
    team_name = team.name if team else ""
    timeout_s = min(_caller_timeout_s(state, request), route.timeout_s)
    spent_s = 0.0
    if _declared_timeout_s(state, request) is not None:
        spent_s = state.observed.spent_s(route.name, route.timeout_s, timeout_s)
    return RequestContext(
        request=request,
        request_id=request_id,
        route=route,
        service=service,
        team=team,
        model=model,
        fingerprint=request_fingerprint(
            team_name, request.method, request.target, request.body
        ),
        deadline_s=request.received_s + timeout_s,
        declared_parts=request.get(state.header_names.prompt_parts),
        objective_s=request.received_s + route.latency_objective_s - spent_s,
        kind=_kind(cfg, service, model),
        tokens=declared_tokens(
            request.get(state.header_names.token_count),
            request.get(state.header_names.length_hint),
        ),
    )


def _kind(cfg: Configuration, service: str, model: str | None) -> Kind:
    """Return the service and the model if it is configured.

    State is kept by kind, so a caller must not be able to name many of them.
    """
    found = cfg.services.get(service)
    engine = found.engine if found else None
    is_known = engine is not None and model is not None and engine.model(model)
    return (service, model if is_known else None)


def _find_team(
    state: GatewayState, cfg: Configuration, request: CallerRequest
) -> Team | None:
    value = request.get(b"authorization") or b""
    scheme = state.header_names.key_scheme
    if value[: len(scheme)].lower() != scheme.lower():
        return None
    return cfg.teams_by_key.get(value[len(scheme) :].strip())


def _caller_timeout_s(state: GatewayState, request: CallerRequest) -> float:
    timeout_s = _declared_timeout_s(state, request)
    return DEFAULT_DEADLINE_S if timeout_s is None else timeout_s


def _declared_timeout_s(state: GatewayState, request: CallerRequest) -> float | None:
    """Return how long the caller says that it waits; None if it does not say it."""
    deadline_ms = decode_number(request.get(state.header_names.deadline_ms))
    return None if deadline_ms is None else deadline_ms / _MS_PER_S
