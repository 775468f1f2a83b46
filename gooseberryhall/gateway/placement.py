"""Decides where a request is sent. No input or output."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from .const import (
    CHOICES,
    OTHER_ZONE_PENALTY,
    PLAIN_LOAD_LIMIT,
    QUEUE_PER_GROUP,
)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that a request could be sent to; for a group, its head."""

    server_id: str
    # Requests in flight from all nodes, as far as known.
    in_flight: int
    slots: int
    same_zone: bool
    # Recent failures or stalls; the server is used only if no other is left.
    suspected: bool = False
    # The group loses a member soon, so a request might not end there.
    leaving: bool = False
    # Share of recent requests that failed, from 0 to 1.
    failure_rate: float = 0.0


def _load(candidate: Candidate) -> float:
    load = candidate.in_flight / max(1, candidate.slots)
    return load if candidate.same_zone else load + OTHER_ZONE_PENALTY


def choose_group(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Return the group for a request, or None if all are full or suspected.

    The less loaded of two that are drawn at random: load is known with a delay, so
    with the least loaded of all, many nodes would send to one group at once. Under
    overload a group takes only `QUEUE_PER_GROUP` requests beyond its slots: more
    would delay the first tokens of all.
    """
    usable = [
        candidate
        for candidate in candidates
        if not candidate.suspected
        and candidate.in_flight < candidate.slots + QUEUE_PER_GROUP
    ]
    preferred = [candidate for candidate in usable if not candidate.leaving] or usable
    if not preferred:
        return None
    drawn = rng.sample(preferred, min(CHOICES, len(preferred)))
    return min(drawn, key=_load)


def choose_server(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Return the plain server for a request, or None if all are overloaded.

    Suspected servers are used when no other is left, because a refusal is worse.
    """
    usable = [
        candidate
        for candidate in candidates
        if candidate.in_flight < candidate.slots * PLAIN_LOAD_LIMIT
    ]
    preferred = [candidate for candidate in usable if not candidate.suspected] or usable
    if not preferred:
        return None
    return min(
        preferred,
        key=lambda candidate: (
            _load(candidate) + candidate.failure_rate,
            rng.random(),
        ),
    )
