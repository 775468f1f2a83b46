"""Finds what requests have in common that crash servers. Pure functions."""

from collections import defaultdict
from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a server, at a time of the event loop."""

    server_id: str
    at_s: float
    # Tag of the incarnation that crashed; 0 if unknown.
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class Evidence:
    """A request that was in flight at a server when it crashed.

    `traits` identify the request and the parts of its prompt, without those that are
    known to be harmless.
    """

    crash: Crash
    traits: frozenset[str]


def find_causes(evidence: Sequence[Evidence], min_crashes: int) -> list[frozenset[str]]:
    """Return the combinations of traits that crash servers.

    The trait with the most crashes is a cause if it has `min_crashes` of them. Its
    crashes are then explained and no longer count against the requests that were only
    in flight at the same servers. Traits that were in flight at exactly the same
    crashes cannot be told apart and are all causes. A cause includes all traits that
    the requests with it have in common, so that a request that has only some of them is
    still served: it either proves them harmless or shows which one crashes servers.
    """
    crashes_of: dict[str, set[Crash]] = defaultdict(set)
    for item in evidence:
        for trait in item.traits:
            crashes_of[trait].add(item.crash)
    unexplained = {
        trait: crashes
        for trait, crashes in crashes_of.items()
        if len(crashes) >= min_crashes
    }
    common = _common_traits(evidence, unexplained.keys())
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


def _common_traits(
    evidence: Sequence[Evidence], traits: AbstractSet[str]
) -> dict[str, frozenset[str]]:
    """Return what all requests with a trait have in common, for each of the traits.

    Traits of the same requests share the result, as long prompts have thousands.
    """
    holders: dict[str, list[int]] = defaultdict(list)
    for index, item in enumerate(evidence):
        for trait in item.traits & traits:
            holders[trait].append(index)
    by_holders: dict[tuple[int, ...], frozenset[str]] = {}
    common: dict[str, frozenset[str]] = {}
    for trait, indexes in holders.items():
        key = tuple(indexes)
        if key not in by_holders:
            by_holders[key] = frozenset.intersection(
                *(evidence[index].traits for index in indexes)
            )
        common[trait] = by_holders[key]
    return common
