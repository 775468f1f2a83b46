"""Compares prefix-affinity routing with random and round-robin choice of groups."""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

from ..answers import expected_answer
from ..client import ChatResult, Message, async_chat
from ..cluster import Cluster
from ..demo import MODEL, TEAM_TOKEN
from ..engine.prefix_cache import PrefixCache, prompt_blocks
from ..layout import ClusterOptions
from ..processes import ProcessError
from .cluster import Leader, async_leaders, serving_cluster
from .figures import Summary, summary

SEED = 7
NODES = 2
GROUPS = 6
CACHE_BLOCKS = 128
UNLIMITED_BLOCKS = 1_000_000
ENGINE_OPTIONS = (
    *("--prefix-cache-blocks", str(CACHE_BLOCKS)),
    *("--token-ms", "2", "--first-token-ms", "20", "--block-ms", "3"),
)
# Routing depends on the timing of other requests, so one round is not enough.
ROUNDS = 2
REQUESTS = 360
REQUESTS_PER_S = 24.0
CONVERSATIONS = 40
# Exponent of the Zipf distribution from which conversations are drawn.
SKEW = 0.9
MAX_TURNS = 14
SITES = 5
SITE_WORDS = 250
QUESTION_WORDS = 60
ANSWER_TOKENS = 30
WORDS = ("silo", "moisture", "fan", "grain", "shift", "vent", "probe", "harvest")

Send = Callable[["Turn", int], Coroutine[Any, Any, ChatResult]]


@dataclass(frozen=True, slots=True)
class Turn:
    """A request with the conversation so far, and when it is sent."""

    at_s: float
    messages: tuple[Message, ...]


@dataclass(frozen=True, slots=True)
class RoutingResult:
    """Shares of prompt blocks that were cached, and times to the first token."""

    hit_shares: tuple[float, ...]
    first_token_ms: Summary

    @property
    def hit_share(self) -> float:
        """Return the mean over the rounds."""
        return sum(self.hit_shares) / len(self.hit_shares)


@dataclass(frozen=True, slots=True)
class _Round:
    hit_share: float
    first_token_ms: list[float]


def create_turns(seed: int) -> list[Turn]:
    """Return a skewed mix of conversations that share a few system prompts."""
    rng = random.Random(seed)
    sites = [_words(rng, SITE_WORDS) for _ in range(SITES)]
    weights = [1 / rank**SKEW for rank in range(1, CONVERSATIONS + 1)]
    conversations: dict[int, list[Message]] = {}
    turns, at_s = [], 0.0
    for _ in range(REQUESTS):
        chosen = rng.choices(range(CONVERSATIONS), weights)[0]
        messages = conversations.get(chosen)
        if messages is None or len(messages) > 2 * MAX_TURNS:
            messages = [{"role": "system", "content": sites[chosen % SITES]}]
            conversations[chosen] = messages
        messages.append({"role": "user", "content": _words(rng, QUESTION_WORDS)})
        at_s += rng.expovariate(REQUESTS_PER_S)
        turns.append(Turn(at_s, tuple(messages)))
        # Responses depend on prompts only, so each kind of routing gets the same turns.
        answer = expected_answer(messages, ANSWER_TOKENS)
        messages.append({"role": "assistant", "content": answer})
    return turns


def _words(rng: random.Random, count: int) -> str:
    return " ".join(rng.choices(WORDS, k=count))


async def async_measure_prefix() -> dict[str, RoutingResult]:
    """Send the same turns through the system, to random leaders and in rotation."""
    options = ClusterOptions(
        zones=("obihiro",),
        nodes_per_zone=NODES,
        domains_per_zone=1,
        vms_per_domain=GROUPS,
        engine_options=ENGINE_OPTIONS,
    )
    rounds = [create_turns(SEED + number) for number in range(ROUNDS)]
    async with (
        serving_cluster(options, GROUPS, 1) as cluster,
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
    ):
        leaders = await async_leaders(cluster)
        rng, rotation = random.Random(SEED), itertools.cycle(leaders)
        senders = {
            "system": _send_through_system(session, cluster),
            "random": _send_directly(session, lambda: rng.choice(leaders), "random"),
            "round_robin": _send_directly(session, lambda: next(rotation), "rotation"),
        }
        results = [
            {
                name: await _async_run(cluster, leaders, turns, send)
                for name, send in senders.items()
            }
            for turns in rounds
        ]
    return {name: _merge([item[name] for item in results]) for name in senders}


def best_hit_share() -> float:
    """Return the share of hits with one unlimited cache."""
    shares = []
    for number in range(ROUNDS):
        cache, cached, total = PrefixCache(UNLIMITED_BLOCKS), 0, 0
        for turn in create_turns(SEED + number):
            blocks = prompt_blocks(MODEL, turn.messages)
            cached += cache.store(blocks, turn.at_s)
            total += len(blocks)
        shares.append(cached / total)
    return sum(shares) / len(shares)


def _merge(rounds: Sequence[_Round]) -> RoutingResult:
    times = [time_ms for item in rounds for time_ms in item.first_token_ms]
    return RoutingResult(tuple(item.hit_share for item in rounds), summary(times))


def _send_through_system(session: aiohttp.ClientSession, cluster: Cluster) -> Send:
    """Return a function that sends to random entry nodes, as a load balancer does."""
    rng = random.Random(SEED)
    headers = {"Authorization": f"Bearer {TEAM_TOKEN}"}

    async def async_send(turn: Turn, _number: int) -> ChatResult:
        address = rng.choice(cluster.nodes).address("entry")
        return await _async_chat(session, address, turn, headers)

    return async_send


def _send_directly(
    session: aiohttp.ClientSession, choose: Callable[[], Leader], prefix: str
) -> Send:
    async def async_send(turn: Turn, number: int) -> ChatResult:
        leader = choose()
        headers = {**leader.headers, "X-Request-Id": f"{prefix}-{number}"}
        return await _async_chat(session, leader.address, turn, headers)

    return async_send


async def _async_chat(
    session: aiohttp.ClientSession, address: str, turn: Turn, headers: dict[str, str]
) -> ChatResult:
    return await async_chat(
        session, address, turn.messages, ANSWER_TOKENS, model=MODEL, headers=headers
    )


async def _async_run(
    cluster: Cluster, leaders: Sequence[Leader], turns: Sequence[Turn], send: Send
) -> _Round:
    for leader in leaders:
        await cluster.async_control(leader.address, clear_cache=True)
    before = await _async_blocks(cluster, leaders)
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    tasks: list[asyncio.Task[ChatResult]] = []
    for number, turn in enumerate(turns):
        await asyncio.sleep(max(0.0, start_s + turn.at_s - loop.time()))
        tasks.append(asyncio.create_task(send(turn, number)))
    chats = await asyncio.gather(*tasks)
    failed = next((chat for chat in chats if chat.outcome != "whole"), None)
    if failed is not None:
        raise ProcessError(f"{failed.outcome} {failed.status} {failed.error}")
    after = await _async_blocks(cluster, leaders)
    cached, total = (last - first for first, last in zip(before, after, strict=True))
    return _Round(cached / total, [chat.first_token_ms for chat in chats])


async def _async_blocks(cluster: Cluster, leaders: Sequence[Leader]) -> tuple[int, int]:
    """Return cached and all blocks of the prompts that the engines ran."""
    records = [await cluster.async_records(leader.address) for leader in leaders]
    runs = [run for record in records for run in record["runs"]]
    return sum(run["cached"] for run in runs), sum(run["blocks"] for run in runs)
