"""Index of the blocks in the prefix caches of groups."""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

from .const import BLOCK_BYTES, BLOCK_HASH_BYTES, MAX_BLOCKS, MAX_BLOCKS_PER_GROUP
from .events import CacheChange
from .state import GroupPrefixCache, RoutingState


def prompt_blocks(prompt: bytes) -> tuple[str, ...]:
    """Return the chained hashes of the full blocks at the start of a prompt.

    Each hash covers all bytes up to the end of its block, so that equal hashes mean
    equal prefixes.
    """
    chain = blake2b(digest_size=BLOCK_HASH_BYTES)
    hashes = []
    end = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS) * BLOCK_BYTES
    for start in range(0, end, BLOCK_BYTES):
        chain.update(prompt[start : start + BLOCK_BYTES])
        hashes.append(chain.hexdigest())
    return tuple(hashes)


def matched_blocks(
    state: RoutingState, group: str, generation: int, blocks: Sequence[str]
) -> int:
    """Return how many leading blocks the group's cache holds according to the index."""
    cached = state.prefixes.get(group)
    if cached is None or cached.generation != generation:
        return 0
    for count, block in enumerate(blocks):
        if block not in cached.blocks:
            return count
    return len(blocks)


def record_sent_blocks(
    state: RoutingState, group: str, generation: int, blocks: Iterable[str]
) -> None:
    """Add the blocks of a request sent to a group, which will cache them."""
    _store(_ensure_prefix_cache(state, group, generation), blocks)


def apply_cache_changes(
    state: RoutingState, group: str, generation: int, changes: Iterable[CacheChange]
) -> None:
    """Apply cache events; a gap in their sequence numbers clears the group's index."""
    cached = _ensure_prefix_cache(state, group, generation)
    for change in changes:
        if cached.last_event is not None and change.seq <= cached.last_event:
            continue
        if cached.last_event is not None and change.seq != cached.last_event + 1:
            cached.blocks.clear()
        cached.last_event = change.seq
        if change.stored:
            _store(cached, change.blocks)
        else:
            for block in change.blocks:
                cached.blocks.pop(block, None)


def _ensure_prefix_cache(
    state: RoutingState, group: str, generation: int
) -> GroupPrefixCache:
    cached = state.prefixes.get(group)
    if cached is None or cached.generation != generation:
        cached = GroupPrefixCache(generation)
        state.prefixes[group] = cached
    return cached


def _store(cached: GroupPrefixCache, blocks: Iterable[str]) -> None:
    for block in blocks:
        cached.blocks[block] = None
        cached.blocks.move_to_end(block)
    while len(cached.blocks) > MAX_BLOCKS_PER_GROUP:
        cached.blocks.popitem(last=False)
