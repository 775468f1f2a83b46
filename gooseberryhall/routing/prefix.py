"""Knowledge of what the groups' prefix caches hold."""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

from .const import BLOCK_BYTES, BLOCK_HASH_BYTES, MAX_BLOCKS, MAX_BLOCKS_PER_GROUP
from .events import CacheChange
from .state import GroupPrefixes, RoutingState


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
    """Return how many leading blocks the group's cache holds as far as known."""
    known = state.prefixes.get(group)
    if known is None or known.generation != generation:
        return 0
    for count, block in enumerate(blocks):
        if block not in known.blocks:
            return count
    return len(blocks)


def remember_send(
    state: RoutingState, group: str, generation: int, blocks: Iterable[str]
) -> None:
    """Note that a group will hold the blocks of a request sent to it."""
    _store(_known(state, group, generation), blocks)


def apply_cache_changes(
    state: RoutingState, group: str, generation: int, changes: Iterable[CacheChange]
) -> None:
    """Apply cache events; a gap in their numbers drops what is known of the group."""
    known = _known(state, group, generation)
    for change in changes:
        if known.last_event is not None and change.seq <= known.last_event:
            continue
        if known.last_event is not None and change.seq != known.last_event + 1:
            known.blocks.clear()
        known.last_event = change.seq
        if change.stored:
            _store(known, change.blocks)
        else:
            for block in change.blocks:
                known.blocks.pop(block, None)


def _known(state: RoutingState, group: str, generation: int) -> GroupPrefixes:
    known = state.prefixes.get(group)
    if known is None or known.generation != generation:
        known = GroupPrefixes(generation)
        state.prefixes[group] = known
    return known


def _store(known: GroupPrefixes, blocks: Iterable[str]) -> None:
    for block in blocks:
        known.blocks[block] = None
        known.blocks.move_to_end(block)
    while len(known.blocks) > MAX_BLOCKS_PER_GROUP:
        known.blocks.popitem(last=False)
