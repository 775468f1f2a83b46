"""Selects the server of a request. Pure functions without input or output."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from ..admission.choice import choose_by_places
from ..admission.const import MAX_QUEUED_PER_GROUP
from ..admission.share import Supply
from .const import (
    CROSS_ZONE_LOAD_PENALTY,
    GROUP_CHOICES,
    LOCAL_GROUP_LOAD,
    MAX_PLAIN_LOAD,
)


# Not frozen: creating a frozen instance for each server of each request costs more.
@dataclass(slots=True)
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
    # The server gets few requests for some time after its start.
    cold: bool = False
    # Requests in flight from which on the server is full; None: a fixed number.
    limit: int | None = None
    # Further requests that it is expected to take; None if the times are unknown.
    places: float | None = None
    # Part of `in_flight` that this node sent.
    own: int = 0


@dataclass(frozen=True, slots=True)
class Choice:
    """The server for a request, or the time after which to choose again."""

    candidate: Candidate | None = None
    # Time until this node may use a place of a server that has one; None if it is
    # unknown when there will be a place.
    delay_s: float | None = None


class Outlook(NamedTuple):
    """What a request that has to wait can expect."""

    # Whether a server may take it when it has room.
    usable: bool
    # Time until a slot is free or the first pause ends, as far as it is known.
    wait_s: float


def _load(candidate: Candidate) -> float:
    load = candidate.in_flight / max(1, candidate.slots)
    return load if candidate.same_zone else load + CROSS_ZONE_LOAD_PENALTY


def choose_group(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Return the group for a request, or None if all are full or suspected.

    A group accepts only some requests beyond its slots, because more would delay the
    first tokens of all requests. Groups of the caller's zone are used while they have
    room: traffic between zones is billed, and the load of a zone's own groups is known
    best. A burst, or the loss of many groups in one zone, spreads to all zones.

    Under load a group is drawn from all, also from the full ones: if all nodes drew
    from the few that look as if they had room, these would get all requests at once.
    """
    serving = [candidate for candidate in candidates if not candidate.suspected]
    staying = [candidate for candidate in serving if not candidate.leaving]
    drawn = staying if any(map(accepts, staying)) else serving
    usable = [candidate for candidate in drawn if accepts(candidate)]
    local = [candidate for candidate in usable if candidate.same_zone]
    chosen = _sample_least_loaded(local, rng)
    if chosen is not None and _load(chosen) < LOCAL_GROUP_LOAD:
        return chosen
    places = [_places(item) for item in drawn if item.places is not None]
    if not places or len(places) < len(drawn):
        return _sample_least_loaded(usable, rng)
    chosen = drawn[choose_by_places(places, rng)]
    return chosen if accepts(chosen) else None


def accepts(candidate: Candidate, max_queued: int = MAX_QUEUED_PER_GROUP) -> bool:
    """Return whether a server is expected to take another request in time.

    Without known times it accepts `max_queued` requests beyond its slots.
    """
    limit = candidate.limit
    if limit is None:
        limit = candidate.slots + max_queued
    if candidate.in_flight < limit:
        return True
    return candidate.places is not None and candidate.places >= 1


def _places(candidate: Candidate) -> float:
    """Return the expected places, less a penalty for a group of another zone."""
    places = candidate.places or 0.0
    if candidate.same_zone:
        return places
    return places - CROSS_ZONE_LOAD_PENALTY * candidate.slots


def measure_supply(candidates: Sequence[Candidate]) -> Supply | None:
    """Return what the candidates take; None if the times of one are unknown."""
    free, places, own, total = 0, 0.0, 0, 0
    for candidate in candidates:
        if candidate.places is None:
            return None
        own += candidate.own
        total += candidate.in_flight
        if not candidate.suspected:
            free += max(0, candidate.slots - candidate.in_flight)
            places += max(0.0, candidate.places)
    return Supply(free, places, own, total)


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
        if accepts(candidate, int(candidate.slots * (MAX_PLAIN_LOAD - 1)))
    ]
    preferred = [candidate for candidate in usable if not candidate.suspected] or usable
    if not preferred:
        return None
    best = min(
        preferred,
        key=lambda candidate: (
            _load(candidate) + candidate.failure_rate,
            rng.random(),
        ),
    )
    places = [
        _places(item) * (1 - item.failure_rate)
        for item in preferred
        if item.places is not None
    ]
    if _load(best) < LOCAL_GROUP_LOAD or len(places) < len(preferred):
        return best
    return preferred[choose_by_places(places, rng)]
