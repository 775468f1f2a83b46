"""Prefix cache of the engine stand-in and its events."""

import hashlib
import json
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

BLOCK_BYTES = 256
BLOCK_HASH_BYTES = 8
MAX_EVENTS = 2000


def prompt_blocks(model: str, messages: Sequence[Any]) -> list[str]:
    """Return the chained hashes of the complete blocks of a prompt.

    Each hash covers all bytes up to the end of its block, as in the cache events that
    `gooseberryhall.routing` reads.
    """
    prompt = json.dumps([model, messages], separators=(",", ":")).encode()
    digest = hashlib.blake2b(digest_size=BLOCK_HASH_BYTES)
    hashes: list[str] = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        digest.update(prompt[start : start + BLOCK_BYTES])
        hashes.append(digest.hexdigest())
    return hashes


@dataclass(slots=True)
class PrefixCache:
    """LRU cache of blocks.

    The next `drop_events` events are not listed, which leaves gaps in the numbers.
    """

    max_blocks: int
    drop_events: int = 0
    last_seq: int = 0
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    events: deque[dict[str, Any]] = field(
        default_factory=lambda: deque(maxlen=MAX_EVENTS)
    )

    def store(self, hashes: Sequence[str], now_s: float) -> int:
        """Store the blocks of a prompt and return how many leading ones were cached."""
        cached = 0
        for block in hashes:
            if block not in self.blocks:
                break
            cached += 1
        stored = [block for block in hashes if block not in self.blocks]
        for block in hashes:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        removed = []
        while len(self.blocks) > self.max_blocks:
            removed.append(self.blocks.popitem(last=False)[0])
        self._add_event("stored", stored, now_s)
        self._add_event("removed", removed, now_s)
        return cached

    def clear(self, now_s: float) -> None:
        """Remove all blocks."""
        removed = list(self.blocks)
        self.blocks.clear()
        self._add_event("removed", removed, now_s)

    def events_after(self, after: int, until_s: float) -> list[dict[str, Any]]:
        """Return the events after a sequence number that are not newer than a time."""
        return [
            {name: event[name] for name in ("seq", "kind", "blocks")}
            for event in self.events
            if event["seq"] > after and event["at_s"] <= until_s
        ]

    def _add_event(self, kind: str, blocks: list[str], now_s: float) -> None:
        if not blocks:
            return
        self.last_seq += 1
        if self.drop_events > 0:
            self.drop_events -= 1
            return
        self.events.append(
            {"seq": self.last_seq, "kind": kind, "blocks": blocks, "at_s": now_s}
        )
