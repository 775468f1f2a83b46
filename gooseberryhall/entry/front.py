"""State of the callers' side of the entry program."""

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
class Front:
    """What the handlers share.

    A planned stop sets `stopping`, which the load balancer is told at once, and ends
    `accepting` a while later. `in_flight` counts the requests that are being answered.
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
        """Take the decisions about requests to plain services."""
        self.ctx.runtime.register(ServerChosen, self._decide)
        self.ctx.runtime.register(ServiceRequestRefused, self._decide)

    def enter(self) -> None:
        """Count a request that starts."""
        self.in_flight += 1
        self.idle.clear()

    def leave(self) -> None:
        """Count a request that ends."""
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
        """Return the server for a request, or raise RequestFailedError."""
        if isinstance(event, ServerFailed):
            entry_metrics().service_retries.inc({})
        self.ctx.runtime.async_dispatch(event)
        decision = self._decisions.pop(event.request_id, None)
        if isinstance(decision, ServerChosen):
            return decision.server
        if decision is None:
            raise RequestFailedError(_ended())
        raise RequestFailedError(decision.failure)

    def report_service_call(self, request_id: str, service: str, outcome: str) -> None:
        """Count the outcome of a request to a plain service and record it."""
        entry_metrics().service_calls.inc({"service": service, "outcome": outcome})
        self.ctx.ops.timeline.record(
            "service_request_ended",
            request_id=request_id,
            service=service,
            outcome=outcome,
        )

    def _decide(self, effect: ServerChosen | ServiceRequestRefused) -> None:
        self._decisions[effect.request_id] = effect


def _ended() -> Failure:
    """Return the answer to a request whose caller has gone."""
    return Failure(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "unavailable_error",
        "caller_gone",
        "the caller has gone",
        Executed.NO,
    )
