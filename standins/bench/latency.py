"""Measures the latency that the system adds to a request and to its chunks."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from ..client import ChatResult, async_chat
from ..cluster import Cluster
from ..demo import MODEL, TEAM_TOKEN
from ..processes import ProcessError
from .cluster import Leader, async_leaders
from .figures import Summary, summary

PAIRS = 100
WARM_UP_PAIRS = 5
TOKENS = 12


@dataclass(slots=True)
class AddedLatency:
    """Latencies and the differences of each pair.

    `chunk_ms` compares the arrival of each later chunk, counted from the start of its
    request, and `gap_ms` the gaps before these chunks.
    """

    direct_ms: list[float] = field(default_factory=list)
    through_ms: list[float] = field(default_factory=list)
    first_ms: list[float] = field(default_factory=list)
    chunk_ms: list[float] = field(default_factory=list)
    gap_ms: list[float] = field(default_factory=list)

    def add(self, direct: ChatResult, through: ChatResult) -> None:
        """Add the differences of a pair."""
        self.direct_ms.append(direct.first_token_ms)
        self.through_ms.append(through.first_token_ms)
        self.first_ms.append(through.first_token_ms - direct.first_token_ms)
        pairs = list(zip(arrivals_ms(direct), arrivals_ms(through), strict=True))
        self.chunk_ms += [after - before for before, after in pairs[1:]]
        gaps = zip(direct.gaps_ms, through.gaps_ms, strict=True)
        self.gap_ms += [after - before for before, after in gaps]

    def summaries(self) -> dict[str, Summary]:
        """Return the summary of each series."""
        return {
            "first_token_direct_ms": summary(self.direct_ms),
            "first_token_through_ms": summary(self.through_ms),
            "first_token_added_ms": summary(self.first_ms),
            "chunk_added_ms": summary(self.chunk_ms),
            "gap_added_ms": summary(self.gap_ms),
        }


def arrivals_ms(chat: ChatResult) -> list[float]:
    """Return when each chunk arrived, counted from the start of the request."""
    return list(itertools.accumulate(chat.gaps_ms, initial=chat.first_token_ms))


async def async_measure_latency(cluster: Cluster) -> dict[str, Summary]:
    """Send the same prompts through the system and directly to a leader, in turn.

    The prompts are shorter than a cache block, so that the second request of a pair
    cannot use blocks that the first one cached.
    """
    node = cluster.nodes[0]
    leaders = await async_leaders(cluster)
    leader = next((item for item in leaders if item.zone == node.zone), leaders[0])
    added = AddedLatency()
    async with aiohttp.ClientSession() as session:
        for number in range(-WARM_UP_PAIRS, PAIRS):
            pair = await _async_pair(session, leader, node.address("entry"), number)
            if number >= 0:
                added.add(*pair)
    return added.summaries()


async def _async_pair(
    session: aiohttp.ClientSession, leader: Leader, entry: str, number: int
) -> tuple[ChatResult, ChatResult]:
    messages = [{"role": "user", "content": f"Pair {number}"}]
    direct_headers = {**leader.headers, "X-Request-Id": f"direct-{number}"}
    through_headers = {"Authorization": f"Bearer {TEAM_TOKEN}"}
    targets = [(leader.address, direct_headers), (entry, through_headers)]
    # The order alternates, so that neither side always runs on the warmer machine.
    is_reversed = number % 2 == 1
    results = [
        await _async_whole(session, address, messages, headers)
        for address, headers in (reversed(targets) if is_reversed else targets)
    ]
    first, second = results
    return (second, first) if is_reversed else (first, second)


async def _async_whole(
    session: aiohttp.ClientSession,
    address: str,
    messages: Sequence[dict[str, Any]],
    headers: dict[str, str],
) -> ChatResult:
    result = await async_chat(
        session, address, messages, TOKENS, model=MODEL, headers=headers
    )
    # Chunks that arrived together have the same time, and each of them is counted.
    if result.outcome != "whole":
        raise ProcessError(f"{address}: {result.outcome} {result.error}")
    return result
