"""State of the limits package."""

from collections import deque
from dataclasses import dataclass, field

from ..requests.models import ModelRequest
from .const import DEFAULT_QUEUE_LIMIT, DEFAULT_QUEUE_WAIT_LIMIT_S


@dataclass(slots=True)
class TokenBucket:
    """Token bucket of a team on this node."""

    tokens: float
    updated_at_s: float


@dataclass(slots=True)
class QueuedRequest:
    """A request in the queue; `start_tag` is its position in virtual time.

    `restarted` requests were dispatched before and are not charged again.
    """

    request: ModelRequest
    start_tag: float
    queued_at_s: float
    restarted: bool = False


@dataclass(slots=True)
class RetryWindow:
    """Times of the requests and retries within the retry window."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class LimitsState:
    """Rates, running requests, the queue and the retry budget of this node.

    `buckets`, `running` and `last_finish` are by team, `queued` by request id.
    `last_finish` is the finish tag of a team's newest queued request. `mean_service_s`
    is the moving average of the seconds for which a request occupies a slot.
    """

    queue_limit: int = DEFAULT_QUEUE_LIMIT
    queue_wait_limit_s: float = DEFAULT_QUEUE_WAIT_LIMIT_S
    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    running: dict[str, int] = field(default_factory=dict)
    queued: dict[str, QueuedRequest] = field(default_factory=dict)
    virtual_time: float = 0.0
    last_finish: dict[str, float] = field(default_factory=dict)
    mean_service_s: float = 0.0
    retry_window: RetryWindow = field(default_factory=RetryWindow)
