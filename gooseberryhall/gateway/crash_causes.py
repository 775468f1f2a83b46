"""Finds what requests have in common that crash servers. Pure functions."""

from collections import defaultdict
from collections.abc import Collection
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a server, at a time of the event loop."""

    server_id: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Evidence:
    """A request that was in flight at a server when it crashed.

    `traits` identify the request and the parts of its prompt, without those that are
    known to be harmless.
    """

    crash: Crash
    traits: frozenset[str]


def find_causes(
    evidence: Collection[Evidence], min_crashes: int
) -> list[frozenset[str]]:
    """Return the combinations of traits that crash servers.

    The trait with the most crashes is a cause if it has `min_crashes` of them. Its
    crashes are then explained and no longer count against the requests that were only
    in flight at the same servers. Traits that were in flight at exactly the same
    crashes cannot be told apart and are all causes. A cause includes all traits that
    the requests with it have in common, so that a request that has only some of them is
    still served: it either proves them harmless or shows which one crashes servers.
    """
    unexplained: dict[str, set[Crash]] = defaultdict(set)
    common: dict[str, frozenset[str]] = {}
    for item in evidence:
        for trait in item.traits:
            unexplained[trait].add(item.crash)
            common[trait] = common.get(trait, item.traits) & item.traits
    causes: list[frozenset[str]] = []
    while unexplained:
        explained = max(
            unexplained.items(),
            key=lambda item: (len(item[1]), len(common[item[0]]), item[0]),
        )[1]
        if len(explained) < min_crashes:
            break
        found = {
            common[name]
            for name, crashes in unexplained.items()
            if crashes == explained
        }
        # Of two causes of which one includes the other, the smaller one would also
        # refuse the requests that have only some of the traits.
        causes.extend(
            cause for cause in found if not any(cause < other for other in found)
        )
        unexplained = {
            name: rest
            for name, crashes in unexplained.items()
            if (rest := crashes - explained)
        }
    return causes
