"""Selects the nodes that may send requests to a cold server.

Pure functions and state; all times are of the clock that counts suspended time.
docs/design/cold-servers.md proves the bound for all nodes together.
"""

import hashlib
from collections.abc import Collection
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Final

from .cold import GRANT_TTL_S, ColdLimit
from .models import ColdGrant

# Requests of one node in a window if enough nodes are live.
USUAL_REQUESTS: Final = 2


@lru_cache(maxsize=1 << 16)
def rank(server_id: str, node: str) -> int:
    """Return the 16-bit rank of a node for a server; lower ranks are selected first."""
    data = f"{server_id}\0{node}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=2).digest())


def choose_grant(
    server_id: str,
    known: Collection[str],
    live: Collection[str],
    held: dict[str, int],
    budget: int,
) -> tuple[int, int] | None:
    """Return a threshold of ranks and the requests of each node that passes it.

    `known` are all nodes that may receive the announcement, so also those that are not
    heard; `live` are those of them that are. `held` are earlier grants that may still
    be used, with their requests. These and the new grants stay within the budget.
    """
    ranked = sorted((rank(server_id, node), node) for node in known)
    best: tuple[int, int] | None = None
    best_capacity = 0
    usual = max(USUAL_REQUESTS, budget // max(1, len(live)))
    # Earlier grants leave most room for the same number.
    numbers = {
        1,
        usual,
        *held.values(),
        *(budget // n for n in range(1, 1 + len(known))),
    }
    for requests in sorted(numbers, key=lambda number: abs(number - usual)):
        if not 0 < requests <= budget:
            continue
        passing = _passing(ranked, held, requests, budget)
        if not passing:
            continue
        capacity = requests * sum(1 for _, node in passing if node in live)
        if capacity > best_capacity:
            best, best_capacity = (passing[-1][0], requests), capacity
        if requests == usual and capacity == budget // usual * usual:
            break
    return best


def _passing(
    ranked: list[tuple[int, str]], held: dict[str, int], requests: int, budget: int
) -> list[tuple[int, str]]:
    """Return the longest start of the ranked nodes that stays within the budget."""
    total = sum(held.values())
    passing = 0
    for index, (value, node) in enumerate(ranked):
        total += max(0, requests - held.get(node, 0))
        if total > budget:
            break
        # Nodes with the same rank pass together.
        if index + 1 == len(ranked) or ranked[index + 1][0] != value:
            passing = index + 1
    return ranked[:passing]


@dataclass(slots=True)
class GrantLedger:
    """Grants of an owner that may still be used, by server and node."""

    # When a grant of this many requests was last issued to a node.
    _issued_s: dict[str, dict[tuple[str, int], float]] = field(default_factory=dict)

    def issue(
        self,
        server_id: str,
        known: Collection[str],
        live: Collection[str],
        limit: ColdLimit,
        now_s: float,
    ) -> tuple[int, int] | None:
        """Choose and record the grants of a server; see `choose_grant`."""
        issued_s = self._issued_s.setdefault(server_id, {})
        held: dict[str, int] = {}
        for (node, requests), at_s in list(issued_s.items()):
            if now_s - at_s > limit.holding_s:
                del issued_s[node, requests]
            else:
                held[node] = max(requests, held.get(node, 0))
        grant = choose_grant(server_id, known, live, held, limit.budget)
        if grant is not None:
            threshold, requests = grant
            for node in known:
                if rank(server_id, node) <= threshold:
                    issued_s[node, requests] = now_s
        return grant

    def retain(self, server_ids: Collection[str]) -> None:
        """Forget the servers that are no longer listed."""
        for server_id in list(self._issued_s):
            if server_id not in server_ids:
                del self._issued_s[server_id]


def may_use_grant(
    grant: ColdGrant | None,
    server_id: str,
    node: str,
    zone: str,
    *,
    sent: int,
    valid_from_s: float,
    now_s: float,
) -> bool:
    """Return whether a node of a zone may send one more request to a cold server.

    `sent` is the number of requests in its window. Grants that arrived before
    `valid_from_s` may have waited in the socket while the process was paused.
    """
    if grant is None or grant.zone != zone or grant.arrived_s < valid_from_s:
        return False
    if now_s - grant.arrived_s >= GRANT_TTL_S or rank(server_id, node) > (
        grant.threshold
    ):
        return False
    return sent < grant.requests
