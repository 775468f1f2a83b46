"""Tests of the checks on an engine's stream."""

import itertools
from collections.abc import Iterable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryhall.adapters.engine_stream import EngineStream
from gooseberryhall.adapters.exceptions import SequenceError, StreamBrokenError

CHUNKS = [b'{"id":"r1","n":%d}' % number for number in range(1, 5)]
WIRE = b"".join(
    b"id: %d\ndata: %b\n\n" % (number, data)
    for number, data in enumerate([*CHUNKS, b"[DONE]"], 1)
)


class FakeResponse:
    """A response whose body arrives in given pieces."""

    def __init__(self, pieces: Iterable[bytes]) -> None:
        """Keep the pieces."""
        self._pieces = iter(pieces)
        self.content = self

    async def readany(self) -> bytes:
        """Return the next piece, empty at the end."""
        return next(self._pieces, b"")

    def close(self) -> None:
        """Close nothing."""


async def async_read_all(pieces: Iterable[bytes], after: int = 0) -> list[bytes]:
    """Read a stream to its end marker."""
    response: Any = FakeResponse(pieces)
    stream = EngineStream(response, "r1", after)
    chunks: list[bytes] = []
    try:
        while not stream.done:
            chunks += await stream.async_read()
    except StreamBrokenError as exc:
        exc.add_note(f"{len(chunks)} {stream.last_seq}")
        raise
    return chunks


@given(cuts=st.lists(st.integers(0, len(WIRE))))
async def test_chunks_do_not_depend_on_the_segments(cuts: list[int]) -> None:
    """The network may cut the stream anywhere, also inside a field."""
    places = sorted({0, len(WIRE), *cuts})
    pieces = [WIRE[a:b] for a, b in itertools.pairwise(places)]
    assert await async_read_all(pieces) == CHUNKS


@pytest.mark.parametrize(
    "wire",
    [
        WIRE.replace(b"id: 3", b"id: 2"),
        WIRE.replace(b"id: 3", b"id: 4"),
        WIRE.replace(b"id: 3", b"id: x"),
        WIRE.replace(b"id: 3\n", b""),
        WIRE.replace(b'"r1","n":3', b'"r2","n":3'),
        WIRE.replace(b'"id":"r1","n":3', b'"n":3,"text":"r1"'),
        WIRE.replace(b'{"id":"r1","n":3}', b"not json"),
        WIRE.replace(b"id: 3", b"id: 5\ndata: [DONE]\n\nid: 3"),
        WIRE.replace(b"id: 3", b"data: [DONE]\n\nid: 3"),
    ],
    ids=[
        "repeat",
        "gap",
        "text",
        "none",
        "foreign",
        "missing",
        "json",
        "early end",
        "plain end",
    ],
)
async def test_faulty_chunk_is_not_passed_on(wire: bytes) -> None:
    """Only the chunks before the fault are counted and passed on (P3)."""
    with pytest.raises(SequenceError) as caught:
        await async_read_all([wire])
    assert caught.value.__notes__ == ["2 2"]


async def test_end_without_marker_is_a_break() -> None:
    """A closed connection must not pass for a complete response."""
    with pytest.raises(StreamBrokenError):
        await async_read_all([WIRE[: WIRE.index(b"id: 5")]])


async def test_resumed_stream_starts_at_the_next_number() -> None:
    """An engine that starts again from the beginning would repeat text."""
    with pytest.raises(SequenceError):
        await async_read_all([WIRE], after=2)
