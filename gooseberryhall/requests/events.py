"""Events of the requests concern."""

from dataclasses import dataclass

from ..core.events import Event
from .models import BreakReason, ModelRequest


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A caller sent a valid model request."""

    request: ModelRequest


@dataclass(frozen=True, slots=True)
class RequestEvent(Event):
    """Something that happened to one request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class FirstContent(RequestEvent):
    """The first content of a response is passed on to the caller."""


@dataclass(frozen=True, slots=True)
class StreamBroken(RequestEvent):
    """The attempt at an engine failed or made no progress."""

    reason: BreakReason
    message: str


@dataclass(frozen=True, slots=True)
class RequestFinished(RequestEvent):
    """The complete response was passed on to the caller."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected(RequestEvent):
    """The caller closed the connection before the end of the response."""


@dataclass(frozen=True, slots=True)
class SuspectReported(Event):
    """Another process saw a crash while a request was in flight."""

    fingerprint: str
    vm: str
    boot_id: str
    age_s: float


@dataclass(frozen=True, slots=True)
class DrainLimitReached(Event):
    """The limit of a planned stop is over; requests in flight are failed."""
