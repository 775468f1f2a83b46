"""Context of a request while it is forwarded."""

import math
import random
from dataclasses import dataclass, field

from ..admission.decision import Place, WaitEnd
from ..fleet.models import BackendServer, Route, Team
from ..transport.const import HOP_BY_HOP_HEADERS
from ..transport.exchange import Headers
from ..transport.request import encode_request
from .const import LATE_PRIORITY_STEP, MAX_PRIORITY
from .header_names import HeaderNames
from .models import CallerRequest
from .observed import Kind
from .prompt import shared_prompt_parts

_MS_PER_S = 1000


@dataclass(slots=True)
class RequestContext:
    """State of a request after authentication and routing."""

    request: CallerRequest
    request_id: bytes
    route: Route
    service: str
    team: Team | None
    model: str | None
    fingerprint: str
    # Event loop time of the deadline set by the caller or by the route's timeout.
    deadline_s: float
    # Parts of the prompt as the caller declared them. A head may name thousands, so
    # they are decoded only when they are needed.
    declared_parts: bytes | None = None
    # Servers that ran the request or may have run it.
    ran_on: list[str] = field(default_factory=list)
    # Servers to which the request must not be sent again.
    excluded_servers: set[str] = field(default_factory=set)
    rejections: int = 0
    sends: int = 0
    # Sends that broke off, so that the request may have run.
    breaks: int = 0
    # Event loop time until which an answer is in time.
    objective_s: float = math.inf
    # Requests of a kind compete for the same servers.
    kind: Kind = ("", None)
    # Place among the waiting requests of this node, if it has waited.
    place: Place | None = None
    wait_end: WaitEnd | None = None
    waited_s: float = 0.0
    expected_wait_s: float = 0.0
    # Tokens of the prompt, and expected tokens of the answer; None if not declared.
    tokens: tuple[int, int] | None = None
    # Servers that did not get the request because they are cold.
    withheld_servers: set[str] = field(default_factory=set)

    def time_left_s(self, now_s: float) -> float:
        """Return the time left to the objective; no limit holds once it has run.

        The caller of a stream that broke off has events already, or may have.
        """
        return math.inf if self.ran_on or self.breaks else self.objective_s - now_s

    @property
    def prompt_parts(self) -> tuple[str, ...]:
        """Return the ids of the prompt parts that other requests may share."""
        return shared_prompt_parts(self.declared_parts)

    @property
    def traits(self) -> frozenset[str]:
        """Return what identifies the request and the shared parts of its prompt."""
        return frozenset((self.fingerprint, *self.prompt_parts))

    def is_retryable(self) -> bool:
        """Return whether the request may be run by another server."""
        return self.route.idempotent and len(self.ran_on) < self.route.attempts

    def encode(
        self,
        header_names: HeaderNames,
        server: BackendServer,
        now_s: float,
        last_event_id: bytes | None,
        *,
        late: bool = False,
    ) -> bytes:
        """Return the bytes of the request for a server.

        Hop-by-hop headers and the caller's credentials are removed. `last_event_id`
        replaces the caller's when a stream is resumed. A request that is `late` is
        queued behind those that can be in time.
        """
        dropped = HOP_BY_HOP_HEADERS | self._connection_options()
        dropped |= {
            b"content-length",
            b"authorization",
            b"expect",
            header_names.team,
            header_names.deadline_ms,
            header_names.expected_server,
        }
        if last_event_id is not None:
            dropped |= {header_names.last_event_id}
        headers: Headers = [
            (name, value) for name, value in self.request.headers if name not in dropped
        ]
        remaining_ms = max(1, int((self.deadline_s - now_s) * _MS_PER_S))
        headers.append((header_names.deadline_ms, b"%d" % remaining_ms))
        headers.append((header_names.expected_server, server.server_id.encode()))
        if self.team is not None:
            headers.append((header_names.team, self.team.name.encode()))
        if last_event_id is not None:
            headers.append((header_names.last_event_id, last_event_id))
        if late:
            headers = [item for item in headers if item[0] != header_names.priority]
        if late or self.request.get(header_names.priority) is None:
            priority = self._late_priority() if late else self.priority
            headers.append((header_names.priority, b"%d" % priority))
        return encode_request(
            self.request.method, self.request.target, headers, self.request.body
        )

    @property
    def priority(self) -> int:
        """Return the priority of the team, or else of the route; 0 is first."""
        priority = self.route.priority
        if self.team is not None and self.team.priority is not None:
            priority = self.team.priority
        return max(0, min(MAX_PRIORITY, priority))

    def _late_priority(self) -> int:
        return max(0, min(MAX_PRIORITY, self.route.priority + LATE_PRIORITY_STEP))

    def _connection_options(self) -> frozenset[bytes]:
        value = self.request.get(b"connection")
        if value is None:
            return frozenset()
        return frozenset(part.strip().lower() for part in value.split(b","))


def choose_service(route: Route, rng: random.Random) -> str:
    """Return the service for a request, drawn by the weights of the route's targets."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service
