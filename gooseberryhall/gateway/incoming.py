"""A request that is being received, and the responses that a caller takes."""

from dataclasses import dataclass, field

from ..transport.exchange import Headers
from .header_values import decode_number
from .held import request_bytes
from .models import CallerRequest

_HEADER_OVERHEAD_BYTES = 4
_MS_PER_S = 1000


@dataclass(slots=True)
class IncomingRequest:
    """What was parsed of a request that is not complete."""

    target: bytearray = field(default_factory=bytearray)
    headers: Headers = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    header_bytes: int = 0
    begun: bool = False
    head_complete: bool = False
    # Bytes of all reads since its start; the first may hold the end of another request.
    received_bytes: int = 0

    def add_target(self, part: bytes) -> None:
        """Append a part of the target."""
        self.target += part
        self.header_bytes += len(part)

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header; its name is converted to lower case."""
        self.headers.append((name.lower(), value))
        self.header_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header that was received."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def body_limit_s(
        self, deadline_header: bytes, idle_timeout_s: float, max_s: float
    ) -> float:
        """Return the time in which the whole body must arrive.

        A caller that sends slowly has until its own deadline, if that is later than the
        idle timeout.
        """
        deadline_ms = decode_number(self.get(deadline_header)) or 0
        return max(idle_timeout_s, min(deadline_ms / _MS_PER_S, max_s))

    def held_bytes(self, unparsed_bytes: int) -> int:
        """Return the memory that the request takes.

        `unparsed_bytes` are kept by the parser until a header is complete.
        """
        if not self.begun:
            return 0
        size = request_bytes(self.header_bytes, len(self.headers), len(self.body))
        return size if self.head_complete else size + unparsed_bytes

    def complete(
        self, method: bytes, *, keep_alive: bool, now_s: float
    ) -> tuple[CallerRequest, int]:
        """Return the complete request and the memory that it takes."""
        request = CallerRequest(
            method=method,
            target=bytes(self.target),
            headers=self.headers,
            body=bytes(self.body),
            keep_alive=keep_alive,
            received_s=now_s,
        )
        return request, self.held_bytes(0)


@dataclass(slots=True)
class TakenBytes:
    """When a caller last took bytes of its responses."""

    # Time of the last progress.
    taken_s: float
    written_bytes: int = 0
    _taken_bytes: int = 0

    def untaken_s(self, unsent_bytes: int, now_s: float) -> float:
        """Return for how long nothing was taken of what is unsent, between calls."""
        taken_bytes = self.written_bytes - unsent_bytes
        if not unsent_bytes or taken_bytes > self._taken_bytes:
            self.taken_s = now_s
        self._taken_bytes = taken_bytes
        return now_s - self.taken_s
