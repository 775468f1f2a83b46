"""Tests of client connections whose server sends bytes that are no response."""

import asyncio
from collections.abc import Iterator

import pytest

from gooseberryhall.transport.client import ClientConnection
from gooseberryhall.transport.const import (
    MAX_BUFFERED_BYTES,
    MAX_RESPONSE_OVERHEAD_BYTES,
)
from gooseberryhall.transport.exceptions import MalformedResponseError
from gooseberryhall.transport.exchange import Exchange

PIECE_BYTES = 1000
HEAD = b"HTTP/1.1 200 OK\r\nx-id: 17\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
LATE_COPY = b"HTTP/1.1 200 OK\r\nx-id: 16\r\ntransfer-encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"


class FakeTransport(asyncio.Transport):
    """Transport that records whether it reads and whether it was aborted."""

    def __init__(self) -> None:
        """Create an open transport."""
        super().__init__()
        self.aborted = False
        self.reading = True
        self.sent = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Record that a request was sent."""
        self.sent = True

    def abort(self) -> None:
        """Record that the connection was aborted."""
        self.aborted = True

    def is_closing(self) -> bool:
        """Return whether the connection was aborted."""
        return self.aborted

    def pause_reading(self) -> None:
        """Record that no more data is read."""
        self.reading = False

    def resume_reading(self) -> None:
        """Record that data is read again."""
        self.reading = True

    def get_write_buffer_size(self) -> int:
        """Return that all bytes were sent."""
        return 0


def _connect() -> tuple[ClientConnection, Exchange, FakeTransport]:
    conn = ClientConnection(id_header=b"x-id")
    transport = FakeTransport()
    conn.connection_made(transport)
    exchange = Exchange(expected_id=b"17")
    conn.start(exchange, b"GET / HTTP/1.1\r\n\r\n")
    return conn, exchange, transport


def _repeat(start: bytes, piece: bytes) -> Iterator[bytes]:
    yield start
    while True:
        yield piece


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        pytest.param(b"", b"x" * PIECE_BYTES, id="status line"),
        pytest.param(HEAD + b"a: ", b"x" * PIECE_BYTES, id="one header"),
        pytest.param(HEAD, b"a: b\r\n" * 100, id="many headers"),
        pytest.param(INTERIM, INTERIM * 20, id="interim responses"),
        pytest.param(CHUNKED + b"1;", b"x" * PIECE_BYTES, id="chunk extension"),
        pytest.param(CHUNKED + b"0\r\na: ", b"x" * PIECE_BYTES, id="one trailer"),
        pytest.param(CHUNKED + b"0\r\n", b"a: b\r\n" * 100, id="many trailers"),
        pytest.param(LATE_COPY, b"3e8\r\n%b\r\n" % (b"x" * 1000), id="late copy"),
    ],
)
async def test_endless_bytes_that_are_no_answer_end_the_connection(
    start: bytes, piece: bytes
) -> None:
    """Guards against memory that grows until the deadline or the end of the process.

    The parser keeps a header until it is complete, and it keeps all headers.
    """
    conn, exchange, transport = _connect()
    received = 0
    for data in _repeat(start, piece):
        if conn.closed:
            break
        received += len(data)
        assert received <= MAX_RESPONSE_OVERHEAD_BYTES + 2 * len(piece)
        conn.data_received(data)
    assert transport.aborted
    assert not conn.can_reuse(0.0)
    assert isinstance(exchange.error, MalformedResponseError)


async def test_long_body_with_many_small_chunks_is_no_overhead() -> None:
    """Guards against cutting a sound response because its chunks are small."""
    conn, exchange, _ = _connect()
    conn.data_received(CHUNKED)
    sent = 0
    while sent < 4 * MAX_RESPONSE_OVERHEAD_BYTES:
        conn.data_received(b"1\r\nx\r\n" * 50)
        sent += 50 * 6
        await exchange.async_read_chunk()
    conn.data_received(b"0\r\n\r\n")
    assert exchange.complete
    assert exchange.error is None


async def test_server_is_not_read_while_the_caller_reads_slowly() -> None:
    """Guards against memory that grows with all that a fast server sends."""
    conn, exchange, transport = _connect()
    conn.data_received(CHUNKED)
    piece = b"3e8\r\n%b\r\n" % (b"x" * 1000)
    fed = 0
    while transport.reading:
        conn.data_received(piece)
        fed += 1000
        assert fed <= MAX_BUFFERED_BYTES + 1000
    assert len(await exchange.async_read_chunk()) == fed
    assert transport.reading
    conn.data_received(b"0\r\n\r\n")
    assert exchange.complete


async def test_connection_reads_again_after_a_response_that_was_not_read() -> None:
    """Guards against a connection that is used again and never delivers anything."""
    conn, exchange, transport = _connect()
    body = b"x" * (2 * MAX_BUFFERED_BYTES)
    conn.data_received(HEAD + b"content-length: %d\r\n\r\n" % len(body) + body)
    assert exchange.complete
    assert transport.reading


def test_request_that_was_aborted_before_its_connection_opened_is_not_sent() -> None:
    """Guards against sending a request that was aborted because it crashes servers."""
    conn = ClientConnection(id_header=b"x-id")
    transport = FakeTransport()
    conn.connection_made(transport)
    exchange = Exchange(expected_id=b"17")
    exchange.abort(MalformedResponseError("aborted"))
    conn.start(exchange, b"GET / HTTP/1.1\r\n\r\n")
    assert not transport.sent
