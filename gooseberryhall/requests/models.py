"""Data models of the requests package."""

from dataclasses import dataclass
from enum import StrEnum

from ..exceptions import Executed


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """A model request without its content, as used by the reducer.

    `spec` is the name of the group spec that serves it. `fingerprint` is equal for
    copies of the same request. `blocks` are the chained hashes of the blocks of its
    prompt. `deadline_s` is on the local clock.
    """

    request_id: str
    team: str
    weight: int
    priority: int
    spec: str
    fingerprint: str
    blocks: tuple[str, ...] = ()
    deadline_s: float | None = None


@dataclass(frozen=True, slots=True)
class Failure:
    """The error response to a request that is not completed.

    `ran` refers to the current request; `earlier_attempts` refers to earlier requests
    with the same idempotency key and is set when their outcome is not known.
    """

    status: int
    kind: str
    code: str
    message: str
    ran: Executed
    retry_after_s: float | None = None
    earlier_attempts: Executed | None = None


class RequestPhase(StrEnum):
    """Phase of a model request.

    `CONFIRMING` requests have failed; the response is sent once it is known whether a
    member crashed.
    """

    QUEUED = "queued"
    RUNNING = "running"
    CONFIRMING = "confirming"


class BreakReason(StrEnum):
    """Reason why an attempt on an engine failed."""

    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"
    REJECTED = "rejected"
    ECHO = "echo"
    SEQUENCE = "sequence"
    BROKEN = "broken"
    STALLED = "stalled"


class Outcome(StrEnum):
    """Outcome of a request; every request has exactly one."""

    FINISHED = "finished"
    REFUSED = "refused"
    FAILED = "failed"
    CALLER_GONE = "caller_gone"
