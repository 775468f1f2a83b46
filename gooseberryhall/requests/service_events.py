"""Events and effects of requests to plain services."""

from dataclasses import dataclass

from ..config.models import ServiceServer
from ..core.effects import Effect
from ..core.events import Event
from .models import Failure


@dataclass(frozen=True, slots=True)
class ServiceRequestArrived(Event):
    """A caller sent a valid request to a plain service."""

    request_id: str
    team: str
    service: str


@dataclass(frozen=True, slots=True)
class ServerFailed(Event):
    """A server did not answer; the request needs another one.

    `sent` tells whether bytes of the request can have reached it.
    """

    request_id: str
    sent: bool


@dataclass(frozen=True, slots=True)
class ServiceRequestEnded(Event):
    """A request to a plain service has its outcome."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ServerChosen(Effect):
    """Send a request to this server."""

    request_id: str
    server: ServiceServer


@dataclass(frozen=True, slots=True)
class ServiceRequestRefused(Effect):
    """Answer a request with an error instead of sending it (again)."""

    request_id: str
    failure: Failure
