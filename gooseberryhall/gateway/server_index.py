"""Groups and plain servers by what a request asks for, and samples of them.

Load pattern: a deployment has hundreds of groups, and each request, also one that waits
and is tried again and again, asks which of them may take it. A sample shows nearly as
well as all of them which have room.
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final, TypeVar

from ..fleet.models import BackendServer, ServedGroup
from .observed import Kind

# Servers that are looked at for one request.
MAX_CANDIDATES: Final = 32

_T = TypeVar("_T")


@dataclass(slots=True)
class ServerIndex:
    """Groups by service and model, and plain servers by service."""

    # Zones of all servers.
    zones: set[str] = field(default_factory=set)
    _groups: dict[Kind, list[ServedGroup]] = field(default_factory=dict)
    _servers: dict[str, list[BackendServer]] = field(default_factory=dict)

    def groups(self, service: str, model: str | None) -> Sequence[ServedGroup]:
        """Return the groups of a model, or of all models of the service."""
        return self._groups.get((service, model), ())

    def servers(self, service: str) -> Sequence[BackendServer]:
        """Return the servers of a plain service."""
        return self._servers.get(service, ())


def create_index(
    groups: Iterable[ServedGroup], servers: Iterable[BackendServer]
) -> ServerIndex:
    """Return an index of groups and of servers of all services."""
    index = ServerIndex()
    for group in groups:
        for model in (group.model, None):
            kind = (group.leader.service, model)
            index._groups.setdefault(kind, []).append(group)
    for server in servers:
        index.zones.add(server.zone)
        index._servers.setdefault(server.service, []).append(server)
    return index


def sample(items: Sequence[_T], rng: random.Random) -> Sequence[_T]:
    """Return `MAX_CANDIDATES` items drawn at random, or all if there are no more."""
    if len(items) <= MAX_CANDIDATES:
        return items
    return rng.sample(items, MAX_CANDIDATES)
