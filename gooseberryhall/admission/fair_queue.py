"""Start-time fair queueing between teams.

A request's start tag is the later of the virtual time and the finish tag of its team's
previous request. Its finish tag is the start tag plus its cost, divided by the team's
weight. The request with the lowest start tag is served first, so that a team with many
requests does not delay other teams.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol


class FairState(Protocol):
    """State of a fair queue; `last_finish` is by team."""

    virtual_time: float
    last_finish: dict[str, float]


class Tagged(Protocol):
    """A request in a fair queue."""

    start_tag: float


@dataclass(slots=True)
class FairClock:
    """State of a fair queue without its requests."""

    virtual_time: float = 0.0
    last_finish: dict[str, float] = field(default_factory=dict)

    def reset(self) -> None:
        """Forget the tags; no team has a claim after the queue was empty."""
        self.virtual_time = 0.0
        self.last_finish.clear()


def next_start_tag(state: FairState, team: str) -> float:
    """Return the start tag that a new request of a team would get."""
    return max(state.virtual_time, state.last_finish.get(team, 0.0))


def charge(state: FairState, team: str, cost: float) -> float:
    """Charge a team for a new request and return its start tag."""
    start_tag = next_start_tag(state, team)
    state.last_finish[team] = start_tag + cost
    return start_tag


def advance(state: FairState, start_tag: float) -> None:
    """Advance the virtual time to the start tag of a request that is served."""
    state.virtual_time = max(state.virtual_time, start_tag)


def refund(
    state: FairState, team: str, cost: float, start_tag: float, others: Iterable[Tagged]
) -> None:
    """Take back the charge for a request that is not served.

    `others` are the team's other requests in the queue. Its later ones must not be
    charged for it.
    """
    for other in others:
        if other.start_tag > start_tag:
            other.start_tag -= cost
    state.last_finish[team] -= cost
