"""Tests of the memory that all responses share."""

import asyncio
import gc
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryhall.transport.exceptions import TransportError
from gooseberryhall.transport.exchange import Exchange, ResponseHead
from gooseberryhall.transport.memory import HeldBytes


def test_largest_response_is_given_up() -> None:
    """Guards against the loss of a sound response beside one without end."""
    memory = HeldBytes(1000)
    sound, endless = Exchange(memory=memory), Exchange(memory=memory)
    sound.receive_chunk(bytes(300))
    endless.receive_chunk(bytes(600))
    sound.receive_chunk(bytes(200))
    assert endless.error is not None
    assert sound.error is None
    assert memory.held_bytes == 500


def test_complete_responses_are_not_given_up() -> None:
    """Guards against dropping a response that only has to be passed on."""
    memory = HeldBytes(1000)
    whole, other = Exchange(memory=memory), Exchange(memory=memory)
    whole.receive_chunk(bytes(900))
    whole.finish()
    other.receive_chunk(bytes(200))
    assert whole.error is None
    assert other.error is not None
    assert memory.held_bytes == 900


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(1, 400)), max_size=60))
def test_held_bytes_never_exceed_the_limit(chunks: list[tuple[int, int]]) -> None:
    """Guards against bytes that are not counted, or counted after their release."""
    memory = HeldBytes(1000)
    exchanges = [Exchange(memory=memory) for _ in range(5)]
    for index, size in chunks:
        exchanges[index].receive_chunk(bytes(size))
        assert memory.held_bytes <= 1000
    for exchange in exchanges:
        exchange.release()
    assert memory.held_bytes == 0


async def _async_abort_body(size: int) -> None:
    exchange = Exchange(memory=HeldBytes(size))
    reading = asyncio.create_task(exchange.async_read_body(2 * size))
    exchange.receive_head(ResponseHead(200, []))
    for _ in range(4):
        exchange.receive_chunk(bytes(size // 4))
        await asyncio.sleep(0)
    exchange.receive_chunk(b"x")
    with pytest.raises(TransportError):
        await reading


async def test_response_that_is_given_up_is_freed_at_once() -> None:
    """Guards against bodies that stay in memory with the traceback of their error."""
    size = 4 * 1024 * 1024
    gc.disable()
    tracemalloc.start()
    try:
        await _async_abort_body(size)
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert kept_bytes < size / 4
