"""Tests of orders to model servers over sockets."""

import asyncio

import pytest

from gooseberryhall.fleet.models import BackendServer, Group
from gooseberryhall.fleet.orders import OrderOutcome
from gooseberryhall.platform.orders import HttpEngineClient
from gooseberryhall.transport.address import Address
from gooseberryhall.transport.pool import ConnectionPool

DONE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
REFUSED = b"HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{}"


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (200, OrderOutcome.DONE),
        (202, OrderOutcome.STARTED),
        (409, OrderOutcome.UNFIT),
        (412, OrderOutcome.SUPERSEDED),
        (421, OrderOutcome.OTHER_SERVER),
        (429, OrderOutcome.REFUSED),
        (503, OrderOutcome.REFUSED),
        (500, OrderOutcome.NO_ANSWER),
        (404, OrderOutcome.NO_ANSWER),
    ],
)
async def test_refused_order_does_not_count_as_carried_out(
    status: int, outcome: OrderOutcome
) -> None:
    """Guards against a group whose leader refused to leave it and still serves."""

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"}")
        writer.write(b"HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n" % status)
        writer.close()

    listener = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    address = Address(*listener.sockets[0].getsockname()[:2])
    server = BackendServer("s1", "engine", address, "z", False, 4)
    client = HttpEngineClient(ConnectionPool(b"x-id"))
    try:
        group = Group("z-1", 1, "m", ("s1",))
        assert await client.async_leave(server, group, 1) is outcome
    finally:
        listener.close()


async def test_second_copy_of_an_answer_is_not_taken_for_the_next_answer() -> None:
    """Guards against an order that counts as done though the server refused it.

    The server sends a late copy of its answer when the next order is on its way on the
    same connection.
    """
    connections = 0

    async def async_serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal connections
        connections += 1
        answers = [DONE, DONE + REFUSED] if connections == 1 else [REFUSED]
        try:
            for answer in answers:
                await reader.readuntil(b"}")
                writer.write(answer)
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    listener = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    address = Address(*listener.sockets[0].getsockname()[:2])
    server = BackendServer("s1", "engine", address, "z", False, 4)
    group = Group("z-1", 1, "m", ("s1",))
    pool = ConnectionPool(b"x-id")
    client = HttpEngineClient(pool)
    try:
        assert await client.async_leave(server, group, 1) is OrderOutcome.DONE
        assert await client.async_leave(server, group, 1) is OrderOutcome.UNFIT
    finally:
        pool.close()
        listener.close()
