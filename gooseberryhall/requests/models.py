"""Data of requests."""

from dataclasses import dataclass
from enum import StrEnum

from ..exceptions import Executed


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """A model request as the reducer knows it, without its content.

    `spec` is the group spec that serves it. `blocks` are the chained hashes of the
    blocks of its prompt. `deadline_s` is on the local clock.
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
    """The answer to a request that is not completed.

    `ran` speaks of the request as far as it was handled now; `earlier_attempts` of
    those with the same idempotency key, when they are not known.
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

    `CONFIRMING` requests have failed; their callers are told once it is known whether a
    member crashed.
    """

    QUEUED = "queued"
    RUNNING = "running"
    CONFIRMING = "confirming"


class BreakReason(StrEnum):
    """Why an attempt at an engine failed."""

    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"
    REJECTED = "rejected"
    ECHO = "echo"
    SEQUENCE = "sequence"
    BROKEN = "broken"
    STALLED = "stalled"


class Outcome(StrEnum):
    """How a request ended; every request has exactly one."""

    FINISHED = "finished"
    REFUSED = "refused"
    FAILED = "failed"
    CALLER_GONE = "caller_gone"
