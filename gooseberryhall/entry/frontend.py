"""State that the request handlers of the entry program share."""

import asyncio
from dataclasses import dataclass, field
from http import HTTPStatus

from ..claims.runner import ClaimService
from ..config.models import ServiceServer
from ..core.context import ProgramContext
from ..exceptions import Executed
from ..requests.exceptions import RequestFailedError
from ..requests.models import Failure, ModelRequest
from ..requests.relay import CallRegistry, DeliverChunks, async_run_request
from ..requests.service_events import (
    ServerChosen,
    ServerFailed,
    ServiceRequestArrived,
    ServiceRequestRefused,
)
from .metrics import entry_metrics


@dataclass(slots=True)
class Frontend:
    """Context shared by the request handlers.

    A planned stop sets `stopping`, which fails the load balancer's readiness check, and
    later clears `accepting`. `in_flight` counts the requests in progress; `idle` is set
    when the last of them ends.
    """

    ctx: ProgramContext
    calls: CallRegistry
    claims: ClaimService
    stopping: bool = False
    accepting: bool = True
    in_flight: int = 0
    idle: asyncio.Event = field(default_factory=asyncio.Event)
    _decisions: dict[str, ServerChosen | ServiceRequestRefused] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        """Subscribe to the decisions on requests to plain services."""
        self.ctx.runtime.register(ServerChosen, self._store_decision)
        self.ctx.runtime.register(ServiceRequestRefused, self._store_decision)

    def begin_request(self) -> None:
        """Count a request as in flight."""
        self.in_flight += 1
        self.idle.clear()

    def end_request(self) -> None:
        """Remove a request from the count of those in flight."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self.idle.set()

    async def async_run(
        self, request: ModelRequest, body: bytes, deliver: DeliverChunks
    ) -> None:
        """Run a model request. Raises RequestFailedError."""
        await async_run_request(self.ctx, self.calls, request, body, deliver)

    def choose_server(
        self, event: ServiceRequestArrived | ServerFailed
    ) -> ServiceServer:
        """Return the server for a request. Raises RequestFailedError."""
        if isinstance(event, ServerFailed):
            entry_metrics().service_retries.inc({})
        self.ctx.runtime.async_dispatch(event)
        decision = self._decisions.pop(event.request_id, None)
        if isinstance(decision, ServerChosen):
            return decision.server
        if decision is None:
            raise RequestFailedError(_caller_gone_failure())
        raise RequestFailedError(decision.failure)

    def record_service_call(self, request_id: str, service: str, outcome: str) -> None:
        """Record the outcome of a request to a plain service."""
        entry_metrics().service_calls.inc({"service": service, "outcome": outcome})
        self.ctx.ops.timeline.record(
            "service_request_ended",
            request_id=request_id,
            service=service,
            outcome=outcome,
        )

    def _store_decision(self, effect: ServerChosen | ServiceRequestRefused) -> None:
        self._decisions[effect.request_id] = effect


def _caller_gone_failure() -> Failure:
    """Return the failure of a request whose caller has disconnected."""
    return Failure(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "unavailable_error",
        "caller_gone",
        "the caller has gone",
        Executed.NO,
    )
