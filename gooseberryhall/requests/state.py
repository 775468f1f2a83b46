"""State of the requests concern."""

from collections import OrderedDict
from dataclasses import dataclass, field

from ..routing.models import Target
from .models import Failure, ModelRequest, RequestPhase


@dataclass(slots=True)
class Record:
    """A model request that has no outcome yet.

    `avoid` holds the groups, with their generations, at which it failed before.
    `sent` tells whether bytes of it can have reached an engine. `ending` is set once
    its attempt was told to end. `pending_failure` is its outcome while a possible crash
    is not confirmed.
    """

    request: ModelRequest
    arrived_at_s: float
    phase: RequestPhase = RequestPhase.QUEUED
    target: Target | None = None
    dispatched_at_s: float = 0.0
    first_dispatched_at_s: float | None = None
    first_content_at_s: float | None = None
    sent: bool = False
    resumes: int = 0
    ending: bool = False
    avoid: set[tuple[str, int]] = field(default_factory=set)
    pending_failure: Failure | None = None

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.request.request_id


CrashKey = tuple[str, str]


@dataclass(slots=True)
class Suspect:
    """A request that was in flight at crashes; `finished` once it ran to its end."""

    crashes: dict[CrashKey, float] = field(default_factory=dict)
    finished: bool = False


@dataclass(slots=True)
class Crash:
    """A crash of a member: its VM and boot id, and when it was recorded."""

    vm: str
    boot_id: str
    recorded_at_s: float
    fingerprints: set[str] = field(default_factory=set)


@dataclass(slots=True)
class PossibleCrash:
    """A stream broke; evidence will tell whether a member crashed.

    `silent_since_s` holds the time of the first of the failed probes in a row.
    """

    fingerprint: str
    target: Target
    broke_at_s: float
    silent_since_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class SuspectsState:
    """Crash suspects by fingerprint, crashes by key and unconfirmed crashes."""

    suspects: OrderedDict[str, Suspect] = field(default_factory=OrderedDict)
    crashes: dict[CrashKey, Crash] = field(default_factory=dict)
    possible_crashes: list[PossibleCrash] = field(default_factory=list)


@dataclass(slots=True)
class ServiceRecord:
    """A request to a plain service; `server` is the one that has it now."""

    team: str
    service: str
    server: str | None = None
    tried: set[str] = field(default_factory=set)
    sent: bool = False


@dataclass(slots=True)
class RequestsState:
    """Requests in flight or queued, and crash suspects."""

    active: dict[str, Record] = field(default_factory=dict)
    service_requests: dict[str, ServiceRecord] = field(default_factory=dict)
    suspects: SuspectsState = field(default_factory=SuspectsState)
