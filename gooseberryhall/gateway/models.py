"""Requests of callers and responses that the gateway generates."""

from dataclasses import dataclass

from ..transport.exchange import Headers


@dataclass(slots=True)
class CallerRequest:
    """A request as received; header names are in lower case."""

    method: bytes
    # Path and query, unchanged.
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    received_s: float

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    @property
    def path(self) -> bytes:
        """Return the path without the query."""
        return self.target.partition(b"?")[0]


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A request that was in flight at crashes, as nodes report it to each other."""

    fingerprint: str
    # Ids of the parts of its prompt that other requests may share.
    parts: tuple[str, ...]
    # The latest crashes, oldest first.
    crashes: tuple["ReportedCrash", ...]


@dataclass(frozen=True, slots=True)
class ReportedCrash:
    """A crash of a server; one that starts again under its id may crash again."""

    server_id: str
    # Seconds since the crash.
    age_s: int
    # Tag of the incarnation of the server; 0 if unknown.
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class GatewayResponse:
    """A response that the gateway generates instead of a server.

    The statuses 408, 421, 429 and 503 guarantee that the request was not run.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
