"""Tests of crashes by a part of a prompt that has many parts."""

import random

from gooseberryhall.gateway.const import (
    MAX_CRASHED_SERVERS,
    MAX_GOSSIPED_CRASHES,
    MAX_PART_ID,
    MAX_SUSPECT_TRAITS,
)
from gooseberryhall.gateway.crash_causes import Crash, Evidence, find_causes
from gooseberryhall.gateway.crashes import CrashTracker
from gooseberryhall.gateway.prompt import shared_prompt_parts
from gooseberryhall.gossip.const import MAX_DATAGRAM_BYTES
from gooseberryhall.gossip.messages import Gossip, ServerTraffic, decode, encode

# Messages in which a crash is told to peers.
MESSAGES_OF_A_CRASH = 20


def _prompt(*shared: str) -> tuple[str, ...]:
    """Return the shared parts of a prompt, as a caller's header names them."""
    entries = [f"{part}:40" for part in (*shared, "own")]
    return shared_prompt_parts(",".join(entries).encode())


def _parts(prefix: str, count: int) -> list[str]:
    return [f"{prefix}{number:06x}" for number in range(count)]


def test_part_late_in_a_prompt_is_found() -> None:
    """Guards against a crashing part that is never refused (review/12).

    It is the 18th of the prompt; the parts before it are those of sound requests.
    """
    tracker = CrashTracker()
    sound = _parts("s", 17)
    tracker.record_success("q", 0.0, _prompt(*sound))
    for number in range(MAX_CRASHED_SERVERS):
        parts = _prompt(*sound, "bad")
        tracker.record_crash(f"q{number}", f"i-{number}", 1.0 + number, parts)
    assert tracker.is_blocked(frozenset({"q9", *_prompt(*sound, "bad")}))
    assert not tracker.is_blocked(frozenset({"q9", *_prompt(*sound)}))


def test_part_of_a_prompt_that_fills_the_head_is_found() -> None:
    """Guards against a bound on parts below what a head of 16 KB holds."""
    tracker = CrashTracker()
    for number in range(MAX_CRASHED_SERVERS):
        parts = _prompt(*_parts(f"{number}", 1_200), "bad")
        tracker.record_crash(f"q{number}", f"i-{number}", float(number), parts)
    assert tracker.causes() == [frozenset({"bad"})]


def test_nodes_learn_a_part_of_long_prompts_from_each_other() -> None:
    """Guards against crashes that are counted by each node alone.

    The messages have no room for all parts. Each of the nodes sees one of the crashes,
    beside other requests in flight, and tells parts that are not proved harmless.
    """
    seeds = range(MAX_CRASHED_SERVERS)
    nodes = [CrashTracker(_rng=random.Random(seed)) for seed in seeds]
    for number, node in enumerate(nodes):
        for other in range(2 * MAX_GOSSIPED_CRASHES):
            parts = _prompt(*_parts(f"{number}{other:x}", 12))
            node.record_crash(f"p{number}-{other}", f"i-{number}", 0.0, parts)
        parts = _prompt(*_parts(f"{number}", 40), "bad")
        node.record_crash(f"q{number}", f"i-{number}", 0.0, parts)
    for _ in range(MESSAGES_OF_A_CRASH):
        for node in nodes:
            data = encode(_message(node))
            assert len(data) <= MAX_DATAGRAM_BYTES
            for other_node in nodes:
                other_node.merge(decode(data).crashes, {}, 0.5)
    assert all(node.is_blocked(frozenset({"q9", "bad"})) for node in nodes)


def _message(node: CrashTracker) -> Gossip:
    crashes = node.reports(0.5, with_causes=False)
    traffic = {f"i-{number:08x}": ServerTraffic(3, 120) for number in range(9)}
    return Gossip("frontend-a-1", "a", 7, 3, 7340, traffic=traffic, crashes=crashes)


def test_memory_for_long_prompts_is_bounded() -> None:
    """Guards against a node that keeps thousands of parts for each request in flight.

    A cause that was found is kept.
    """
    tracker = CrashTracker()
    for number in range(MAX_CRASHED_SERVERS):
        tracker.record_crash(f"q{number}", f"i-{number}", 0.0, ("bad",))
    for number in range(200):
        parts = _prompt(*_parts(f"{number}", 1_000))
        tracker.record_crash(f"p{number}", f"j-{number}", 5.0, parts)
    assert len(tracker._suspects._by_trait) <= MAX_SUSPECT_TRAITS
    assert tracker.causes() == [frozenset({"bad"})]


def test_aborted_requests_keep_the_parts_of_their_cause_only() -> None:
    """Guards against thousands of parts for each request that is aborted.

    The crash of its server is still explained by the cause.
    """
    tracker = CrashTracker()
    for number in range(MAX_CRASHED_SERVERS):
        tracker.record_crash(f"q{number}", f"i-{number}", 0.0, ("bad",))
    parts = _prompt(*_parts("s", 1_000), "bad")
    tracker.record_abandoned("q9", "j", 1.0, parts)
    (kept,) = tracker._abandoned["j"]
    assert kept.parts == ("bad",)
    tracker.record_crash("sound", "j", 1.1, _prompt("other"))
    assert "j" in tracker.servers_crashed_by(frozenset({"bad"}))


def test_long_ids_of_parts_are_shortened() -> None:
    """Guards against ids of kilobytes that are kept and sent to peers."""
    first, second = _prompt("a" * 9_000, "a" * 9_001)
    assert max(len(first), len(second)) <= MAX_PART_ID
    assert first != second


def test_traits_of_the_same_requests_are_one_cause() -> None:
    """Guards against a search for causes that grows with the square of the parts."""
    parts = frozenset(_parts("s", 3_000))
    evidence = [
        Evidence(Crash(f"i-{number}", 0.0), parts | {f"q{number}"})
        for number in range(MAX_CRASHED_SERVERS)
    ]
    assert find_causes(evidence, MAX_CRASHED_SERVERS) == [parts]
