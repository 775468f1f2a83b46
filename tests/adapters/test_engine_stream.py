"""Tests of the validation of an engine's stream."""

import itertools
from collections.abc import Iterable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryhall.adapters.engine_stream import EngineStream
from gooseberryhall.adapters.exceptions import SequenceError, StreamBrokenError

CHUNKS = [b'{"id":"r1","n":%d}' % number for number in range(1, 5)]
STREAM_BYTES = b"".join(
    b"id: %d\ndata: %b\n\n" % (number, data)
    for number, data in enumerate([*CHUNKS, b"[DONE]"], 1)
)


class FakeResponse:
    """A response whose body arrives in the given segments."""

    def __init__(self, segments: Iterable[bytes]) -> None:
        """Store the segments."""
        self._segments = iter(segments)
        self.content = self

    async def readany(self) -> bytes:
        """Return the next segment, or empty bytes at the end."""
        return next(self._segments, b"")

    def close(self) -> None:
        """Do nothing; there is no connection."""


async def async_read_all(segments: Iterable[bytes], after: int = 0) -> list[bytes]:
    """Return all chunks of a stream up to its end marker.

    An error gets the number of chunks and the last sequence number as a note.
    """
    response: Any = FakeResponse(segments)
    stream = EngineStream(response, "r1", after)
    chunks: list[bytes] = []
    try:
        while not stream.done:
            chunks += await stream.async_read()
    except StreamBrokenError as exc:
        exc.add_note(f"{len(chunks)} {stream.last_seq}")
        raise
    return chunks


@given(offsets=st.lists(st.integers(0, len(STREAM_BYTES))))
async def test_chunks_do_not_depend_on_the_segments(offsets: list[int]) -> None:
    """Guards against wrong chunks when the network splits the stream at any byte."""
    positions = sorted({0, len(STREAM_BYTES), *offsets})
    segments = [STREAM_BYTES[a:b] for a, b in itertools.pairwise(positions)]
    assert await async_read_all(segments) == CHUNKS


@pytest.mark.parametrize(
    "stream_bytes",
    [
        STREAM_BYTES.replace(b"id: 3", b"id: 2"),
        STREAM_BYTES.replace(b"id: 3", b"id: 4"),
        STREAM_BYTES.replace(b"id: 3", b"id: x"),
        STREAM_BYTES.replace(b"id: 3\n", b""),
        STREAM_BYTES.replace(b'"r1","n":3', b'"r2","n":3'),
        STREAM_BYTES.replace(b'"id":"r1","n":3', b'"n":3,"text":"r1"'),
        STREAM_BYTES.replace(CHUNKS[2], b"[" * 100_000 + b"]" * 100_000),
        STREAM_BYTES.replace(b'{"id":"r1","n":3}', b"not json"),
        STREAM_BYTES.replace(b"id: 3", b"id: 5\ndata: [DONE]\n\nid: 3"),
        STREAM_BYTES.replace(b"id: 3", b"data: [DONE]\n\nid: 3"),
    ],
    ids=[
        "repeat",
        "gap",
        "text",
        "none",
        "foreign",
        "missing",
        "nested",
        "json",
        "early end",
        "plain end",
    ],
)
async def test_faulty_chunk_is_not_returned(stream_bytes: bytes) -> None:
    """Guards against returning or counting an invalid chunk or any after it (P3)."""
    with pytest.raises(SequenceError) as caught:
        await async_read_all([stream_bytes])
    assert caught.value.__notes__ == ["2 2"]


async def test_end_without_marker_is_a_broken_stream() -> None:
    """Guards against a closed connection that is taken for a complete response."""
    with pytest.raises(StreamBrokenError):
        await async_read_all([STREAM_BYTES[: STREAM_BYTES.index(b"id: 5")]])


async def test_resumed_stream_starts_at_the_next_number() -> None:
    """Guards against repeated text from an engine that restarts the stream."""
    with pytest.raises(SequenceError):
        await async_read_all([STREAM_BYTES], after=2)
