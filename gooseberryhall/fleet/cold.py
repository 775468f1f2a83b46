"""Limits the requests to cold servers. Pure functions without input, output or a clock.

Addresses a load pattern in which a server starts, or becomes cold again, under traffic:
all nodes see a server without load and send to it at the same time. The owner of the
zone lets a few nodes send a few requests each; docs/design/cold-servers.md proves the
bound for all nodes together. All times are of the clock that counts suspended time.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final

from .models import BackendServer, Configuration

# Time after which a grant ends if the owner does not repeat it.
GRANT_TTL_S: Final = 1.0
# Period in which a node sends the number of requests of its grant. It exceeds a second
# because requests that are delayed on their way arrive closer together.
SEND_WINDOW_S: Final = 1.1
# A grant may be used later than its lifetime after it was issued, by the delay of the
# datagram and a pause of the node that is too short to be noticed.
GRANT_DELAY_S: Final = 1.0
# A longer time between two observations of the clock shows a pause of the process.
CLOCK_GAP_LIMIT_S: Final = 0.4
# Time after a pause in which grants are void: datagrams that waited in the socket may
# be read then.
GRANT_HOLD_S: Final = 0.4
# Age of what a record or announcement states of a server: records are written every
# 1.2 s, and the owner announces them up to 0.45 s later.
STATE_LAG_S: Final = 1.7
# Time in which a server gets back all its slots after it was cold.
SLOTS_RETURN_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Limits of the cold servers of one service."""

    # Time for which a server is cold after a start.
    start_s: float
    # Requests that a cold server tolerates in a second.
    requests_per_s: float
    # All nodes together must not send more than the rate times the factor, plus the
    # constant, within any second.
    overrun: float
    slack: float

    @property
    def budget(self) -> int:
        """Return the requests in a window that one selection of nodes may send.

        Two owners may select different nodes, so a selection gets half of the bound.
        Rates below 1 are kept by a longer window.
        """
        bound = self.requests_per_s * self.overrun + self.slack
        return int(min(max(1.0, self.requests_per_s), bound / 2))

    @property
    def window_s(self) -> float:
        """Return the period in which a node sends the requests of its grant."""
        return SEND_WINDOW_S / min(1.0, self.requests_per_s)

    @property
    def holding_s(self) -> float:
        """Return for how long a grant may still have an effect on a server."""
        return GRANT_TTL_S + GRANT_DELAY_S + self.window_s


def cold_limits(
    cfg: Configuration | None, overrun: float, slack: float
) -> dict[str, ColdLimit]:
    """Return the limits of the services whose servers are cold after a start."""
    services = cfg.services.values() if cfg is not None else ()
    return {
        service.name: ColdLimit(
            service.cold_start_s, service.cold_requests_per_s, overrun, slack
        )
        for service in services
        if service.cold_start_s > 0 and service.cold_requests_per_s > 0
    }


@dataclass(frozen=True, slots=True)
class StatedCold:
    """What a server said of its cold time in an answer."""

    left_s: float
    # Time since the answer arrived.
    age_s: float


def cold_left_s(
    server: BackendServer,
    start_s: float,
    now_s: float,
    *,
    cold_until_s: float = 0.0,
    stated: StatedCold | None = None,
    restored_s: float | None = None,
) -> float:
    """Return for how long a server is still cold; 0 if it is warm.

    `cold_until_s` is assumed of a server whose state has no cold time. `restored_s` is
    set if the server's zone was restored after an evacuation; it counts until a record
    or announcement that is certainly newer. An answer is newer than what arrived before
    it, and perhaps than what arrived shortly after it.
    """
    if server.cold_remaining_s is None:
        state_age_s = float("inf")
        left_s = cold_until_s - now_s
    else:
        state_age_s = now_s - server.arrived_s
        left_s = server.cold_remaining_s - state_age_s
    if stated is not None:
        if stated.age_s <= state_age_s:
            left_s = stated.left_s
        elif stated.age_s <= state_age_s + STATE_LAG_S:
            left_s = max(left_s, stated.left_s)
    if restored_s is not None and now_s - restored_s <= state_age_s + STATE_LAG_S:
        left_s = max(left_s, restored_s + start_s - now_s)
    return max(0.0, left_s)


@dataclass(slots=True)
class SendWindow:
    """Times of the requests that this node wrote to servers."""

    _sent_s: dict[str, deque[float]] = field(default_factory=dict)

    def record(self, server_id: str, limit: ColdLimit, now_s: float) -> None:
        """Record that a request was written."""
        sent_s = self._sent_s.setdefault(server_id, deque())
        _drop_until(sent_s, now_s - limit.window_s)
        sent_s.append(now_s)

    def count(self, server_id: str, limit: ColdLimit, now_s: float) -> int:
        """Return the number of requests in the window that ends now."""
        sent_s = self._sent_s.get(server_id)
        if sent_s is None:
            return 0
        _drop_until(sent_s, now_s - limit.window_s)
        return len(sent_s)

    def retain(self, server_ids: Collection[str]) -> None:
        """Forget the servers that are no longer listed."""
        for server_id in list(self._sent_s):
            if server_id not in server_ids:
                del self._sent_s[server_id]


def _drop_until(times_s: deque[float], oldest_s: float) -> None:
    while times_s and times_s[0] < oldest_s:
        times_s.popleft()
