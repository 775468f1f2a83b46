"""Batching, priorities and cleanup of engine streams, and the prefix cache."""

import asyncio

import pytest

from standins.cluster import async_wait_for
from standins.engine import streams
from standins.engine.prefix_cache import PrefixCache, prompt_blocks
from standins.engine.state import Records
from standins.engine.streams import Stream, StreamPool, StreamResult

LIMIT_S = 2.0


def _stream(name: str, priority: int = 5, frames: int = 3) -> Stream:
    planned = [b"frame"] * frames
    return Stream(name, priority, planned, 0.01, 0.01, headers={})


async def _async_read(stream: Stream) -> int:
    seq = 0
    while await stream.async_wait_after(seq):
        seq += 1
    return seq


async def test_higher_priorities_run_first() -> None:
    """Guards against a queue that ignores the team's priority."""
    pool = StreamPool(slots=1, records=Records())
    first, low, high = _stream("a"), _stream("b", 1), _stream("c", 9)
    for stream in (first, low, high):
        pool.async_submit(stream)
    assert (len(pool.active), pool.queued) == (1, 2)
    assert await asyncio.gather(*map(_async_read, (first, low, high))) == [3, 3, 3]
    assert first.ended_at_s < high.ended_at_s < low.ended_at_s


async def test_a_cancelled_stream_frees_its_slot() -> None:
    """Guards against cancelled streams that keep a slot and block the queue."""
    pool = StreamPool(slots=1, records=Records())
    long, queued, next_one = _stream("a", frames=10_000), _stream("b"), _stream("c")
    for stream in (long, queued, next_one):
        pool.async_submit(stream)
    pool.cancel(queued, StreamResult.CANCELLED)
    pool.cancel(long, StreamResult.CANCELLED)
    assert not await long.async_wait_after(len(long.frames))
    assert await _async_read(next_one) == 3
    assert (pool.records.cancelled, pool.records.finished) == (2, 1)


async def test_a_stream_without_a_reader_is_cancelled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against streams that keep running for callers that disconnected."""
    monkeypatch.setattr(streams, "NO_READER_TIMEOUT_S", 0.1)
    monkeypatch.setattr(streams, "SWEEP_PERIOD_S", 0.02)
    pool = StreamPool(slots=2, records=Records())
    unread, read = _stream("a", frames=10_000), _stream("b", frames=10_000)
    read.readers = 1
    pool.async_submit(unread)
    pool.async_submit(read)
    sweep = asyncio.create_task(pool.async_sweep())

    async def async_is_cancelled() -> bool:
        return unread.result is StreamResult.CANCELLED

    await async_wait_for(async_is_cancelled, LIMIT_S, "cancel without a reader")
    assert read.result is StreamResult.RUNNING
    pool.break_all()
    sweep.cancel()


def test_the_prefix_cache_evicts_blocks_and_shows_gaps() -> None:
    """Guards against an unbounded cache and against undetectable lost events."""
    long_prompt = [{"role": "user", "content": "x" * 1100}]
    other = [{"role": "user", "content": "x" * 600 + "y" * 500}]
    blocks, other_blocks = prompt_blocks("m", long_prompt), prompt_blocks("m", other)
    assert (len(blocks), blocks[:2], blocks[3] == other_blocks[3]) == (
        4,
        other_blocks[:2],
        False,
    )
    cache = PrefixCache(max_blocks=5)
    assert (cache.store(blocks, 1.0), cache.store(other_blocks, 2.0)) == (0, 2)
    assert len(cache.blocks) == 5
    cache.drop_events = 1
    cache.store(["z"], 3.0)
    events = cache.events_after(0, until_s=9.0)
    assert [event["seq"] for event in events] == [1, 2, 3, 5]
    assert [event["kind"] for event in events][:3] == ["stored", "stored", "removed"]
    assert cache.events_after(1, until_s=1.5) == []
