"""Events of the requests package."""

from dataclasses import dataclass

from ..core.events import Event
from .models import BreakReason, ModelRequest


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A caller sent a valid model request."""

    request: ModelRequest


@dataclass(frozen=True, slots=True)
class RequestEvent(Event):
    """Base of the events of one request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class FirstContent(RequestEvent):
    """The first content of a response is about to be sent to the caller."""


@dataclass(frozen=True, slots=True)
class StreamBroken(RequestEvent):
    """An attempt on an engine failed or made no progress."""

    reason: BreakReason
    message: str


@dataclass(frozen=True, slots=True)
class RequestFinished(RequestEvent):
    """The complete response was sent to the caller."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected(RequestEvent):
    """The caller disconnected before the end of the response."""


@dataclass(frozen=True, slots=True)
class SuspectReported(Event):
    """Another process reported a request that was in flight at a crash."""

    fingerprint: str
    vm: str
    boot_id: str
    age_s: float


@dataclass(frozen=True, slots=True)
class DrainLimitReached(Event):
    """The drain limit of a planned stop has passed; requests in flight are failed."""
