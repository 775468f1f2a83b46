"""Event handlers for requests to plain services."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..config.models import ObjectKind, PlainService
from ..core.effects import Effect
from ..core.events import Event
from ..exceptions import Executed
from ..limits import admission
from ..limits.rate import consume_retry
from ..routing.servers import choose_server, servers_in_cooldown, start_server_cooldown
from .const import STATUS_BAD_GATEWAY, STATUS_SERVICE_UNAVAILABLE
from .models import Failure
from .service_events import (
    ServerChosen,
    ServerFailed,
    ServiceRequestArrived,
    ServiceRequestEnded,
    ServiceRequestRefused,
)
from .state import ServiceRequestRecord

if TYPE_CHECKING:
    from ..core.reducer import Handler
    from ..core.state import State

_BUSY_RETRY_AFTER_S = 1.0


def _reduce_arrived(
    state: "State", event: ServiceRequestArrived, now_s: float
) -> list[Effect]:
    failure = admission.consume_team_rate(state, event.team, now_s)
    if failure is None:
        failure = admission.check_service_slots(state, event.team)
    if failure is not None:
        return [ServiceRequestRefused(event.request_id, failure)]
    record = ServiceRequestRecord(event.team, event.service)
    state.requests.service_requests[event.request_id] = record
    return _choose_server(state, event.request_id, record, now_s)


def _reduce_failed(state: "State", event: ServerFailed, now_s: float) -> list[Effect]:
    record = state.requests.service_requests.get(event.request_id)
    if record is None or record.server is None:
        return []
    record.sent = record.sent or event.sent
    record.tried.add(record.server)
    start_server_cooldown(state.routing, record.service, record.server, now_s)
    record.server = None
    if not consume_retry(state.limits, now_s):
        return [ServiceRequestRefused(event.request_id, _no_server_failure(record))]
    return _choose_server(state, event.request_id, record, now_s)


def _reduce_ended(
    state: "State", event: ServiceRequestEnded, _now_s: float
) -> list[Effect]:
    state.requests.service_requests.pop(event.request_id, None)
    return []


def _choose_server(
    state: "State", request_id: str, record: ServiceRequestRecord, now_s: float
) -> list[Effect]:
    service = state.config.objects.get((ObjectKind.PLAIN_SERVICE, record.service))
    if not isinstance(service, PlainService):
        return [ServiceRequestRefused(request_id, _no_server_failure(record))]
    in_flight: dict[str, int] = {}
    for other in state.requests.service_requests.values():
        if other.service == record.service and other.server is not None:
            in_flight[other.server] = in_flight.get(other.server, 0) + 1
    server = choose_server(
        service,
        zone=state.identity.zone,
        in_flight=in_flight,
        in_cooldown=servers_in_cooldown(state.routing, record.service, now_s),
        tried=record.tried,
    )
    if server is None:
        return [ServiceRequestRefused(request_id, _no_server_failure(record))]
    record.server = server.name
    return [ServerChosen(request_id, server)]


def _no_server_failure(record: ServiceRequestRecord) -> Failure:
    if not record.tried:
        message = "all servers of the service are busy"
        return admission.refusal(
            STATUS_SERVICE_UNAVAILABLE, "overloaded", message, _BUSY_RETRY_AFTER_S
        )
    return Failure(
        STATUS_BAD_GATEWAY if record.sent else STATUS_SERVICE_UNAVAILABLE,
        "upstream_error",
        "service_unreachable",
        "no server of the service answered",
        Executed.UNKNOWN if record.sent else Executed.NO,
        _BUSY_RETRY_AFTER_S,
    )


HANDLERS: "Mapping[type[Event], Handler]" = {
    ServiceRequestArrived: _reduce_arrived,
    ServerFailed: _reduce_failed,
    ServiceRequestEnded: _reduce_ended,
}
