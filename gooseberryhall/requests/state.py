"""State of the requests package."""

from collections import OrderedDict
from dataclasses import dataclass, field

from ..routing.models import Target
from .models import Failure, ModelRequest, RequestPhase


@dataclass(slots=True)
class RequestRecord:
    """State of a model request that has not ended.

    `failed_groups` holds the groups, with their generations, on which it failed.
    `sent` is true when bytes of it may have reached an engine. `ending` is set once
    the end of its attempt was requested. `pending_failure` is sent to the caller once
    a possible crash is confirmed or ruled out.
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
    failed_groups: set[tuple[str, int]] = field(default_factory=set)
    pending_failure: Failure | None = None

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.request.request_id


CrashKey = tuple[str, str]


@dataclass(slots=True)
class Suspect:
    """A request that was in flight at crashes, with the time of each crash.

    `finished` is set once a copy of it finished after the last crash.
    """

    crashes: dict[CrashKey, float] = field(default_factory=dict)
    finished: bool = False


@dataclass(slots=True)
class Crash:
    """Crash of a member, and the requests that were in flight."""

    vm: str
    boot_id: str
    recorded_at_s: float
    fingerprints: set[str] = field(default_factory=set)


@dataclass(slots=True)
class PossibleCrash:
    """A broken stream; evidence will show whether a member crashed.

    `unresponsive_since_s` holds, by VM, the time of the first of consecutive failed
    probes.
    """

    fingerprint: str
    target: Target
    broke_at_s: float
    unresponsive_since_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class SuspectsState:
    """Suspects by fingerprint, confirmed crashes by key, and possible crashes."""

    suspects: OrderedDict[str, Suspect] = field(default_factory=OrderedDict)
    crashes: dict[CrashKey, Crash] = field(default_factory=dict)
    possible_crashes: list[PossibleCrash] = field(default_factory=list)


@dataclass(slots=True)
class ServiceRequestRecord:
    """State of a request to a plain service that has not ended.

    `server` is the server that the request is sent to, `tried` are the servers on which
    it failed. `sent` is true when bytes of it may have reached a server.
    """

    team: str
    service: str
    server: str | None = None
    tried: set[str] = field(default_factory=set)
    sent: bool = False


@dataclass(slots=True)
class RequestsState:
    """Model and service requests by request id, and crash suspects."""

    active: dict[str, RequestRecord] = field(default_factory=dict)
    service_requests: dict[str, ServiceRequestRecord] = field(default_factory=dict)
    suspects: SuspectsState = field(default_factory=SuspectsState)
