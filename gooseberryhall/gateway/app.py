"""Authenticates and routes callers' requests."""

import asyncio

from ..fleet.models import Configuration, Team
from ..telemetry.catalogue import LogEvent
from .caller import CallerConnection
from .const import DEFAULT_DEADLINE_S
from .context import RequestContext, choose_service
from .crashes import fingerprint
from .models import CallerRequest, GatewayResponse
from .plain import async_forward_plain
from .refusals import refuse_crashing
from .sending import log_request
from .state import GatewayState
from .stream import async_forward_stream

_MS_PER_S = 1000
_NOT_READY = GatewayResponse(503, "no configuration yet", 0.5)


async def async_handle_request(
    state: GatewayState, conn: CallerConnection, request: CallerRequest
) -> None:
    """Answer one request of a caller."""
    state.traffic_seen = True
    cfg = state.configuration()
    routed = route_request(state, cfg, request)
    request_id = request.get(state.header_names.request_id)
    if isinstance(routed, GatewayResponse):
        state.metrics.requests.inc({"route": "", "outcome": str(routed.status)})
        conn.respond(routed, request_id, state.header_names.request_id)
        return
    now_s = asyncio.get_running_loop().time()
    state.budget(routed.service).note_request(now_s)
    if state.crashes.is_blocked(routed.fingerprint, now_s):
        answer: GatewayResponse | None = refuse_crashing()
    elif _is_grouped(cfg, routed):
        answer = await async_forward_stream(state, routed, conn)
    else:
        answer = await async_forward_plain(state, routed, conn)
    outcome = "relayed" if answer is None else str(answer.status)
    state.metrics.requests.inc({"route": routed.route.name, "outcome": outcome})
    if answer is None:
        return
    log_request(
        LogEvent.REQUEST_REFUSED,
        answer.reason,
        routed,
        status=answer.status,
        retry_after_s=answer.retry_after_s,
        sends=routed.sends,
        ran_on=routed.ran_on,
    )
    conn.respond(answer, request_id, state.header_names.request_id)


def route_request(
    state: GatewayState, cfg: Configuration | None, request: CallerRequest
) -> RequestContext | GatewayResponse:
    """Return the routed request, or the answer that refuses it."""
    if cfg is None:
        return _NOT_READY
    host = (request.get(b"host") or b"").partition(b":")[0].lower()
    request_id = request.get(state.header_names.request_id)
    if not host or not request.target.startswith(b"/") or request_id is None:
        return GatewayResponse(400, "host, path or request id is missing")
    route = cfg.find_route(host, request.path)
    if route is None or not route.targets:
        return GatewayResponse(404, "no such route")
    tenant = _tenant(state, cfg, request)
    if cfg.has_teams and tenant is None and not route.anonymous:
        return GatewayResponse(401, "unknown key")
    model = request.get(state.header_names.model)
    team = tenant.name if tenant else ""
    return RequestContext(
        request=request,
        request_id=request_id,
        route=route,
        service=choose_service(route, state.rng),
        tenant=tenant,
        model=model.decode("latin-1") if model else None,
        fingerprint=fingerprint(team, request.method, request.target, request.body),
        deadline_s=request.received_s
        + min(_patience_s(state, request), route.timeout_s),
    )


def _tenant(
    state: GatewayState, cfg: Configuration, request: CallerRequest
) -> Team | None:
    value = request.get(b"authorization") or b""
    scheme = state.header_names.key_scheme
    if value[: len(scheme)].lower() != scheme.lower():
        return None
    return cfg.teams_by_key.get(value[len(scheme) :].strip())


def _patience_s(state: GatewayState, request: CallerRequest) -> float:
    value = request.get(state.header_names.deadline_ms)
    if value is None or not value.isdigit():
        return DEFAULT_DEADLINE_S
    return int(value) / _MS_PER_S


def _is_grouped(cfg: Configuration | None, ctx: RequestContext) -> bool:
    service = cfg.services.get(ctx.service) if cfg else None
    return service is not None and service.engine is not None
