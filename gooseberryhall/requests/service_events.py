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
    """An attempt on a server failed; the request needs another server.

    `sent` is true when bytes of the request may have reached the server.
    """

    request_id: str
    sent: bool


@dataclass(frozen=True, slots=True)
class ServiceRequestEnded(Event):
    """A request to a plain service ended."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ServerChosen(Effect):
    """Send a request to this server."""

    request_id: str
    server: ServiceServer


@dataclass(frozen=True, slots=True)
class ServiceRequestRefused(Effect):
    """Respond to a request with an error instead of sending it to a server."""

    request_id: str
    failure: Failure
