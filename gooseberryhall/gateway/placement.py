"""Selects the server of a request. Pure functions without input or output."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from .const import (
    CROSS_ZONE_LOAD_PENALTY,
    GROUP_CHOICES,
    LOCAL_GROUP_LOAD,
    MAX_PLAIN_LOAD,
    MAX_QUEUED_PER_GROUP,
)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server to which a request may be sent; for a group, its leader."""

    server_id: str
    # Requests in flight from all nodes, as last reported.
    in_flight: int
    slots: int
    same_zone: bool
    # The server recently failed or stalled. Plain servers are then the last choice,
    # groups are not used at all.
    suspected: bool = False
    # The group will soon lose a member, so a request may not complete there.
    leaving: bool = False
    # Moving average of failed requests, from 0 to 1.
    failure_rate: float = 0.0
    # Share of the usual traffic of the server's zone that may still be sent there; less
    # than 1 while the zone is evacuated.
    zone_share: float = 1.0


def _load(candidate: Candidate) -> float:
    load = candidate.in_flight / max(1, candidate.slots)
    return load if candidate.same_zone else load + CROSS_ZONE_LOAD_PENALTY


def choose_group(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Return the group for a request, or None if all are full or suspected.

    A group accepts only `MAX_QUEUED_PER_GROUP` requests beyond its slots, because more
    would delay the first tokens of all requests. Groups of the caller's zone are used
    while they have room: traffic between zones is billed, and the load of a zone's own
    groups is known best. A burst, or the loss of many groups in one zone, spreads to
    all zones.
    """
    usable = [
        candidate
        for candidate in candidates
        if not candidate.suspected
        and candidate.in_flight < candidate.slots + MAX_QUEUED_PER_GROUP
    ]
    preferred = [candidate for candidate in usable if not candidate.leaving] or usable
    local = [candidate for candidate in preferred if candidate.same_zone]
    chosen = _sample_least_loaded(local, rng)
    if chosen is not None and _load(chosen) < LOCAL_GROUP_LOAD:
        return chosen
    return _sample_least_loaded(preferred, rng)


def _sample_least_loaded(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Return the least loaded of `GROUP_CHOICES` candidates sampled at random.

    Reported load is delayed, so many nodes that all chose the least loaded group would
    overload it.
    """
    if not candidates:
        return None
    sampled = rng.sample(candidates, min(GROUP_CHOICES, len(candidates)))
    return min(sampled, key=_load)


def choose_server(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Return the plain server for a request, or None if all are overloaded.

    Suspected servers are used if there is no other, because refusing is worse.
    """
    usable = [
        candidate
        for candidate in candidates
        if candidate.in_flight < candidate.slots * MAX_PLAIN_LOAD
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
